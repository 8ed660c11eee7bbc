package forwarder

import (
	"slices"
	"time"

	"comfreyroute/core/coordination/authenticator"
	"comfreyroute/core/coordination/navigator"
	"comfreyroute/core/coordination/quarantiner"
)

const (
	// maxDetours bounds the peers that are asked to serve one request.
	maxDetours = 3
	// peerConnections is how many requests may be in flight to one peer.
	peerConnections = 64
	// peerPatience is how long a connect to a peer may take before another one is asked.
	peerPatience = 100 * time.Millisecond
	// maxHedgeDelay is how old an attempt may be whose hedge waits, and hedgeCheckInterval how long it waits at a time.
	maxHedgeDelay      = 150 * time.Millisecond
	hedgeCheckInterval = 20 * time.Millisecond
	// lostRetryAfter is when callers may return whose requests no VM can serve.
	lostRetryAfter = 200 * time.Millisecond
	// detourMargin is how much earlier a peer sends a partial answer, because it takes one more hop to the caller.
	detourMargin = 4 * time.Millisecond
)

// Detour is what a peer needs to know of a request beside the request itself, so that both VMs together keep its limits. A request that came
// by a detour is not sent on again.
type Detour struct {
	Route    uint64        // fingerprint of the route by which the first VM routed the request
	Age      time.Duration // time since the request arrived at the first VM
	Attempts int           // upstreams of each service on which the request may still run
	Counted  bool          // the retry budget of another VM has counted the request
	Paid     bool          // and has paid for the first attempt of each sub-request
	Suspect  bool          // the first VM saw upstreams crash under the request
	Identity Identity
	Key      authenticator.Digest // of the customer; zero for a caller that needs no key
}

// DetourCounts counts requests that went through peers, by their end, and those of other VMs that this VM took or refused.
type DetourCounts struct{ Served, TurnedAway, Broken, Hosted, Refused uint64 }

// detour is the state of a request that is sent through peers.
type detour struct {
	attempt *attempt // in flight; nil between two peers
	tried   []string // names of peers
	counted bool     // as Detour.Counted
	paid    bool     // as Detour.Paid
	runs    int      // upstreams of a service on which the request may have run at peers, at most
}

// detourOnArrival sends a new request through a peer if this VM does not reach its upstreams and a peer may. A request that certainly cannot be
// served is refused. It returns false if the request is to be sent to the upstreams.
func (m *Machine) detourOnArrival(now time.Time, r *request) bool {
	if r.detoured != nil {
		return false
	}
	if m.reach.Lost(now) {
		// While peers reach nothing either, a trial without a way back to them is no worse than a refusal.
		forced := m.reach.TrialOverdue(now) || m.elsewhere.Unreached(now) || m.peers.Len() == 0
		if m.reach.TrialDue() && (m.mayTry(r) && m.prepay(now, r) || forced) {
			m.reach.TakeTrial()
			return false
		}
		if !m.elsewhere.Unreached(now) && m.startDetour(now, r) {
			return true
		}
		if m.tryInsteadOfRefusal(now, r) {
			return false
		}
		m.refuseLost(now, r)
		return true
	}
	ask, trial, overdue := false, false, false
	for index := range r.subs {
		if s := r.subs[index].service; s.unreachable(now) && s.elsewhere.Ask(now) {
			m.avoidService(s)
			ask, trial, overdue = true, trial || s.trial.Due(), overdue || s.trial.Overdue(now)
		}
	}
	if trial && (m.mayTry(r) && m.prepay(now, r) || overdue) {
		for index := range r.subs {
			r.subs[index].service.trial.Take()
		}
		return false
	}
	return ask && m.startDetour(now, r)
}

