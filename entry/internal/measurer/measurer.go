// Package measurer records the metrics of the entry daemon and the counts of its burn-rate report.
package measurer

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/state/tabler"
	"comfreyroute/entry/internal/looper"
)

// CountAnswer records the latency and the outcome of an answer and, for a search, its coverage.
func CountAnswer(service, kind string, latency time.Duration, a looper.Answer) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`comfrey_request_seconds{service=%q,kind=%q}`, service, kind)).Update(latency.Seconds())
	outcome, reason := "", ""
	switch {
	case a.Search != nil:
		outcome, reason = string(a.Search.Outcome), a.Search.Reason
		if a.Search.ShardsTotal > 0 {
			metrics.GetOrCreateCounter(fmt.Sprintf(`comfrey_shards_total{service=%q}`, service)).Add(a.Search.ShardsTotal)
			metrics.GetOrCreateCounter(fmt.Sprintf(`comfrey_shards_covered_total{service=%q}`, service)).Add(len(a.Search.Covered))
		}
	case a.Point != nil:
		outcome, reason = string(a.Point.Outcome), a.Point.Reason
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`comfrey_answers_total{service=%q,kind=%q,outcome=%q,reason=%q}`, service, kind, outcome, reason)).Inc()
}

// ActionCounter counts the actions of the router. Only the routing loop may use it. It caches the counter of each service, because
// the lookup by name costs more than the action.
type ActionCounter struct{ sentByService map[string]*metrics.Counter }

// CountAction counts one action.
func (n *ActionCounter) CountAction(a router.Action) {
	switch a := a.(type) {
	case router.Send:
		c := n.sentByService[a.Service]
		if c == nil {
			if n.sentByService == nil {
				n.sentByService = map[string]*metrics.Counter{}
			}
			c = metrics.GetOrCreateCounter(fmt.Sprintf(`comfrey_subrequests_total{service=%q}`, a.Service))
			n.sentByService[a.Service] = c
		}
		c.Inc()
	case router.Cancel:
		cancelled.Inc()
	case router.SpreadSuspicion:
		suspicions.Inc()
	}
}

var (
	cancelled  = metrics.NewCounter("comfrey_cancels_total")
	suspicions = metrics.NewCounter("comfrey_suspicions_total")
)

// RegisterGauge registers a gauge whose value f returns at each scrape.
func RegisterGauge(name string, f func() float64) { metrics.GetOrCreateGauge(name, f) }

// CountPlatformCalls counts calls to the platform. The kind is read, write, watch or list, as in the counts of the platform.
func CountPlatformCalls(kind string, calls int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`comfrey_platform_calls_total{kind=%q}`, kind)).Add(calls)
}

// SetTableRevisions sets the gauges of the table revisions in effect.
func SetTableRevisions(t *tabler.Snapshot) {
	for _, v := range t.Values {
		metrics.GetOrCreateGauge(fmt.Sprintf(`comfrey_table_revision{service=%q}`, v.Service.Service), nil).Set(float64(v.Revision))
	}
}

// CountRefusal counts a request that was refused before it reached the router or the claimer.
func CountRefusal(kind, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`comfrey_refusals_total{kind=%q,reason=%q}`, kind, reason)).Inc()
}

// CountRejection counts an invalid request by its HTTP status.
func CountRejection(status int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`comfrey_rejects_total{status="%d"}`, status)).Inc()
}

// CountDeparture counts a caller that was turned away by the bounds on connections, by cause.
func CountDeparture(cause string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`comfrey_callers_turned_away_total{cause=%q}`, cause)).Inc()
}
