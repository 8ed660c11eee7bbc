package forwarder

import (
	"slices"
	"time"

	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/selector"
)

// attempt is one send to one upstream, kept until the transport reports its end.
type attempt struct {
	id        AttemptID
	request   *request // nil once the reply is no longer needed
	subIndex  int
	service   *service
	upstream  string
	sent      time.Time
	route     *routeState
	reported  time.Duration // age at which other VMs were last told of its silence
	cancelled bool
	toPeer    bool // upstream names a peer, and service is nil
	signature uint64
	alone     bool // its request has no other attempt in flight, because it may crash upstreams
}

// dispatch sends a sub-request to an upstream. If none has free capacity, it queues the sub-request, or fails it if it would wait too long.
func (m *Machine) dispatch(now time.Time, r *request, index int) {
	sub := &r.subs[index]
	if r.detour != nil { // a peer uses the attempts that are left
		sub.state = subIdle
		return
	}
	if m.holdBack(now, r, index) {
		return
	}
	i, ok := m.pickUpstream(now, sub, false)
	switch {
	case ok && (!sub.needsToken || m.takeToken(now, r, sub, now)):
		m.send(now, r, index, i)
	case ok:
		sub.reason = Budget
		m.failSub(now, r, index)
	case !sub.hasUntriedUpstream():
		if sub.reason == None {
			sub.reason = NoUpstream
		}
		m.failSub(now, r, index)
	case sub.nextGrant(now).After(r.waitUntil):
		sub.reason = RateLimited
		m.failSub(now, r, index)
	case !now.Before(r.waitUntil):
		sub.reason = Busy
		m.failSub(now, r, index)
	default:
		sub.state = subWaiting
		sub.service.enqueue(r, index)
	}
}

// pickUpstream selects an upstream that the sub-request has not tried yet. A hedge does not use up the rate of an upstream that limits it.
func (m *Machine) pickUpstream(now time.Time, sub *subRequest, hedge bool) (int, bool) {
	var positions [maxSends]int
	return sub.service.set.Pick(now, m.random, selector.Query{
		Group: -1, Exclude: sub.triedPositions(positions[:0]), Policy: selector.Near, Unlimited: hedge,
	})
}

// triedPositions appends the positions of the upstreams that the sub-request has tried.
func (s *subRequest) triedPositions(positions []int) []int {
	for _, name := range s.tried {
		if i, ok := s.service.set.Index(name); ok {
			positions = append(positions, i)
		}
	}
	return positions
}

// nextGrant returns when the declared rates allow to send the sub-request to an upstream that it has not tried.
func (s *subRequest) nextGrant(now time.Time) time.Time {
	var positions [maxSends]int
	return s.service.set.NextGrant(now, s.triedPositions(positions[:0]))
}

// hasUntriedUpstream reports whether the sub-request may still be sent to an untried upstream once that has free capacity.
func (s *subRequest) hasUntriedUpstream() bool {
	if len(s.tried) >= maxSends {
		return false
	}
	for i := range s.service.set.Len() {
		u := s.service.set.At(i)
		if u.Eligible() && !slices.Contains(s.tried, u.Row.Upstream) {
			return true
		}
	}
	return false
}

func (m *Machine) send(now time.Time, r *request, index, i int) {
	sub := &r.subs[index]
	u := sub.service.set.At(i)
	m.lastAttempt++
	a := &attempt{
		id: m.lastAttempt, request: r, subIndex: index, service: sub.service, upstream: u.Row.Upstream, sent: now,
		route: r.routeState, signature: r.signature,
	}
	m.markAlone(now, r, a)
	m.attempts[a.id] = a
	m.countLimitedSend(u, sub)
	sub.inFlight.Add(a.id)
	sub.tried = append(sub.tried, a.upstream)
	sub.state = subSent
	sub.possibleRuns++ // reverted if the result shows that it did not run
	r.sends++
	lateAt := now.Add(sub.service.set.LateAfter(i))
	m.reach.RecordStart(now, sub.service.name, a.upstream, lateAt)
	sub.service.reach.RecordStart(now, sub.service.name, a.upstream, lateAt)
	sub.service.set.RecordStart(now, i)
	linger := time.Duration(0)
	if a.alone {
		linger = aloneLinger
	}
	m.emit(Send{
		Attempt: a.id, Service: sub.service.name, Upstream: a.upstream, Address: u.Row.Address, Message: r.message, Deadline: r.answerBy,
		ConnectBy: now.Add(connectPatience(now, r)), MaxBodyBytes: m.maxBodyBytes(r), MaxConnections: sub.service.connectionShare(m.fleetMax()),
		RecentlyActive: !r.route.Idempotent, Linger: linger, Identity: r.identity,
	})
	if r.route.Idempotent && sub.inFlight.Count() < maxInFlight && !a.alone {
		sub.hedgeAt = now.Add(r.routeState.hedgeDelay(now, r.route, r.answerBy.Sub(r.arrived)))
		m.reschedule(r, sub.hedgeAt)
	}
}

