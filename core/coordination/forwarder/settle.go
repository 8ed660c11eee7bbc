package forwarder

import "time"

// settleDone ends a sub-request with a reply.
func (m *Machine) settleDone(now time.Time, r *request, g int, reply *Reply) {
	b := &r.subs[g]
	b.state, b.reply = subDone, reply
	r.pending--
	r.done++
	m.complete(now, r)
}

// settleFailed ends a sub-request without a usable reply.
func (m *Machine) settleFailed(now time.Time, r *request, g int) {
	b := &r.subs[g]
	b.state = subFailed
	r.pending--
	m.complete(now, r)
}

// complete answers a request as soon as nothing can improve its answer.
func (m *Machine) complete(now time.Time, r *request) {
	switch {
	case r.finished:
	case r.done+r.pending < r.least:
		m.giveUp(now, r)
	case r.gather == nil && r.done == 0: // its upstream may still reply
	case r.gather == nil:
		m.answer(now, r, Relayed{Reply: r.subs[0].reply})
	case r.pending == 0, r.done >= r.least && !now.Before(r.cut):
		m.answer(now, r, r.merge())
	}
}

// merge returns the answer of the shards that have replied.
func (r *request) merge() Gathered {
	o := Gathered{Missing: len(r.subs) - r.done}
	parts := make([][]byte, 0, r.done)
	for g := range r.subs {
		if b := &r.subs[g]; b.state == subDone {
			o.Signatures = append(o.Signatures, b.reply.Signature)
			parts = append(parts, b.reply.Body)
		}
	}
	o.Body = mergeTop(parts, r.gather.TopK)
	return o
}

// giveUp answers a request that has no success. It promises that the request has not run only if that is certain.
func (m *Machine) giveUp(now time.Time, r *request) {
	reason := TooFewShards
	if r.gather == nil {
		b := &r.subs[0]
		reason = b.reason
		// A failure of the upstream is its answer to the request.
		if b.refusal != nil && !b.refusal.NotRun && b.live.Count() == 0 {
			m.answer(now, r, Relayed{Reply: b.refusal})
			return
		}
	}
	running := false
	for g := range r.subs {
		running = running || r.subs[g].live.Count() > 0
	}
	o := Outcome(Unknown{Reason: reason})
	if !r.ran && !running {
		o = Refused{Reason: r.firstReason(), RetryAfter: m.retryAfter(r)}
	}
	for g := range r.subs {
		m.cancelAll(&r.subs[g])
	}
	m.answer(now, r, o)
}

// firstReason returns why the first shard failed.
func (r *request) firstReason() Reason {
	for g := range r.subs {
		if r.subs[g].state == subFailed {
			return r.subs[g].reason
		}
	}
	return Busy
}

// expire answers a request whose time is over with what it has.
func (m *Machine) expire(now time.Time, r *request) {
	if r.gather != nil && r.done >= r.least {
		m.answer(now, r, r.merge())
		return
	}
	if b := &r.subs[0]; r.gather == nil && b.reason == None {
		b.reason = Expired
	}
	m.giveUp(now, r)
}
