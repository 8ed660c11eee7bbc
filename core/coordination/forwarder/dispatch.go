package forwarder

import (
	"slices"
	"time"

	"comfreyroute/core/coordination/selector"
)

// attempt is one send to one upstream until the transport reports its end.
type attempt struct {
	id        AttemptID
	request   *request // nil once nothing waits for the reply
	sub       int
	service   *service
	upstream  string
	sent      time.Time
	cancelled bool
}

// dispatch sends a sub-request to an upstream, or lets it wait for one.
func (m *Machine) dispatch(now time.Time, r *request, g int) {
	b := &r.subs[g]
	i, ok := m.pick(now, b)
	switch {
	case ok && (!b.extra || b.service.budget.TakeToken()):
		m.send(now, r, g, i)
	case ok:
		b.reason = Budget
		m.settleFailed(now, r, g)
	case !b.mayBecomeFree():
		if b.reason == None {
			b.reason = NoUpstream
		}
		m.settleFailed(now, r, g)
	case !now.Before(r.waitEnd):
		b.reason = Busy
		m.settleFailed(now, r, g)
	default:
		b.state = subWaiting
		b.service.enqueue(r, g)
	}
}

// pick chooses an upstream that was not tried.
func (m *Machine) pick(now time.Time, b *sub) (int, bool) {
	var positions [maxSends]int
	exclude := positions[:0]
	for _, name := range b.tried {
		if i, ok := b.service.set.Index(name); ok {
			exclude = append(exclude, i)
		}
	}
	return b.service.set.Pick(now, m.random, selector.Query{Group: -1, Exclude: exclude, Policy: selector.Near})
}

// mayBecomeFree tells whether an upstream that was not tried takes work in general.
func (b *sub) mayBecomeFree() bool {
	if len(b.tried) >= maxSends {
		return false
	}
	for i := range b.service.set.Len() {
		u := b.service.set.At(i)
		if u.Eligible() && !slices.Contains(b.tried, u.Row.Upstream) {
			return true
		}
	}
	return false
}

func (m *Machine) send(now time.Time, r *request, g, i int) {
	b := &r.subs[g]
	u := b.service.set.At(i)
	m.lastAttempt++
	a := &attempt{
		id: m.lastAttempt, request: r, sub: g, service: b.service, upstream: u.Row.Upstream, sent: now,
	}
	m.attempts[a.id] = a
	b.live.Add(a.id)
	b.tried = append(b.tried, a.upstream)
	b.state = subSent
	b.ran++ // until the reply says otherwise
	r.sends++
	b.service.set.RecordStart(now, i)
	m.emit(Send{
		Attempt: a.id, Service: b.service.name, Upstream: a.upstream, Address: u.Row.Address, Message: r.message, Deadline: r.until,
		MaxConnections: b.service.share(m.fleetMax()), RecentlyActive: !r.route.Idempotent,
	})
	if r.route.Idempotent && b.live.Count() < maxLive {
		b.hedgeAt = now.Add(r.policy.hedgeDelay(now, r.route, r.until.Sub(r.arrived)))
		m.reschedule(r, b.hedgeAt)
	}
}

// hedge sends a second attempt while the first one runs.
func (m *Machine) hedge(now time.Time, r *request, g int) {
	b := &r.subs[g]
	b.hedgeAt = time.Time{}
	if b.live.Count() >= maxLive || b.ran >= r.attempts() || len(b.tried) >= maxSends {
		return
	}
	i, ok := m.pick(now, b)
	if !ok || !b.service.budget.TakeToken() {
		// An upstream or a token may become free while the first attempt still runs.
		b.hedgeAt = now.Add(r.policy.hedgeDelay(now, r.route, r.until.Sub(r.arrived)))
		return
	}
	r.hedges++
	m.send(now, r, g, i)
}

// ended handles the end of an attempt.
func (m *Machine) ended(now time.Time, e AttemptEnded) {
	a := m.attempts[e.Attempt]
	if a == nil {
		return
	}
	delete(m.attempts, a.id)
	m.observe(now, a, e.Result)
	if r := a.request; r != nil && !r.finished {
		r.subs[a.sub].live.Remove(a.id)
		switch result := e.Result.(type) {
		case Replied:
			m.replied(now, r, a, result.Reply)
		case Failed:
			m.failed(now, r, a, result)
		}
	}
	m.wakeWaiting(now, a.service)
}