// tryInsteadOfRefusal reports whether a request that no peer takes is sent to the lost upstreams: as their trial, or because none of its own services
// has failed. Upstreams of other services that are down look like the loss of all. The request may run twice, so that this costs its caller no more
// than the refusal, also without the tokens for a way back to the peers.
func (m *Machine) tryInsteadOfRefusal(now time.Time, r *request) bool {
	if !r.route.Idempotent {
		return false
	}
	sound := 0
	for index := range r.subs {
		if s := r.subs[index].service; !s.reach.Suspected(now) && !s.unreachable(now) {
			sound++
		}
	}
	if sound >= max(1, r.minShards) {
		return true
	}
	if !m.reach.TrialDue() {
		return false
	}
	m.reach.TakeTrial()
	return true
}

// refuseLost refuses a request that neither this VM nor a peer can serve. If all VMs have lost the upstreams, another VM does not help, and
// the caller is to return when the next probe may have succeeded.
func (m *Machine) refuseLost(now time.Time, r *request) {
	after := m.retryAfter(r)
	if m.elsewhere.Unreached(now) {
		after = max(after, m.jitter(lostRetryAfter))
	}
	m.emit(Answer{Request: r.id, Outcome: Refused{Reason: OutOfReach, RetryAfter: after}, Report: r.report(now)})
	m.finish(r)
}

// mayTry reports whether a request may be used to find out whether upstreams reply again: if they do not, a peer must be able to serve it.
func (m *Machine) mayTry(r *request) bool {
	return r.route.Idempotent && r.maxAttempts() > 1 && m.peers.Len() > 0
}

// prepay takes the tokens of the retry budget that a request needs to move to a peer.
func (m *Machine) prepay(now time.Time, r *request) bool {
	r.prepaid = takeTokens(now, r, func(*subRequest) bool { return true })
	return r.prepaid
}

// startDetour sends a request of which nothing was sent yet to a peer.
func (m *Machine) startDetour(now time.Time, r *request) bool {
	r.detour = &detour{}
	if m.sendDetour(now, r) {
		return true
	}
	r.detour = nil
	return false
}

// moveToPeer sends a request in progress through a peer, because its own attempts are unlikely to succeed. Those in flight go on. It returns
// false if the request must not run once more, or no peer takes it.
func (m *Machine) moveToPeer(now time.Time, r *request) bool {
	if r.detoured != nil || r.detour != nil || r.turnedAway || m.peers.Len() == 0 || !now.Before(r.answerBy) || m.attemptsLeft(r) < 1 ||
		m.decision(now, r) == quarantiner.Reject {
		return false
	}
	for index := range r.subs {
		if !r.route.Idempotent && r.subs[index].possibleRuns > 0 {
			return false
		}
	}
	sent := func(sub *subRequest) bool { return len(sub.tried) > sub.unwritten }
	if !r.prepaid && !takeTokens(now, r, sent) {
		return false
	}
	r.detour = &detour{counted: true, paid: true}
	if m.sendDetour(now, r) {
		r.prepaid = false
		r.pauseSubRequests()
		return true
	}
	r.detour = nil
	if !r.prepaid {
		returnTokens(r.subs, sent)
	}
	return false
}

// pauseSubRequests keeps a request from being sent to upstreams while a peer uses the attempts that are left.
func (r *request) pauseSubRequests() {
	for index := range r.subs {
		sub := &r.subs[index]
		sub.hedgeAt = time.Time{}
		switch sub.state {
		case subWaiting:
			sub.service.dequeue(r, index)
			sub.state = subIdle
		case subHeld:
			sub.state, sub.heldUntil = subIdle, time.Time{}
		}
	}
	r.leaveTurns()
}

// resumeSubRequests goes on with the sub-requests of a request that no peer has taken.
func (m *Machine) resumeSubRequests(now time.Time, r *request) {
	for index := range r.subs {
		switch sub := &r.subs[index]; {
		case r.finished || r.detour != nil:
			return
		case sub.state == subIdle:
			m.dispatch(now, r, index)
		case sub.state == subSent && r.route.Idempotent:
			sub.hedgeAt = now.Add(hedgeCheckInterval)
		}
	}
	m.answerIfDecided(now, r)
}

