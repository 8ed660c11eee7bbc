package loader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"comfreyroute/bench/internal/checker"
)

// Loader sends load. Its connections stay open between runs.
type Loader struct {
	checker *checker.Checker
	http    *http.Client
}

// New returns a loader that checks answers with c.
func New(c *checker.Checker) *Loader {
	return &Loader{checker: c, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: DefaultMaxInFlight, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}}
}

// Close closes the idle connections.
func (l *Loader) Close() { l.http.CloseIdleConnections() }

// run is the state of one run.
type run struct {
	loader *Loader
	config Config
	slots  chan struct{} // bounds the requests in flight
	wait   sync.WaitGroup

	mu     sync.Mutex
	report *Report
}

// Run sends the load of c and returns when every answer has arrived or timed out. It ends early with the context.
func (l *Loader) Run(ctx context.Context, c Config) *Report {
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.LatencyObjective <= 0 {
		c.LatencyObjective = DefaultLatencyObjective
	}
	r := &run{loader: l, config: c, slots: make(chan struct{}, c.MaxInFlight), report: NewReport()}
	random := rand.New(rand.NewPCG(c.Seed, 1))
	start := time.Now()
	measured, end := start.Add(c.Warmup), start.Add(c.Warmup+c.Duration)
	for n, next := 0, start; ctx.Err() == nil; n++ {
		gap := 1.0
		if !c.ConstantArrivals {
			gap = random.ExpFloat64()
		}
		next = next.Add(time.Duration(gap / c.Rate * float64(time.Second)))
		if next.After(end) {
			break
		}
		q := request{
			RequestClass: pick(c.Mix, random.Float64()),
			entry:        c.Entries[n%len(c.Entries)],
			intended:     next,
			measured:     !next.Before(measured),
			query:        fmt.Sprintf("q%d-%d", c.Seed, n),
		}
		if !sleepUntil(ctx, next.Add(c.CallerDelay)) {
			break
		}
		r.start(ctx, q)
	}
	r.wait.Wait()
	return r.report
}

// start sends one request on its own goroutine, or counts it as failed when too many are in flight.
func (r *run) start(ctx context.Context, q request) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.mu.Lock()
		defer r.mu.Unlock()
		if q.measured {
			r.report.Sent++
			r.report.Failed++
			r.report.example("not sent: too many requests in flight")
		}
		return
	}
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		lag := time.Since(q.intended.Add(r.config.CallerDelay))
		a := r.send(ctx, q)
		a.latency = time.Since(q.intended) + r.config.CallerDelay
		<-r.slots
		r.record(q, a, lag)
	}()
}

func pick(mix []RequestClass, u float64) RequestClass {
	total := 0.0
	for _, m := range mix {
		total += m.Weight
	}
	for _, m := range mix {
		if u -= m.Weight / total; u < 0 {
			return m
		}
	}
	return mix[len(mix)-1]
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
