package router

import (
	"slices"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// startSearch sends a sub-request to each group. While no snapshot is known, the sub-requests ask for no particular
// version, and the snapshot is chosen from what the replies report.
func (m *Machine) startSearch(now time.Time, r *request) {
	s := r.service
	r.index = s.catalog.best()
	r.subs = make([]sub, len(s.members))
	r.pending = len(r.subs)
	m.grow(len(r.subs))
	if len(r.subs) == 0 {
		m.completeSearch(now, r)
		return
	}
	m.armPatience(now, r)
	m.sendIdle(now, r)
}

// sendIdle sends the first attempt of each sub-request that has none.
func (m *Machine) sendIdle(now time.Time, r *request) {
	x := r.index
	for g := range r.subs {
		if r.state != stateRunning || r.index != x {
			return
		}
		if r.subs[g].state == subIdle && (r.probeGroup == noProbe || r.probeGroup%len(r.subs) == g) {
			m.first(now, r, g)
		}
	}
}

// searchReplied checks a reply with status ok as a whole before it covers any shard.
func (m *Machine) searchReplied(now time.Time, a *attempt, reply *encoder.SubReply) {
	r, g := a.request, a.sub
	b := &r.subs[g]
	expected, total, ok := m.expected(r, g, reply)
	if !ok || !m.marks.exact(expected, reply.Results, total) {
		m.stats.RejectedReplies++
		m.failed(now, a, failure{reason: reasonMismatched, possiblyRun: true})
		return
	}
	a.service.latencies.Add(now, now.Sub(a.sent))
	b.version, b.layout, b.total, b.results = reply.Version, reply.Layout, total, reply.Results
	b.possiblyRun = true
	m.settleDone(now, r, g)
}

// settleDone ends a sub-request with a result. The loser of a hedge is cancelled.
func (m *Machine) settleDone(now time.Time, r *request, g int) {
	b := &r.subs[g]
	b.state = subDone
	m.cancelAll(now, b)
	r.pending--
	m.probeReplied(now, r)
	m.completeIfSettled(now, r)
}

// expected returns the shards that a complete reply of a group has. It returns false when the reply has another version or
// layout than the search.
func (m *Machine) expected(r *request, g int, reply *encoder.SubReply) (shards []int, total int, ok bool) {
	if x := r.index; x != nil {
		if reply.Version != x.version || reply.Layout != x.layout {
			return nil, 0, false
		}
		if g < len(x.groups) && x.groups[g].shards != nil {
			return x.groups[g].shards, x.total, true
		}
	}
	for k := range reply.Held {
		h := &reply.Held[k]
		if h.Version != reply.Version || h.Layout != reply.Layout || !validHeld(h) {
			continue
		}
		if r.index != nil {
			if h.ShardsTotal != r.index.total {
				return nil, 0, false
			}
			r.index.learn(g, h.Shards)
		}
		return h.Shards, h.ShardsTotal, true
	}
	return nil, 0, false
}

// completeSearch answers a search whose sub-requests have all ended, after the choice of its snapshot.
func (m *Machine) completeSearch(now time.Time, r *request) {
	if r.index == nil && m.choose(now, r) {
		return
	}
	// The catalog may be old for every group at once. Then each group's first reply only tells that the version is gone, and
	// without tokens no other replica can be asked.
	if r.anyNotHeld() && m.restart(now, r) {
		return
	}
	m.answerSearch(now, r)
}

// choose picks the snapshot of a search that asked for no particular version, and sends again what was answered at another
// one. It returns true when sub-requests are in flight again.
func (m *Machine) choose(now time.Time, r *request) bool {
	x := r.service.catalog.best()
	if x == nil {
		return false
	}
	r.index = x
	var again, mixed bool
	for g := range r.subs {
		b := &r.subs[g]
		if b.state != subDone || b.version == x.version && b.layout == x.layout && b.total == x.total {
			continue
		}
		r.pending++
		if b.version == x.version {
			// The replica reports the version with another layout. Asking it again for the same version is a retry.
			b.state, b.reason, b.results = subSent, reasonMismatched, nil
			mixed = true
			continue
		}
		*b = sub{possiblyRun: true}
		again = true
	}
	if again {
		r.restarted = true
		m.stats.Restarts++
		m.sendIdle(now, r)
	}
	if mixed {
		m.retryMixed(now, r)
	}
	return again || mixed
}

// retryMixed asks other replicas for the groups whose reply had another layout than the chosen one.
func (m *Machine) retryMixed(now time.Time, r *request) {
	for g := range r.subs {
		b := &r.subs[g]
		if r.state == stateRunning && b.state == subSent && b.live.Count() == 0 && !m.retry(now, r, g, false) {
			m.settleFailed(now, r, g)
		}
	}
}

// restart runs a search again at the snapshot that covers the most groups now, at most once. Its new sub-requests gain no
// tokens for the budget.
func (m *Machine) restart(now time.Time, r *request) bool {
	if r.kind != encoder.SubSearch || r.restarted || r.index == nil {
		return false
	}
	x := r.service.catalog.best()
	if x == nil || x.version == r.index.version {
		return false
	}
	// Attempts that were cancelled at their deadline count in the distribution, so that its median alone would rule out
	// every restart after a time of lost replies.
	usual := min(r.service.latencies.Quantile(0.5), r.service.row.Deadline/firstDelayShare)
	if r.until.Sub(now) < usual {
		return false
	}
	r.restarted = true
	m.stats.Restarts++
	r.index = x
	r.pending = len(r.subs)
	for g := range r.subs {
		m.cancelAll(now, &r.subs[g])
		r.subs[g] = sub{possiblyRun: r.subs[g].possiblyRun}
	}
	m.sendIdle(now, r)
	return true
}

// giveUp ends the sub-requests that are still open and answers.
func (m *Machine) giveUp(now time.Time, r *request, reason string) {
	for g := range r.subs {
		b := &r.subs[g]
		switch b.state {
		case subIdle, subWaiting:
			b.reason = reasonBusy
			if r.probeGroup != noProbe {
				b.reason = reasonSuspect
			}
		case subHeld:
			b.reason = reasonSuspect
		case subSent:
			b.reason = reason
			b.possiblyRun = true
		default:
			continue
		}
		b.state = subFailed
		m.cancelAll(now, b)
	}
	r.pending = 0
	if r.index == nil {
		r.index = r.service.catalog.best()
		for g := range r.subs {
			b := &r.subs[g]
			if x := r.index; x != nil && b.state == subDone && (b.version != x.version || b.layout != x.layout || b.total != x.total) {
				b.state, b.reason, b.results = subFailed, reasonVersionNotHeld, nil
			}
		}
	}
	m.answerSearch(now, r)
}

// answerSearch states which shards are covered and why the others are missing.
func (m *Machine) answerSearch(now time.Time, r *request) {
	a := &encoder.SearchAnswer{RequestID: r.label(), Outcome: encoder.OutcomeDone}
	total := 0
	if r.index != nil {
		total = r.index.total
		a.Snapshot, a.Layout, a.ShardsTotal = r.index.version, r.index.layout, total
		m.fillSearch(r, a)
	}
	switch {
	case total > 0 && len(a.Covered) == total:
	case len(a.Covered) == 0 && !r.possiblyRun():
		a.Outcome, a.Reason, a.RetryAfterMS = encoder.OutcomeNotRun, r.firstReason(), r.retryAfter()
	default:
		a.Outcome, a.Reason = encoder.OutcomePartial, r.firstReason()
		if float64(len(a.Covered)) < r.minCoverage*float64(total) {
			a.Reason = reasonMinCoverage
		}
	}
	m.emit(AnswerSearch{Request: r.id, Answer: a})
	m.finish(now, r)
}

// fillSearch merges the results of the groups. A shard that two groups delivered is taken once.
func (m *Machine) fillSearch(r *request, a *encoder.SearchAnswer) {
	x := r.index
	m.marks.reset(x.total)
	a.Covered = make([]int, 0, x.total)
	a.Results = make([]encoder.ShardResult, 0, x.total)
	for g := range r.subs {
		if r.subs[g].state != subDone {
			continue
		}
		for _, s := range r.subs[g].results {
			if !m.marks.take(s.Shard) {
				m.stats.DuplicateShards++
				continue
			}
			a.Covered = append(a.Covered, s.Shard)
			a.Results = append(a.Results, s)
		}
	}
	if len(a.Covered) == x.total {
		return
	}
	for g := range min(len(r.subs), len(x.groups)) {
		for _, s := range x.groups[g].shards {
			if r.subs[g].state != subDone && m.marks.take(s) {
				a.Missing = append(a.Missing, encoder.MissingShard{Shard: s, Reason: r.subs[g].reason})
			}
		}
	}
	unknown := r.unknownReason()
	for s := range x.total {
		if m.marks.take(s) {
			a.Missing = append(a.Missing, encoder.MissingShard{Shard: s, Reason: unknown})
		}
	}
	slices.SortFunc(a.Missing, func(x, y encoder.MissingShard) int { return x.Shard - y.Shard })
}

// unknownReason is the reason of a shard whose group is not known: the failure of the only group that may hold it, if there
// is exactly one.
func (r *request) unknownReason() string {
	reason := ""
	for g := range r.subs {
		b := &r.subs[g]
		if b.state == subFailed && (g >= len(r.index.groups) || r.index.groups[g].shards == nil) {
			if reason != "" && reason != b.reason {
				return reasonUnknownGroup
			}
			reason = b.reason
		}
	}
	if reason == "" {
		return reasonUnknownGroup
	}
	return reason
}

// anyNotHeld tells whether a sub-request failed after a replica did not hold the version.
func (r *request) anyNotHeld() bool {
	for g := range r.subs {
		if r.subs[g].state == subFailed && r.subs[g].notHeld {
			return true
		}
	}
	return false
}

func (r *request) possiblyRun() bool {
	for g := range r.subs {
		if r.subs[g].possiblyRun {
			return true
		}
	}
	return false
}

func (r *request) firstReason() string {
	for g := range r.subs {
		if r.subs[g].state == subFailed {
			return r.subs[g].reason
		}
	}
	return reasonUnknownGroup
}

func (r *request) retryAfter() int64 {
	var ms int64
	for g := range r.subs {
		ms = max(ms, r.subs[g].retryAfter)
	}
	return ms
}

// learn records the shards of a group that the catalog does not know at this index.
func (x *index) learn(g int, shards []int) {
	for len(x.groups) <= g {
		x.groups = append(x.groups, holding{})
	}
	x.groups[g].shards = shards
}