// takeTokens takes a token of the retry budget for each selected sub-request, or none at all.
func takeTokens(now time.Time, r *request, selected func(*subRequest) bool) bool {
	for index := range r.subs {
		if sub := &r.subs[index]; selected(sub) && !sub.service.budget.TakeToken(now) {
			returnTokens(r.subs[:index], selected)
			return false
		}
	}
	return true
}

// returnTokens returns the tokens that takeTokens has just taken.
func returnTokens(subs []subRequest, selected func(*subRequest) bool) {
	for index := range subs {
		if sub := &subs[index]; selected(sub) {
			sub.service.budget.ReturnToken()
		}
	}
}

// attemptsLeft returns on how many upstreams of each service a request may still run.
func (m *Machine) attemptsLeft(r *request) int {
	left := r.maxAttempts()
	for index := range r.subs {
		left = min(left, r.maxAttempts()-r.subs[index].possibleRuns)
	}
	if r.detour != nil {
		left -= r.detour.runs
	}
	return left
}

// sendDetour sends a request to the next peer. It returns false if there is none.
func (m *Machine) sendDetour(now time.Time, r *request) bool {
	d := r.detour
	if len(d.tried) >= maxDetours || !now.Before(r.answerBy) {
		return false
	}
	peer, ok := m.peers.Pick(now, m.random, m.Config.FailureDomain, d.tried)
	if !ok {
		return false
	}
	d.tried = append(d.tried, peer.Name)
	m.peers.RecordStart(now, peer.Name)
	m.lastAttempt++
	d.attempt = &attempt{id: m.lastAttempt, request: r, upstream: peer.Name, sent: now, toPeer: true}
	m.attempts[d.attempt.id] = d.attempt
	m.emit(Send{
		Attempt: d.attempt.id, Upstream: peer.Name, Address: peer.Address, Message: r.message, Deadline: r.answerBy,
		ConnectBy: now.Add(peerPatience), MaxBodyBytes: m.maxBodyBytes(r), MaxConnections: peerConnections, RecentlyActive: !r.route.Idempotent,
		Detour: &Detour{
			Route: r.fingerprint, Age: now.Sub(r.arrived), Attempts: m.attemptsLeft(r), Counted: d.counted, Paid: d.paid,
			Suspect: m.decision(now, r) != quarantiner.Clear, Identity: r.identity, Key: r.key,
		},
	})
	return true
}

// handleDetourEnd uses the answer of a peer, or asks the next one if the request has not run there.
func (m *Machine) handleDetourEnd(now time.Time, a *attempt, result Result) {
	r := a.request
	live := r != nil && !r.finished
	if live {
		r.detour.attempt = nil
	}
	switch e := result.(type) {
	case PeerAnswered:
		if o, ok := e.Outcome.(Relayed); ok && o.Reply.unproven() {
			e.Outcome = Unknown{Reason: Errored}
		}
		m.markLeavingByName(now, e.Leaving)
		m.recordPeerAnswer(now, a, r, e)
		if !live {
			return
		}
		switch o := e.Outcome.(type) {
		case Refused:
			m.continueAfterPeer(now, r, o)
		case Unknown:
			if !m.repeatAtPeer(now, r, e.Runs) {
				m.answerFromPeer(now, r, a.upstream, o, e.Missing)
			}
		default:
			m.quarantine.RecordAnswer(now, r.signature)
			m.answerFromPeer(now, r, a.upstream, o, e.Missing)
		}
	case Failed:
		if e.Failure == Cancelled {
			m.peers.RecordEnd(now, a.upstream, navigator.Left{})
		} else {
			m.Detours.Broken++
			m.peers.RecordEnd(now, a.upstream, navigator.Broken{})
			recordNoAnswer(r)
		}
		switch {
		case !live:
		case !e.Written:
			m.continueAfterPeer(now, r, Refused{Reason: OutOfReach, RetryAfter: m.retryAfter(r)})
		case e.Failure == TimedOut:
			m.answerFromPeer(now, r, a.upstream, Unknown{Reason: Expired}, nil)
		default:
			m.answerFromPeer(now, r, a.upstream, Unknown{Reason: Lost}, nil)
		}
	}
}

