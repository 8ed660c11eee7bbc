package forwarder

import (
	"time"

	"comfreyroute/core/coordination/authenticator"
	"comfreyroute/core/coordination/scheduler"
)

type subState uint8

const (
	subIdle subState = iota
	subWaiting
	subSent
	subDone
	subFailed
	subHeld // until it is known whether the request crashes upstreams
)

// request is the state of one request of a caller.
type request struct {
	id              RequestID
	message         *Message
	route           *Route
	routeState      *routeState
	manifestVersion uint64
	fingerprint     uint64  // of the route
	gather          *Gather // nil for a request to one upstream
	minShards       int     // fewest shards that an answer must have
	arrived         time.Time
	spent           time.Duration // that the caller waited before, as on a try that failed
	answerBy        time.Time     // latest time of the answer
	partialAt       time.Time     // from when on a gathered answer is sent without its last shards
	waitUntil       time.Time     // latest time to wait for an upstream with free capacity
	subs            []subRequest
	pending         int // sub-requests without a result
	succeeded       int
	mayHaveRun      bool // at some upstream
	finished        bool
	due             time.Time
	heapIndex       int // position in the timers, -1 if absent
	sends           int
	hedges          int
	retries         int
	detour          *detour  // the way through peers; nil for none
	detoured        *Detour  // set if another VM sent the request on
	leaving         []string // names of upstreams that said so in a reply
	hosted          bool     // counted in Machine.detoured
	turnedAway      bool     // no peer has taken it
	prepaid         bool     // its tokens for moving to a peer are taken
	signature       uint64
	suspect         bool                    // the VM that sent it on saw upstreams crash under it
	alone           AttemptID               // the only attempt that may be in flight, because the request may crash upstreams; 0 for none
	customer        *authenticator.Customer // nil if callers need no key
	key             authenticator.Digest    // of the customer
	identity        Identity
	late            bool      // its caller came back too late to be answered within the latency target
	askedGrant      bool      // the ask in flight, or a failed one, counts it
	grantBy         time.Time // latest time to wait for a grant of the customer's rate; zero if it does not wait
	turn            turn
}

// subRequest is the part of a request for one shard or service, with all of its attempts.
type subRequest struct {
	service      *service
	state        subState
	inFlight     scheduler.InFlight[AttemptID]
	tried        []string // names of upstreams
	possibleRuns int      // attempts that may have run
	unwritten    int      // attempts that count as not having reached an upstream
	hedgeAt      time.Time
	needsToken   bool   // the next send takes a budget token
	reply        *Reply // the successful one
	failedReply  *Reply // the last one that is not successful
	reason       Reason
	heldUntil    time.Time // latest time to wait for evidence about a reset; zero for none
}

// Due implements scheduler.Item.
func (r *request) Due() time.Time { return r.due }

// HeapIndex implements scheduler.Item.
func (r *request) HeapIndex() *int { return &r.heapIndex }

func (r *request) maxAttempts() int {
	n := defaultMaxAttempts
	if r.route.MaxAttempts > 0 {
		n = r.route.MaxAttempts
	}
	if r.detoured != nil {
		n = min(n, r.detoured.Attempts)
	}
	return n
}

// handleArrival admits a request and sends it, or refuses it at once.
func (m *Machine) handleArrival(now time.Time, e RequestArrived) {
	if m.requests[e.Request] != nil {
		panic("forwarder: request id is already in use")
	}
	if m.manifest == nil {
		m.emit(Answer{Request: e.Request, Outcome: Refused{Reason: NoManifest, RetryAfter: m.jitter(noManifestRetryAfter)}})
		return
	}
	route := m.manifest.Match(e.Message.Host, e.Message.Path)
	if route == nil {
		m.emit(Answer{Request: e.Request, Outcome: Refused{Reason: NoRoute}, Report: Report{Manifest: m.manifest.Version}})
		return
	}
	r := &request{
		id: e.Request, message: e.Message, route: route, routeState: m.routeState(now, route), manifestVersion: m.manifest.Version,
		fingerprint: m.manifest.fingerprints[route],
		arrived:     now, heapIndex: -1, detoured: e.Detour, suspect: e.Detour != nil && e.Detour.Suspect,
	}
	if reason, ok := m.authenticate(r, e.Keys); !ok {
		m.emit(Answer{Request: r.id, Outcome: Refused{Reason: reason}, Report: Report{Route: route.Name, Manifest: r.manifestVersion}})
		return
	}
	r.signature = e.Message.Signature(r.identity)
	r.setDeadlines(now, e.Deadline)
	if m.refuseAtStop(now, r) {
		return
	}
	if !now.Before(r.answerBy) {
		m.refuse(r, Expired)
		return
	}
	if m.refuseQuarantined(now, r) {
		return
	}
	m.requests[r.id] = r
	m.createSubRequests(r)
	if r.detoured != nil && !m.hostDetoured(now, r) {
		return
	}
	if m.ration(now, r) {
		m.begin(now, r)
	}
}

// begin sends a request that has been admitted.
func (m *Machine) begin(now time.Time, r *request) {
	if !m.detourOnArrival(now, r) {
		m.dispatchSubRequests(now, r)
	}
	if !r.finished {
		m.schedule(now, r)
	}
}

