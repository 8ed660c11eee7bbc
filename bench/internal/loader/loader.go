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

// Loader is a load generator. Its connections stay open between runs.
type Loader struct {
	checker *checker.Checker
	http    *http.Client
}

// New returns a loader that verifies answers with c.
func New(c *checker.Checker) *Loader {
	return &Loader{checker: c, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: DefaultMaxInFlight, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}}
}

// Close closes the idle connections.
func (l *Loader) Close() { l.http.CloseIdleConnections() }

// loadRun is the state of one run of a loader.
type loadRun struct {
	loader   *Loader
	config   Config
	inFlight chan struct{} // semaphore of Config.MaxInFlight requests
	pending  sync.WaitGroup

	mu     sync.Mutex
	report *Report
}

// Run sends the load that c describes and returns when every request has been answered or has timed out. It stops sending when the
// context ends.
func (l *Loader) Run(ctx context.Context, c Config) *Report {
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.LatencyObjective <= 0 {
		c.LatencyObjective = DefaultLatencyObjective
	}
	r := &loadRun{loader: l, config: c, inFlight: make(chan struct{}, c.MaxInFlight), report: NewReport()}
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
			RequestClass: pickClass(c.Mix, random.Float64()),
			entry:        c.Entries[n%len(c.Entries)],
			intendedTime: next,
			isMeasured:   !next.Before(measured),
			query:        fmt.Sprintf("q%d-%d", c.Seed, n),
		}
		if !sleepUntil(ctx, next.Add(c.CallerDelay)) {
			break
		}
		r.start(ctx, q)
	}
	r.pending.Wait()
	return r.report
}

// start sends a request on its own goroutine. It counts the request as failed instead when too many are in flight.
func (r *loadRun) start(ctx context.Context, q request) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.mu.Lock()
		defer r.mu.Unlock()
		if q.isMeasured {
			r.report.Sent++
			r.report.Failed++
			r.report.addExample("request not sent: too many requests in flight")
		}
		return
	}
	r.pending.Add(1)
	go func() {
		defer r.pending.Done()
		lag := time.Since(q.intendedTime.Add(r.config.CallerDelay))
		a := r.send(ctx, q)
		a.latency = time.Since(q.intendedTime) + r.config.CallerDelay
		<-r.inFlight
		r.record(q, a, lag)
	}()
}

// pickClass returns the class of a mix at u, which is between 0 and 1 and uniform for a choice by weight.
func pickClass(mix []RequestClass, u float64) RequestClass {
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

// sleepUntil sleeps until a time and reports whether it came before the context ended.
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