// recordPeerAnswer records what the answer of a peer says about the peer and about the upstreams. The request is nil if it has its answer.
func (m *Machine) recordPeerAnswer(now time.Time, a *attempt, r *request, e PeerAnswered) {
	unreached := false
	switch o := e.Outcome.(type) {
	case Refused:
		unreached = o.Reason == OutOfReach || o.Reason == NoUpstream
		m.Detours.TurnedAway++
		m.peers.RecordEnd(now, a.upstream, navigator.TurnedAway{Unreached: o.Reason == OutOfReach, RetryAfter: o.RetryAfter})
		if !unreached {
			recordNoAnswer(r)
			return
		}
	case Unknown:
		m.Detours.Broken++
		m.peers.RecordEnd(now, a.upstream, navigator.TurnedAway{Unreached: o.Reason == OutOfReach})
		if o.Reason != OutOfReach {
			recordNoAnswer(r)
			return
		}
		unreached = true
	default:
		m.Detours.Served++
		m.peers.RecordEnd(now, a.upstream, navigator.Served{})
	}
	if unreached {
		m.elsewhere.RecordUnreached(now)
	} else {
		m.elsewhere.RecordReached(now)
	}
	if r == nil {
		return
	}
	for index := range r.subs {
		s := r.subs[index].service
		if unreached || slices.Contains(e.Missing, s.name) {
			s.elsewhere.RecordUnreached(now)
		} else {
			s.elsewhere.RecordReached(now)
		}
	}
}

// recordNoAnswer records that the answer of a peer to a request says nothing about the upstreams. The request is nil if it has its answer.
func recordNoAnswer(r *request) {
	if r == nil {
		return
	}
	for index := range r.subs {
		r.subs[index].service.elsewhere.RecordNoAnswer()
	}
}

// repeatAtPeer sends a request that may have run at a peer, without an answer, to another one. That peer pays for it in its retry budget.
func (m *Machine) repeatAtPeer(now time.Time, r *request, runs int) bool {
	d := r.detour
	d.runs, d.counted, d.paid = d.runs+max(1, runs), true, false
	r.mayHaveRun = true
	return r.route.Idempotent && m.attemptsLeft(r) > 0 && m.sendDetour(now, r)
}

// answerFromPeer completes a request with the outcome of a peer. Attempts of this VM that are still in flight are cancelled: the upstreams did
// not answer them before the peer did.
func (m *Machine) answerFromPeer(now time.Time, r *request, peer string, o Outcome, missing []string) {
	for index := range r.subs {
		m.cancelAll(&r.subs[index])
		r.subs[index].service.dequeue(r, index)
	}
	p := r.report(now)
	p.Peer, p.Missing = peer, nil
	for _, service := range missing {
		p.Missing = append(p.Missing, MissingShard{Service: service, Upstream: peer, Reason: Late})
	}
	m.emit(Answer{Request: r.id, Outcome: o, Report: p})
	m.finish(r)
}

