package router

import (
	"slices"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// startSearch sends a sub-request to each group. If no snapshot is known, the sub-requests ask for no particular version, and
// the snapshot is chosen from the versions in the replies.
func (m *Machine) startSearch(now time.Time, r *request) {
	s := r.service
	r.index = s.catalog.best()
	r.subs = make([]subRequest, len(s.replicas))
	r.pending = len(r.subs)
	m.reserveActions(len(r.subs))
	if len(r.subs) == 0 {
		m.completeSearch(now, r)
		return
	}
	m.schedulePartialAnswer(now, r)
	m.sendIdleSubRequests(now, r)
}

// sendIdleSubRequests sends the first attempt of each idle sub-request.
func (m *Machine) sendIdleSubRequests(now time.Time, r *request) {
	x := r.index
	for g := range r.subs {
		if r.state != stateRunning || r.index != x {
			return
		}
		if r.subs[g].state == subIdle && (r.probeGroup == noProbe || r.probeGroup%len(r.subs) == g) {
			m.sendFirst(now, r, g)
		}
	}
}

// handleSearchReply validates a whole reply with status OK before any of its shards counts as covered.
func (m *Machine) handleSearchReply(now time.Time, a *attempt, reply *encoder.SubReply) {
	r, g := a.request, a.subIndex
	sub := &r.subs[g]
	expected, total, ok := m.expectedShards(r, g, reply)
	if !ok || !m.shardSet.matches(expected, reply.Results, total) {
		m.stats.RejectedReplies++
		m.processFailure(now, a, failure{reason: reasonMismatched, possiblyRun: true})
		return
	}
	a.service.latencies.Add(now, now.Sub(a.sent))
	sub.version, sub.layout, sub.shardsTotal, sub.results = reply.Version, reply.Layout, total, reply.Results
	sub.possiblyRun = true
	m.completeSubRequest(now, r, g)
}

// completeSubRequest ends a sub-request that has a result and cancels its other attempts.
func (m *Machine) completeSubRequest(now time.Time, r *request, g int) {
	sub := &r.subs[g]
	sub.state = subDone
	m.cancelAttempts(now, sub)
	r.pending--
	m.endProbe(now, r)
	m.completeIfEnded(now, r)
}

// expectedShards returns the shards that a complete reply of group g contains and the number of shards of the layout. It
// returns false if the version or the layout of the reply differs from those of the search, or if the reply does not list
// them among its held versions.
func (m *Machine) expectedShards(r *request, g int, reply *encoder.SubReply) (shards []int, total int, ok bool) {
	if x := r.index; x != nil {
		if reply.Version != x.version || reply.Layout != x.layout {
			return nil, 0, false
		}
		if g < len(x.groups) && x.groups[g].shards != nil {
			return x.groups[g].shards, x.shardsTotal, true
		}
	}
	for k := range reply.Held {
		h := &reply.Held[k]
		if h.Version != reply.Version || h.Layout != reply.Layout || !validHeld(h) {
			continue
		}
		if r.index != nil {
			if h.ShardsTotal != r.index.shardsTotal {
				return nil, 0, false
			}
			r.index.setShards(g, h.Shards)
		}
		return h.Shards, h.ShardsTotal, true
	}
	return nil, 0, false
}

// completeSearch answers a search whose sub-requests have all ended, unless choosing its snapshot or a restart sends new ones.
func (m *Machine) completeSearch(now time.Time, r *request) {
	if r.index == nil && m.chooseIndex(now, r) {
		return
	}
	// The catalog can be outdated for all groups at once. The first reply of each group then only reports that the version is
	// no longer held, and without budget tokens no other replica can be asked.
	if r.anyVersionNotHeld() && m.restartSearch(now, r) {
		return
	}
	m.answerSearch(now, r)
}

// chooseIndex chooses the snapshot of a search that asked for no particular version, and sends the sub-requests again whose
// replies have another version or layout. It reports whether any sub-request was started again.
func (m *Machine) chooseIndex(now time.Time, r *request) bool {
	x := r.service.catalog.best()
	if x == nil {
		return false
	}
	r.index = x
	var resent, mixedLayout bool
	for g := range r.subs {
		sub := &r.subs[g]
		if sub.state != subDone || sub.version == x.version && sub.layout == x.layout && sub.shardsTotal == x.shardsTotal {
			continue
		}
		r.pending++
		if sub.version == x.version {
			// The replica reports the version with another layout. Asking for the same version again is a retry.
			sub.state, sub.reason, sub.results = subSent, reasonMismatched, nil
			mixedLayout = true
			continue
		}
		*sub = subRequest{possiblyRun: true}
		resent = true
	}
	if resent {
		r.restarted = true
		m.stats.Restarts++
		m.sendIdleSubRequests(now, r)
	}
	if mixedLayout {
		m.retryMixedLayouts(now, r)
	}
	return resent || mixedLayout
}

// retryMixedLayouts retries, at other replicas, the sub-requests whose reply had another layout than the chosen one.
func (m *Machine) retryMixedLayouts(now time.Time, r *request) {
	for g := range r.subs {
		sub := &r.subs[g]
		if r.state == stateRunning && sub.state == subSent && sub.inFlight.Count() == 0 && !m.retrySubRequest(now, r, g, false) {
			m.failSubRequest(now, r, g)
		}
	}
}

// restartSearch runs a search again at the snapshot that now covers the most groups, at most once for each search. The new
// sub-requests add no tokens to the budget. It reports whether the search was restarted.
func (m *Machine) restartSearch(now time.Time, r *request) bool {
	if r.kind != encoder.SubSearch || r.restarted || r.index == nil {
		return false
	}
	x := r.service.catalog.best()
	if x == nil || x.version == r.index.version {
		return false
	}
	// The median is bounded because the latency distribution includes attempts that were cancelled at their deadline. After a
	// period of lost replies the median alone would prevent every restart.
	typicalLatency := min(r.service.latencies.Quantile(0.5), r.service.row.Deadline/defaultDelayDivisor)
	if r.answerBy.Sub(now) < typicalLatency {
		return false
	}
	r.restarted = true
	m.stats.Restarts++
	r.index = x
	r.pending = len(r.subs)
	for g := range r.subs {
		m.cancelAttempts(now, &r.subs[g])
		r.subs[g] = subRequest{possiblyRun: r.subs[g].possiblyRun}
	}
	m.sendIdleSubRequests(now, r)
	return true
}

// giveUpSearch ends the unfinished sub-requests with a reason and answers the search.
func (m *Machine) giveUpSearch(now time.Time, r *request, reason string) {
	for g := range r.subs {
		sub := &r.subs[g]
		switch sub.state {
		case subIdle, subWaiting:
			sub.reason = reasonBusy
			if r.probeGroup != noProbe {
				sub.reason = reasonSuspect
			}
		case subHeldBack:
			sub.reason = reasonSuspect
		case subSent:
			sub.reason = reason
			sub.possiblyRun = true
		default:
			continue
		}
		sub.state = subFailed
		m.cancelAttempts(now, sub)
	}
	r.pending = 0
	if r.index == nil {
		r.index = r.service.catalog.best()
		for g := range r.subs {
			sub := &r.subs[g]
			if x := r.index; x != nil && sub.state == subDone && (sub.version != x.version || sub.layout != x.layout || sub.shardsTotal != x.shardsTotal) {
				sub.state, sub.reason, sub.results = subFailed, reasonVersionNotHeld, nil
			}
		}
	}
	m.answerSearch(now, r)
}

// answerSearch answers a search with its covered shards and the reasons of the missing ones.
func (m *Machine) answerSearch(now time.Time, r *request) {
	a := &encoder.SearchAnswer{RequestID: r.idString(), Outcome: encoder.OutcomeDone}
	total := 0
	if r.index != nil {
		total = r.index.shardsTotal
		a.Snapshot, a.Layout, a.ShardsTotal = r.index.version, r.index.layout, total
		m.mergeResults(r, a)
	}
	switch {
	case total > 0 && len(a.Covered) == total:
	case len(a.Covered) == 0 && !r.possiblyRun():
		a.Outcome, a.Reason, a.RetryAfterMS = encoder.OutcomeNotRun, r.firstFailureReason(), r.maxRetryAfter()
	default:
		a.Outcome, a.Reason = encoder.OutcomePartial, r.firstFailureReason()
		if float64(len(a.Covered)) < r.minCoverage*float64(total) {
			a.Reason = reasonMinCoverage
		}
	}
	m.emit(AnswerSearch{Request: r.id, Answer: a})
	m.finishRequest(now, r)
}

// mergeResults fills an answer with the results of all groups. A shard delivered by two groups is included once.
func (m *Machine) mergeResults(r *request, a *encoder.SearchAnswer) {
	x := r.index
	m.shardSet.reset(x.shardsTotal)
	a.Covered = make([]int, 0, x.shardsTotal)
	a.Results = make([]encoder.ShardResult, 0, x.shardsTotal)
	for g := range r.subs {
		if r.subs[g].state != subDone {
			continue
		}
		for _, s := range r.subs[g].results {
			if !m.shardSet.add(s.Shard) {
				m.stats.DuplicateShards++
				continue
			}
			a.Covered = append(a.Covered, s.Shard)
			a.Results = append(a.Results, s)
		}
	}
	if len(a.Covered) == x.shardsTotal {
		return
	}
	for g := range min(len(r.subs), len(x.groups)) {
		for _, s := range x.groups[g].shards {
			if r.subs[g].state != subDone && m.shardSet.add(s) {
				a.Missing = append(a.Missing, encoder.MissingShard{Shard: s, Reason: r.subs[g].reason})
			}
		}
	}
	unknown := r.unknownShardReason()
	for s := range x.shardsTotal {
		if m.shardSet.add(s) {
			a.Missing = append(a.Missing, encoder.MissingShard{Shard: s, Reason: unknown})
		}
	}
	slices.SortFunc(a.Missing, func(x, y encoder.MissingShard) int { return x.Shard - y.Shard })
}

// unknownShardReason returns the reason of a missing shard whose group is unknown: the failure reason of the failed groups
// with unknown shards if they all have the same one, otherwise reasonUnknownGroup.
func (r *request) unknownShardReason() string {
	reason := ""
	for g := range r.subs {
		sub := &r.subs[g]
		if sub.state == subFailed && (g >= len(r.index.groups) || r.index.groups[g].shards == nil) {
			if reason != "" && reason != sub.reason {
				return reasonUnknownGroup
			}
			reason = sub.reason
		}
	}
	if reason == "" {
		return reasonUnknownGroup
	}
	return reason
}

// anyVersionNotHeld reports whether any sub-request failed after a replica did not hold the version.
func (r *request) anyVersionNotHeld() bool {
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

func (r *request) firstFailureReason() string {
	for g := range r.subs {
		if r.subs[g].state == subFailed {
			return r.subs[g].reason
		}
	}
	return reasonUnknownGroup
}

func (r *request) maxRetryAfter() int64 {
	var ms int64
	for g := range r.subs {
		ms = max(ms, r.subs[g].retryAfter)
	}
	return ms
}

// setShards records the shards of a group that the catalog does not contain for this index version.
func (x *indexVersion) setShards(g int, shards []int) {
	for len(x.groups) <= g {
		x.groups = append(x.groups, groupHolding{})
	}
	x.groups[g].shards = shards
}