// connectPatience returns how long an attempt waits for a new connection. The request then goes to another upstream before it would be
// hedged, which takes a token.
func connectPatience(now time.Time, r *request) time.Duration {
	delay := r.routeState.hedgeDelay(now, r.route, r.answerBy.Sub(r.arrived))
	return max(minConnectPatience, time.Duration(float64(delay)*connectPatienceShare))
}

// hedge sends a second attempt while the first one is in flight.
func (m *Machine) hedge(now time.Time, r *request, index int) {
	sub := &r.subs[index]
	sub.hedgeAt = time.Time{}
	if sub.inFlight.Count() >= maxInFlight || sub.possibleRuns >= r.maxAttempts() || len(sub.tried) >= maxSends || m.decision(now, r) != quarantiner.Clear {
		return
	}
	if m.hedgeElsewhere(now, r, sub) {
		return
	}
	i, ok := m.pickUpstream(now, sub, true)
	again := now.Add(r.routeState.hedgeDelay(now, r.route, r.answerBy.Sub(r.arrived)))
	if !ok || !m.takeToken(now, r, sub, again) {
		// An upstream or a token may become available while the first attempt is still in flight.
		sub.hedgeAt = again
		return
	}
	r.hedges++
	m.send(now, r, index, i)
}

// handleAttemptEnd records the result of an attempt, updates its request, and dispatches waiting sub-requests.
func (m *Machine) handleAttemptEnd(now time.Time, e AttemptEnded) {
	a := m.attempts[e.Attempt]
	if a == nil {
		return
	}
	delete(m.attempts, a.id)
	if a.toPeer {
		m.handleDetourEnd(now, a, e.Result)
		return
	}
	m.recordReach(now, a, e.Result)
	m.recordEvidence(now, a, e.Result)
	m.recordResult(now, a, e.Result)
	if r := a.request; r != nil && !r.finished {
		r.subs[a.subIndex].inFlight.Remove(a.id)
		switch result := e.Result.(type) {
		case Replied:
			if result.Reply.Leaving {
				r.leaving = append(r.leaving, a.upstream)
			}
			m.handleReply(now, r, a, result.Reply)
		case Failed:
			m.handleFailure(now, r, a, result)
		}
	}
	m.endAlone(now, a)
	if a.alone {
		m.releaseSame(now, a.signature)
	}
	m.dispatchWaiting(now, a.service)
}

func (m *Machine) handleReply(now time.Time, r *request, a *attempt, reply *Reply) {
	sub := &r.subs[a.subIndex]
	if sub.state == subDone {
		return
	}
	if reply.NotRun {
		sub.possibleRuns--
		sub.reason, sub.failedReply = Shed, reply
		m.retry(now, r, a.subIndex)
		return
	}
	r.mayHaveRun = true
	if reply.success() {
		r.routeState.latencies.Add(now, now.Sub(a.sent))
		m.completeSub(now, r, a.subIndex, reply)
		return
	}
	if reply.unproven() {
		sub.reason, sub.failedReply = Errored, nil
		m.retry(now, r, a.subIndex)
		return
	}
	sub.reason, sub.failedReply = Errored, reply
	// A request to one upstream is retried only after a server error: another upstream would reject an invalid request too.
	if reply.Status < 500 && r.gather == nil {
		m.failSub(now, r, a.subIndex)
		return
	}
	m.retry(now, r, a.subIndex)
}

