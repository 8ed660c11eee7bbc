package forwarder

import "time"

// completeSub ends a sub-request with a successful reply.
func (m *Machine) completeSub(now time.Time, r *request, index int, reply *Reply) {
	sub := &r.subs[index]
	if r.gather != nil {
		reply = r.gather.trim(reply)
	}
	sub.state, sub.reply = subDone, reply
	r.pending--
	r.succeeded++
	m.answerIfDecided(now, r)
}

// failSub ends a sub-request without a successful reply.
func (m *Machine) failSub(now time.Time, r *request, index int) {
	sub := &r.subs[index]
	sub.state = subFailed
	r.pending--
	m.answerIfDecided(now, r)
}

// answerIfDecided answers a request once no reply can change the outcome, or once a partial answer is due.
func (m *Machine) answerIfDecided(now time.Time, r *request) {
	switch {
	case r.finished:
	case r.succeeded+r.pending < r.minShards && r.detour != nil: // a peer may still answer
	case r.succeeded+r.pending < r.minShards:
		if !m.failsForReach(now, r) || !m.moveToPeer(now, r) {
			m.answerFailure(now, r)
		}
	case r.gather == nil && r.succeeded == 0: // an upstream may still reply
	case r.gather == nil:
		m.answer(now, r, Relayed{Reply: r.subs[0].reply})
	case r.pending == 0 && r.succeeded < len(r.subs) && r.detour != nil && now.Before(r.partialAt): // a peer may answer with more shards
	case r.pending == 0, r.succeeded >= r.minShards && !now.Before(r.partialAt):
		m.answer(now, r, r.merge())
	}
}

// merge returns the merged answer of the shards that have replied.
func (r *request) merge() Gathered {
	o := Gathered{Missing: len(r.subs) - r.succeeded}
	parts := make([][]byte, 0, r.succeeded)
	for index := range r.subs {
		if sub := &r.subs[index]; sub.state == subDone {
			o.Signatures = append(o.Signatures, sub.reply.Signature)
			parts = append(parts, sub.reply.Body)
		}
	}
	o.Body = mergeTop(parts, r.gather.TopK)
	return o
}

// answerFailure answers a request without a successful result. The outcome is Refused only if the request certainly has not run.
func (m *Machine) answerFailure(now time.Time, r *request) {
	reason := TooFewShards
	if r.gather == nil {
		sub := &r.subs[0]
		reason = sub.reason
		// An error reply of the upstream is passed on unchanged, unless callers would take it for a promise that the request has not run.
		if sub.failedReply != nil && !sub.failedReply.NotRun && !sub.failedReply.PromisesNoRun && sub.inFlight.Count() == 0 {
			m.answer(now, r, Relayed{Reply: sub.failedReply})
			return
		}
	}
	running := false
	for index := range r.subs {
		running = running || r.subs[index].inFlight.Count() > 0
	}
	o := Outcome(Unknown{Reason: reason})
	if !r.mayHaveRun && !running {
		o = Refused{Reason: r.firstFailureReason(), RetryAfter: m.retryAfter(r)}
	}
	for index := range r.subs {
		m.cancelHeard(r, &r.subs[index])
	}
	m.answer(now, r, o)
}

// cancelHeard cancels the attempts of a sub-request that has failed, but for those at upstreams which this VM has never heard from, or not for several
// searches: if other shards have no upstreams, all searches fail at once, and no reply would tell that an upstream declares a rate or has withdrawn it.
func (m *Machine) cancelHeard(r *request, sub *subRequest) {
	for _, id := range sub.inFlight {
		a := m.attempts[id]
		if a == nil {
			continue
		}
		set := &a.service.set
		i, ok := set.Index(a.upstream)
		if !ok || set.HasReplied(i) && (r.gather == nil || set.MissReply(i, a.sent)) {
			m.cancel(a)
		}
	}
}

// firstFailureReason returns the reason of the first failed sub-request.
func (r *request) firstFailureReason() Reason {
	for index := range r.subs {
		if r.subs[index].state == subFailed {
			return r.subs[index].reason
		}
	}
	return Busy
}

// answerExpired answers a request at its latest time: with the shards that have replied, if they are enough.
func (m *Machine) answerExpired(now time.Time, r *request) {
	if r.gather != nil && r.succeeded >= r.minShards {
		m.answer(now, r, r.merge())
		return
	}
	if r.detour != nil {
		m.answerFromPeer(now, r, "", Unknown{Reason: Expired}, nil)
		return
	}
	if sub := &r.subs[0]; r.gather == nil && sub.reason == None {
		sub.reason = Expired
	}
	m.answerFailure(now, r)
}