func (m *Machine) replied(now time.Time, r *request, a *attempt, reply *Reply) {
	b := &r.subs[a.sub]
	if b.state == subDone {
		return
	}
	if reply.NotRun {
		b.ran--
		b.reason, b.refusal = Shed, reply
		m.again(now, r, a.sub)
		return
	}
	r.ran = true
	if reply.success() {
		r.policy.latencies.Add(now, now.Sub(a.sent))
		m.settleDone(now, r, a.sub, reply)
		return
	}
	b.reason, b.refusal = Errored, reply
	// Only a failure of the server is worth another try; what the caller did wrong stays wrong.
	if reply.Status < 500 && r.gather == nil {
		m.settleFailed(now, r, a.sub)
		return
	}
	m.again(now, r, a.sub)
}

func (m *Machine) failed(now time.Time, r *request, a *attempt, f Failed) {
	b := &r.subs[a.sub]
	if b.state == subDone {
		return
	}
	b.reason = Lost
	switch {
	case f.Failure == ConnectionRejected && r.route.Idempotent:
		// The upstream has most likely not seen the request, but that is not certain enough for a promise.
		r.ran = true
		b.ran--
		b.unsent++
		b.reason = Busy
	case f.Written:
		r.ran = true
	default:
		b.ran--
		b.unsent++
		if f.Failure == NoConnection {
			b.reason = Busy
		}
	}
	if f.Failure == TimedOut {
		b.reason = Expired
	}
	m.again(now, r, a.sub)
}

// again sends a sub-request to another upstream after an attempt failed, if that is allowed.
func (m *Machine) again(now time.Time, r *request, g int) {
	b := &r.subs[g]
	if b.live.Count() > 0 {
		return // the other attempt may still succeed
	}
	if !r.route.Idempotent && b.ran > 0 || b.ran >= r.attempts() || len(b.tried) >= maxSends || !now.Before(r.until) {
		m.settleFailed(now, r, g)
		return
	}
	// What was never written did not reach an upstream, so that the next send is the first one that does.
	b.extra = len(b.tried) > b.unsent
	r.retries++
	m.dispatch(now, r, g)
}

// observe tells the selection what an attempt has shown about its upstream.
func (m *Machine) observe(now time.Time, a *attempt, result Result) {
	i, ok := a.service.set.Index(a.upstream)
	if !ok {
		return
	}
	kind := selector.Unattributed
	switch e := result.(type) {
	case Replied:
		kind = kindOf(e.Reply)
		if l := e.Reply.Load; l != nil {
			a.service.set.SetLoad(now, i, l.Running, l.Waiting)
		}
		if e.Reply.Misdirected {
			a.service.set.SetLeaving(now, i, 0, true)
		}
	case Failed:
		switch e.Failure {
		case Unreachable:
			kind = selector.Refused
		case Reset, ConnectionRejected:
			kind = selector.Reset
		case TimedOut:
			kind = selector.TimedOut
		case Cancelled:
			kind = selector.Cancelled
		}
	}
	m.report(now, a, kind, result)
	a.service.set.RecordResult(now, i, selector.Result{Latency: now.Sub(a.sent), Kind: kind})
}

// report notes the result of an attempt for other VMs. A connection that was turned away says nothing about those that are open.
func (m *Machine) report(now time.Time, a *attempt, kind selector.ResultKind, result Result) {
	if f, ok := result.(Failed); ok && f.Failure == ConnectionRejected {
		return
	}
	switch kind {
	case selector.OK:
		m.book.RecordSuccess(a.service.name, a.upstream, now.Sub(a.sent))
	case selector.Reset, selector.Refused, selector.TimedOut, selector.Errored:
		m.book.RecordFailure(a.service.name, a.upstream)
	}
}

func kindOf(r *Reply) selector.ResultKind {
	switch {
	case r.Misdirected:
		return selector.Refused
	case r.NotRun:
		return selector.Shed
	case r.Status >= 500:
		return selector.Errored
	default:
		return selector.OK
	}
}