func (m *Machine) handleFailure(now time.Time, r *request, a *attempt, f Failed) {
	sub := &r.subs[a.subIndex]
	if sub.state == subDone {
		return
	}
	sub.reason = Lost
	switch {
	case f.Failure == ConnectionRejected && r.route.Idempotent:
		// The upstream has most likely not read the request, but that is not certain enough to report that it did not run.
		r.mayHaveRun = true
		sub.possibleRuns--
		sub.reason = Busy
		if !sub.service.unreachable(now) { // otherwise upstreams refuse requests rather than connections, and each one counts as an arrival
			sub.unwritten++
		}
	case f.Written:
		r.mayHaveRun = true
	default:
		sub.possibleRuns--
		sub.unwritten++
		if f.Failure == NoConnection {
			sub.reason = Busy
		}
	}
	if f.Failure == TimedOut {
		sub.reason = Expired
	}
	m.retry(now, r, a.subIndex)
}

// retry sends a sub-request to another upstream after a failed attempt, if the route and the limits allow it.
func (m *Machine) retry(now time.Time, r *request, index int) {
	sub := &r.subs[index]
	if sub.inFlight.Count() > 0 {
		// The other attempt may still succeed, but it is late already, or there would be no hedge.
		if sub.hedgeAt.IsZero() {
			sub.hedgeAt = now
			m.reschedule(r, now)
		}
		return
	}
	if r.detour != nil || !r.route.Idempotent && sub.possibleRuns > 0 || sub.possibleRuns >= r.maxAttempts() ||
		len(sub.tried) >= maxSends || !now.Before(r.answerBy) {
		m.failSub(now, r, index)
		return
	}
	if r.gather == nil && m.mayAskElsewhere(now, sub.service) && m.moveToPeer(now, r) {
		return
	}
	// An attempt that was never written did not reach an upstream, so the send that replaces it is not an extra one.
	sub.needsToken = len(sub.tried) > sub.unwritten
	r.retries++
	m.dispatch(now, r, index)
}

// recordResult passes the result of an attempt to the upstream selection.
func (m *Machine) recordResult(now time.Time, a *attempt, result Result) {
	i, ok := a.service.set.Index(a.upstream)
	if !ok {
		return
	}
	kind := selector.Unattributed
	switch e := result.(type) {
	case Replied:
		kind = resultKind(e.Reply)
		m.observeNotice(now, a.service, i, e.Reply)
		if l := e.Reply.Load; l != nil {
			a.service.set.SetLoad(now, i, l.Running, l.Waiting)
		}
		if e.Reply.Misdirected {
			a.service.set.SetLeaving(now, i, 0, true)
		} else if a.service.set.ObserveRate(now, a.sent, m.random, i, e.Reply.Rate) {
			m.reportRate(a.service, i)
		}
	case Failed:
		if !e.Written {
			a.service.set.ReturnGrant(i)
		}
		switch e.Failure {
		case Unreachable:
			kind = selector.Refused
		case Reset, ConnectionRejected, Oversized:
			kind = selector.Reset
		case TimedOut:
			kind = selector.TimedOut
		case Cancelled, SlowConnect:
			kind = selector.Cancelled
		}
	}
	m.collectReport(now, a, kind, result)
	record := selector.Result{Latency: now.Sub(a.sent), Kind: kind}
	if m.rated {
		record.Usual = a.route.usualLatency(now)
	}
	a.service.set.RecordResult(now, i, record)
}

// collectReport records the result of an attempt for other VMs. A rejected connection says nothing about the open ones.
func (m *Machine) collectReport(now time.Time, a *attempt, kind selector.ResultKind, result Result) {
	if f, ok := result.(Failed); ok && f.Failure == ConnectionRejected {
		return
	}
	switch kind {
	case selector.OK:
		m.repliedAt = now
		m.collector.RecordSuccess(a.service.name, a.upstream, now.Sub(a.sent), a.reported, a.route.usualLatency(now))
	case selector.Reset, selector.Refused, selector.TimedOut, selector.Errored:
		m.collector.RecordFailure(a.service.name, a.upstream, a.reported > 0)
	}
}

func resultKind(r *Reply) selector.ResultKind {
	switch {
	case r.Misdirected:
		return selector.Refused
	case r.NotRun:
		return selector.Shed
	case r.Status >= 500 || r.unproven():
		return selector.Errored
	default:
		return selector.OK
	}
}
