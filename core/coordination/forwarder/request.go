package forwarder

import (
	"time"

	"comfreyroute/core/coordination/scheduler"
)

type subState uint8

const (
	subIdle subState = iota
	subWaiting
	subSent
	subDone
	subFailed
)

// request is one request of a caller.
type request struct {
	id       RequestID
	message  *Message
	route    *Route
	policy   *policy
	version  uint64
	gather   *Gather // nil for a request to one upstream
	least    int     // fewest shards of an answer
	arrived  time.Time
	until    time.Time // when it is answered at the latest
	cut      time.Time // when an answer without the last shards goes out; zero for never
	waitEnd  time.Time // when waiting for a free upstream ends
	subs     []sub
	pending  int // sub-requests without a result
	done     int
	ran      bool // an upstream may have run it
	finished bool
	due      time.Time
	place    int // in the timers, -1 when absent
	sends    int
	hedges   int
	retries  int
}

// sub is all attempts for one shard.
type sub struct {
	service *service
	state   subState
	live    scheduler.InFlight[AttemptID]
	tried   []string // upstreams
	ran     int      // attempts that may have run
	unsent  int      // attempts of which nothing was written
	hedgeAt time.Time
	extra   bool   // the next send costs a token
	reply   *Reply // of a shard that is done
	refusal *Reply // the last reply that is no success
	reason  Reason
}

// Due implements scheduler.Item.
func (r *request) Due() time.Time { return r.due }

// HeapIndex implements scheduler.Item.
func (r *request) HeapIndex() *int { return &r.place }

func (r *request) attempts() int {
	if r.route.MaxAttempts > 0 {
		return r.route.MaxAttempts
	}
	return defaultAttempts
}

// arrive admits a request and sends it, or refuses it at once.
func (m *Machine) arrive(now time.Time, e RequestArrived) {
	if m.requests[e.Request] != nil {
		panic("forwarder: a request id was used twice")
	}
	if m.manifest == nil {
		m.emit(Answer{Request: e.Request, Outcome: Refused{Reason: NoManifest, RetryAfter: m.jitter(retryUnknown)}})
		return
	}
	route := m.manifest.Match(e.Message.Host, e.Message.Path)
	if route == nil {
		m.emit(Answer{Request: e.Request, Outcome: Refused{Reason: NoRoute}, Report: Report{Manifest: m.manifest.Version}})
		return
	}
	r := &request{
		id: e.Request, message: e.Message, route: route, policy: m.policy(now, route), version: m.manifest.Version,
		arrived: now, place: -1,
	}
	r.limit(now, e.Deadline)
	if !now.Before(r.until) {
		m.refuse(r, Expired)
		return
	}
	m.requests[r.id] = r
	m.open(now, r)
	if !r.finished {
		m.schedule(now, r)
	}
}

// limit sets the times at which something is decided about a request.
func (r *request) limit(now, deadline time.Time) {
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if deadline.IsZero() || deadline.After(now.Add(timeout)) {
		deadline = now.Add(timeout)
	}
	left := deadline.Sub(now)
	r.until = deadline.Add(-min(answerMargin, left/marginShare))
	target := r.route.LatencyTarget
	if target <= 0 || target > left {
		target = left
	}
	r.cut = now.Add(target - min(targetMargin, target/marginShare))
	r.waitEnd = now.Add(time.Duration(float64(target) * waitShare))
}

// open makes the sub-requests of a request and sends them.
func (m *Machine) open(now time.Time, r *request) {
	switch d := r.route.Destination.(type) {
	case Gather:
		r.gather, r.least = &d, d.least()
		r.subs = make([]sub, len(d.Shards))
		for g, name := range d.Shards {
			r.subs[g].service = m.find(name)
		}
	case Split:
		r.least = 1
		r.subs = []sub{{service: m.find(r.policy.choose(&d))}}
	}
	r.pending = len(r.subs)
	for g := range r.subs {
		r.subs[g].service.budget.AddPrimaries(1)
	}
	for g := range r.subs {
		if r.finished {
			return
		}
		m.dispatch(now, r, g)
	}
	if len(r.subs) == 0 {
		m.refuse(r, NoUpstream)
	}
}

// finish forgets a request that has its answer. Attempts that still run are left to their end: closing their connections would
// cost each upstream a new one.
func (m *Machine) finish(r *request) {
	r.finished = true
	for g := range r.subs {
		for _, id := range r.subs[g].live {
			if a := m.attempts[id]; a != nil {
				a.request = nil
			}
		}
	}
	m.timers.Remove(r)
	delete(m.requests, r.id)
}

// abandon releases everything of a request whose caller is gone.
func (m *Machine) abandon(r *request) {
	for g := range r.subs {
		m.cancelAll(&r.subs[g])
	}
	m.finish(r)
}

func (m *Machine) cancelAll(b *sub) {
	for _, id := range b.live {
		if a := m.attempts[id]; a != nil {
			m.cancel(a)
		}
	}
}

func (m *Machine) cancel(a *attempt) {
	if a.cancelled {
		return
	}
	a.cancelled = true
	m.emit(Cancel{Attempt: a.id})
}

// answer ends a request.
func (m *Machine) answer(now time.Time, r *request, o Outcome) {
	if r.finished {
		panic("forwarder: a request was answered twice")
	}
	m.emit(Answer{Request: r.id, Outcome: o, Report: r.report(now)})
	m.finish(r)
}

// refuse answers a request that was never admitted.
func (m *Machine) refuse(r *request, reason Reason) {
	o := Refused{Reason: reason, RetryAfter: m.retryAfter(r)}
	m.emit(Answer{Request: r.id, Outcome: o, Report: Report{Route: r.route.Name, Manifest: r.version}})
	m.finish(r)
}

func (r *request) report(now time.Time) Report {
	p := Report{
		Route: r.route.Name, Manifest: r.version, Elapsed: now.Sub(r.arrived), Sends: r.sends, Hedges: r.hedges, Retries: r.retries,
	}
	for g := range r.subs {
		b := &r.subs[g]
		if b.state == subDone {
			continue
		}
		s := MissingShard{Service: b.service.name, Reason: b.reason}
		if n := len(b.tried); n > 0 {
			s.Upstream = b.tried[n-1]
		}
		if b.state != subFailed {
			s.Reason = Late
		}
		p.Missing = append(p.Missing, s)
	}
	return p
}

// retryAfter returns when the caller of a refused request may come back.
func (m *Machine) retryAfter(r *request) time.Duration {
	target := r.route.LatencyTarget
	if target <= 0 {
		target = r.route.Timeout
	}
	return m.jitter(max(minRetryAfter, time.Duration(float64(target)*retryShare)))
}

// jitter returns a random time between d and twice d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d + time.Duration(m.random.Int64N(int64(d)))
}
