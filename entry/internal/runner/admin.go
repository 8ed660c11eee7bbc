package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/exchanger"
	"comfreyroute/core/state/reporter"
	"comfreyroute/core/state/tabler"
	"comfreyroute/core/transport/connector"
	"comfreyroute/core/transport/messenger"
	"comfreyroute/entry/internal/logger"
	"comfreyroute/entry/internal/looper"
	"comfreyroute/entry/internal/measurer"
)

// status is the response of /admin/status.
type status struct {
	VM          string             `json:"vm"`
	Incarnation uint64             `json:"incarnation"`
	Domain      string             `json:"domain"`
	Ready       bool               `json:"ready"`
	Reason      string             `json:"reason,omitempty"`
	Requests    int                `json:"requests"` // requests of callers in flight
	Calls       int                `json:"calls"`    // non-idempotent calls that are being claimed, are running or have an outcome to record
	Open        int                `json:"open"`     // open connections to upstreams
	Busy        int                `json:"busy"`     // open connections with a request, a ping or a cancellation
	Watching    bool               `json:"watching"`
	ContactMS   int64              `json:"contact"` // age of the latest known contact with the platform in ms, or -1 for none
	Members     []memberStatus     `json:"members"`
	Transport   connector.Counts   `json:"transport"`
	Router      router.Stats       `json:"router"`
	Peers       messenger.Bytes    `json:"peers"`
	Revisions   map[string]uint64  `json:"revisions"`
	Out         []excludedUpstream `json:"out"`
	Suspicions  int                `json:"suspicions"`
	Budgets     map[string]int     `json:"budgets"` // hedges and retries that each service may send at present
}

type memberStatus struct {
	VM          string `json:"vm"`
	Domain      string `json:"domain"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Callers     string `json:"callers"`
}

func (d *daemon) adminHandlers() map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"/admin/status":  func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.status()) },
		"/admin/table":   func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.tableValues()) },
		"/admin/fleet":   func(w http.ResponseWriter, r *http.Request) { writeJSON(w, d.fleet(r.Context())) },
		"/admin/outcome": d.handleOutcome,
		"/admin/members": func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.members()) },
		"/admin/burn":    func(w http.ResponseWriter, r *http.Request) { writeJSON(w, d.burnReport(r.Context())) },
		"/admin/trace":   d.handleTrace,
		"/burn": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/html; charset=utf-8")
			_ = d.burnReport(r.Context()).WriteHTML(w)
		},
	}
}

func (d *daemon) status() status {
	v := d.updater.View()
	s := status{
		VM: d.settings.VM.ID, Incarnation: d.incarnation, Domain: d.settings.VM.FailureDomain, Revisions: map[string]uint64{},
		Requests: len(d.receiver.RunningRequests()), Calls: d.claimRunner.InFlight(), Watching: v.IsWatcher, ContactMS: -1,
		Members: d.members(), Transport: d.connector.Counts(), Peers: d.messenger.Bytes(),
	}
	s.Ready, s.Reason = d.ready()
	s.Open, s.Busy = d.connector.OpenConnections()
	if !v.LastContact.IsZero() {
		s.ContactMS = time.Since(v.LastContact).Milliseconds()
	}
	var o router.Overview
	d.loop.InspectMachine(func(looper.Machine) { s.Router, o = d.routerMachine.Stats(), d.routerMachine.Overview() })
	s.addOverview(o)
	for _, r := range v.Revisions {
		s.Revisions[r.Service] = r.Revision
	}
	return s
}

// handleTrace writes the trace of the router's decisions as JSON lines.
func (d *daemon) handleTrace(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	if d.loop.Trace == nil {
		http.Error(w, "no trace is recorded: setting trace of section limits is 0", http.StatusServiceUnavailable)
		return
	}
	if err := d.loop.Trace.Write(w); err != nil {
		d.log.Warn("entry: could not write the trace", logger.ErrorField(err))
	}
}

func (d *daemon) members() []memberStatus {
	list := []memberStatus{}
	for _, m := range d.registrar.View().Members {
		list = append(list, memberStatus{
			VM: m.Record.ID, Domain: m.Record.FailureDomain, State: m.State.String(), Incarnation: m.Record.Incarnation,
			Ready: m.Record.Ready, Callers: m.Record.CallerAddress.String(),
		})
	}
	return list
}

// tableValue is the table value of one service in the response of /admin/table.
type tableValue struct {
	Service  string          `json:"service"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

func (d *daemon) tableValues() []tableValue {
	values := []tableValue{}
	for _, v := range d.table.Load().AllValues() {
		if data, err := tabler.Encode(v); err == nil {
			values = append(values, tableValue{v.Service.Service, v.Revision, data})
		}
	}
	return values
}

// burnReport returns the burn-rate report for all VMs that answer.
func (d *daemon) burnReport(ctx context.Context) reporter.Report {
	var summaries []reporter.Summary
	if s, ok := d.collector.Summary(ctx); ok {
		summaries = append(summaries, s)
	}
	responses, unreachable := d.queryPeers(ctx, func(ctx context.Context, p exchanger.DRPCPeersClient) ([]byte, error) {
		reply, err := p.Burn(ctx, &exchanger.BurnRequest{})
		return reply.GetJson(), err
	})
	for _, data := range responses {
		var s reporter.Summary
		if err := json.Unmarshal(data, &s); err == nil {
			summaries = append(summaries, s)
		}
	}
	return reporter.MergeSummaries(time.Now(), d.table.Load(), summaries, unreachable)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// registerGauges registers the metrics whose values are read at each scrape.
func (d *daemon) registerGauges() {
	measurer.RegisterGauge("comfrey_peer_bytes_sent", func() float64 { return float64(d.messenger.Bytes().Sent) })
	measurer.RegisterGauge("comfrey_peer_bytes_received", func() float64 { return float64(d.messenger.Bytes().Received) })
	measurer.RegisterGauge("comfrey_requests_running", func() float64 { return float64(len(d.receiver.RunningRequests())) })
	measurer.RegisterGauge("comfrey_connections_open", func() float64 { open, _ := d.connector.OpenConnections(); return float64(open) })
	measurer.RegisterGauge("comfrey_connections_refused", func() float64 { return float64(d.connector.Counts().Refused) })
	measurer.RegisterGauge("comfrey_connections_unresponsive", func() float64 { return float64(d.connector.Counts().Unresponsive) })
	measurer.RegisterGauge("comfrey_replies_mismatched", func() float64 { return float64(d.connector.Counts().Mismatched) })
	for name, get := range map[string]func(router.Stats) uint64{
		"comfrey_subrequests_needed":  func(s router.Stats) uint64 { return s.Primaries },
		"comfrey_hedges":              func(s router.Stats) uint64 { return s.Hedges },
		"comfrey_retries":             func(s router.Stats) uint64 { return s.Retries },
		"comfrey_reroutes":            func(s router.Stats) uint64 { return s.Reroutes },
		"comfrey_budget_refusals":     func(s router.Stats) uint64 { return s.BudgetRefusals },
		"comfrey_replies_late":        func(s router.Stats) uint64 { return s.LateReplies },
		"comfrey_replies_rejected":    func(s router.Stats) uint64 { return s.RejectedReplies },
		"comfrey_searches_restarted":  func(s router.Stats) uint64 { return s.Restarts },
		"comfrey_attempts_unreported": func(s router.Stats) uint64 { return s.Reaped },
	} {
		measurer.RegisterGauge(name, func() float64 {
			var n uint64
			d.loop.InspectMachine(func(looper.Machine) { n = get(d.routerMachine.Stats()) })
			return float64(n)
		})
	}
}