// setDeadlines derives the times of a request's answer, partial answer and end of waiting from its deadline and its route.
func (r *request) setDeadlines(now, deadline time.Time) {
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if !deadline.IsZero() && r.detoured == nil {
		r.routeState.patience.record(now, deadline.Sub(now))
	}
	if deadline.IsZero() || deadline.After(now.Add(timeout)) {
		deadline = now.Add(timeout)
	}
	left := deadline.Sub(now)
	if r.route.Timeout > 0 && r.route.LatencyTarget > 0 {
		r.spent = r.routeState.patience.spent(left, timeout)
	}
	r.answerBy = deadline.Add(-min(answerMargin, left/marginDivisor))
	target := r.route.LatencyTarget
	if target <= 0 || target > left {
		target = left
	}
	untilTarget := target
	if r.spent > 0 && !r.comesLate(now) { // too late for its target, a request may as well wait for its last shards
		untilTarget = min(target, r.route.LatencyTarget-r.spent)
	}
	if r.detoured != nil {
		target = max(0, target-r.detoured.Age-detourMargin)
		untilTarget = min(target, max(0, untilTarget-detourMargin))
	}
	r.partialAt = now.Add(untilTarget - min(latencyTargetMargin, target/marginDivisor))
	r.waitUntil = now.Add(time.Duration(float64(target) * maxWaitShare))
}

// createSubRequests creates the sub-requests of a request.
func (m *Machine) createSubRequests(r *request) {
	switch d := r.route.Destination.(type) {
	case Gather:
		r.gather, r.minShards = &d, d.minShards()
		r.subs = make([]subRequest, len(d.Shards))
		for index, name := range d.Shards {
			r.subs[index].service = m.serviceFor(name)
		}
	case Split:
		r.minShards = 1
		r.subs = []subRequest{{service: m.serviceFor(r.routeState.nextService(&d))}}
	}
	r.pending = len(r.subs)
}

// dispatchSubRequests sends the sub-requests of a request to upstreams.
func (m *Machine) dispatchSubRequests(now time.Time, r *request) {
	m.joinTurns(r)
	if r.detoured == nil || !r.detoured.Counted {
		for index := range r.subs {
			r.subs[index].service.budget.AddPrimaries(now, 1)
		}
	}
	if (r.gather != nil || r.ordered() && len(r.subs[0].service.waiting) > 0) && !m.screen(now, r) {
		return
	}
	for index := range r.subs {
		r.subs[index].needsToken = r.detoured != nil && r.detoured.Counted && !r.detoured.Paid
	}
	first := m.firstAlone(now, r)
	if first >= 0 {
		m.dispatch(now, r, first)
	}
	for index := range r.subs {
		if r.finished {
			return
		}
		if index != first {
			m.dispatch(now, r, index)
		}
	}
	if len(r.subs) == 0 {
		m.refuse(r, NoUpstream)
		return
	}
	m.displace(now, r)
	r.leaveTurns()
}

// finish removes a request that has its answer. Attempts in flight are not cancelled, because that closes their connections and
// each upstream would need a new one.
func (m *Machine) finish(r *request) {
	r.finished = true
	if r.ordered() {
		r.dequeueAll()
	}
	for index := range r.subs {
		for _, id := range r.subs[index].inFlight {
			if a := m.attempts[id]; a != nil {
				a.request = nil
			}
		}
	}
	if r.detour != nil && r.detour.attempt != nil {
		m.cancel(r.detour.attempt)
		r.detour.attempt.request = nil
	}
	if r.hosted {
		m.detoured--
	}
	m.dropGrantWait(r)
	m.timers.Remove(r)
	delete(m.requests, r.id)
}

// abandon cancels the attempts of a request whose caller is gone and removes it.
func (m *Machine) abandon(r *request) {
	for index := range r.subs {
		m.cancelAll(&r.subs[index])
	}
	m.finish(r)
}

func (m *Machine) cancelAll(sub *subRequest) {
	for _, id := range sub.inFlight {
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

// answer emits the outcome of a request and removes it.
func (m *Machine) answer(now time.Time, r *request, o Outcome) {
	if r.finished {
		panic("forwarder: a request was answered twice")
	}
	m.emit(Answer{Request: r.id, Outcome: o, Leaving: r.leaving, Runs: r.runs(), Report: r.report(now)})
	m.finish(r)
}

// runs returns on how many upstreams of a service the request may have run, at most.
func (r *request) runs() int {
	n := 0
	for index := range r.subs {
		n = max(n, r.subs[index].possibleRuns)
	}
	return n
}

// refuse answers a request of which nothing was sent.
func (m *Machine) refuse(r *request, reason Reason) {
	o := Refused{Reason: reason, RetryAfter: m.retryAfter(r)}
	m.emit(Answer{Request: r.id, Outcome: o, Report: Report{Route: r.route.Name, Customer: r.identity.Customer, Manifest: r.manifestVersion}})
	m.finish(r)
}

func (r *request) report(now time.Time) Report {
	p := Report{
		Route: r.route.Name, Customer: r.identity.Customer, Manifest: r.manifestVersion, Elapsed: now.Sub(r.arrived), Spent: r.spent, Sends: r.sends, Hedges: r.hedges, Retries: r.retries,
	}
	for index := range r.subs {
		sub := &r.subs[index]
		if sub.state == subDone {
			continue
		}
		s := MissingShard{Service: sub.service.name, Reason: sub.reason}
		if n := len(sub.tried); n > 0 {
			s.Upstream = sub.tried[n-1]
		}
		if sub.state != subFailed {
			s.Reason = Late
		}
		p.Missing = append(p.Missing, s)
	}
	return p
}

// retryAfter returns the delay after which the caller of a refused request may retry.
func (m *Machine) retryAfter(r *request) time.Duration {
	target := r.route.LatencyTarget
	if target <= 0 {
		target = r.route.Timeout
	}
	return m.jitter(max(minRetryAfter, time.Duration(float64(target)*retryAfterShare)))
}

// jitter returns a random duration from d to 2d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d + time.Duration(m.random.Int64N(int64(d)))
}