// continueAfterPeer goes on with a request that a peer has not run: at the next peer, or at the upstreams if this VM reaches them.
func (m *Machine) continueAfterPeer(now time.Time, r *request, refused Refused) {
	if refused.Reason != Quarantined && m.sendDetour(now, r) {
		return
	}
	counted, ran := r.detour.counted, r.detour.runs > 0
	if refused.Reason == Quarantined && !ran && !r.mayHaveRun && r.runs() == 0 {
		m.answerFromPeer(now, r, "", refused, nil)
		return
	}
	ran = ran || refused.Reason == Quarantined
	if ran {
		m.answerFromPeer(now, r, "", Unknown{Reason: refused.Reason}, nil)
		return
	}
	r.detour, r.turnedAway = nil, true
	switch {
	case counted:
		m.resumeSubRequests(now, r)
	case m.reach.Lost(now) && !m.tryInsteadOfRefusal(now, r):
		m.refuseLost(now, r)
	default:
		m.dispatchSubRequests(now, r)
	}
	if !r.finished {
		m.schedule(now, r)
	}
}

// failsForReach reports whether a request is about to fail because this VM does not reach the upstreams, which a peer may reach.
func (m *Machine) failsForReach(now time.Time, r *request) bool {
	if m.reach.Lost(now) {
		return true
	}
	for index := range r.subs {
		sub := &r.subs[index]
		if sub.state == subFailed && m.mayAskElsewhere(now, sub.service) {
			return true
		}
	}
	return false
}

// mayAskElsewhere reports whether a request to a service that this VM does not reach may go through a peer.
func (m *Machine) mayAskElsewhere(now time.Time, s *service) bool {
	if m.peers.Len() == 0 || !s.unreachable(now) || !s.elsewhere.Ask(now) {
		return false
	}
	m.avoidService(s)
	return true
}

// hedgeElsewhere decides about a hedge that is due while no upstream has replied since the first attempt: a second attempt of this VM is of no
// use if its own connections are the fault. Without recent proof that they are not, a peer gets the request; otherwise the hedge waits until it
// is known, so that the attempt is left for a peer. It returns false for a hedge to another upstream.
func (m *Machine) hedgeElsewhere(now time.Time, r *request, sub *subRequest) bool {
	if m.peers.Len() == 0 || r.detoured != nil {
		return false
	}
	if r.gather == nil && m.mayAskElsewhere(now, sub.service) && m.moveToPeer(now, r) {
		return true
	}
	first := m.firstAttempt(sub)
	if first == nil || m.reach.RepliedSince(first.sent) {
		return false
	}
	if !m.reach.Proven(now) {
		return m.moveToPeer(now, r)
	}
	if now.Sub(first.sent) > maxHedgeDelay || !m.reach.Silent() {
		return false
	}
	sub.hedgeAt = now.Add(hedgeCheckInterval)
	return true
}

// firstAttempt returns the oldest attempt in flight of a sub-request, nil for none.
func (m *Machine) firstAttempt(sub *subRequest) *attempt {
	var first *attempt
	for _, id := range sub.inFlight {
		if a := m.attempts[id]; a != nil && (first == nil || a.sent.Before(first.sent)) {
			first = a
		}
	}
	return first
}

// hostDetoured takes a request of another VM, or refuses it.
func (m *Machine) hostDetoured(now time.Time, r *request) bool {
	if reason, ok := m.acceptDetoured(now, r); !ok {
		m.Detours.Refused++
		m.refuse(r, reason)
		return false
	}
	m.Detours.Hosted++
	m.detoured++
	r.hosted = true
	return true
}

// acceptDetoured decides whether this VM serves a request of another VM. It returns the reason to refuse it.
func (m *Machine) acceptDetoured(now time.Time, r *request) (Reason, bool) {
	if r.detoured.Route != r.fingerprint {
		return OtherManifest, false
	}
	if m.reach.Lost(now) {
		return OutOfReach, false
	}
	reachable, waiting := 0, false
	for index := range r.subs {
		s := r.subs[index].service
		if !s.unreachable(now) {
			reachable++
		}
		waiting = waiting || len(s.waiting) > 0
	}
	if reachable < r.minShards {
		return OutOfReach, false
	}
	if !navigator.Admit(navigator.Load{Detoured: m.detoured, Waiting: waiting, Lag: m.lag, Target: r.route.LatencyTarget}) {
		return Busy, false
	}
	return None, true
}
