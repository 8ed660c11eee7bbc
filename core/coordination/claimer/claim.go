package claimer

import (
	"cmp"
	"slices"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// keyArrived handles a call with an idempotency key.
func (s *step) keyArrived(e CallArrived) {
	t, err := keyTime(e.Key)
	switch {
	case err != nil:
		// No VM accepts such a key, so no attempt under it can have run.
		s.do(AnswerCall{Call: e.Call, Outcome: encoder.OutcomeNotRun, Reason: reasonBadKey})
		return
	case s.now.Sub(t) > s.m.config.KeyRetention:
		s.refuse(e.Call, reasonKeyExpired)
		return
	case t.Sub(s.now) > s.m.config.MaxClockSkew:
		s.refuse(e.Call, reasonKeyFuture)
		return
	}
	signature := Signature(e.Service, e.Body)
	r := s.m.runs[e.Key]
	switch {
	case r == nil:
		s.startClaim(e, signature)
	case r.signature != signature:
		s.refuse(e.Call, reasonKeyReused)
	case r.open() && s.m.leaving:
		s.refuse(e.Call, reasonLeaving)
	case r.open():
		// Another VM may have run the call since, so the store is asked again, even after a "not run" of this VM.
		s.restartClaim(r, e)
	case r.phase == phaseEnded:
		s.do(AnswerCall{Call: e.Call, Outcome: r.outcome, Reason: r.reason, Upstream: r.upstream, Result: r.result})
	default:
		s.wait(r, e.Call, e.Deadline)
	}
}

func (s *step) startClaim(e CallArrived, signature uint64) {
	if s.m.leaving {
		s.refuse(e.Call, reasonLeaving)
		return
	}
	r := &run{name: e.Key, service: e.Service, signature: signature, bound: true, body: e.Body, caller: e.Caller, nonce: e.Nonce}
	if len(s.m.busy) >= s.m.config.MaxRuns || !s.add(r) {
		s.refuse(e.Call, reasonBusy)
		return
	}
	s.wait(r, e.Call, e.Deadline)
	s.createClaim(r, 0)
}

// abandonedNonces bounds the nonces of earlier attempts that a run remembers. An older one is answered with "unknown".
const abandonedNonces = 8

func (s *step) restartClaim(r *run, e CallArrived) {
	if len(r.abandoned) >= abandonedNonces {
		r.abandoned = slices.Delete(r.abandoned, 0, 1)
	}
	r.abandoned = append(r.abandoned, r.nonce)
	r.outcome, r.reason, r.upstream, r.result = "", "", "", nil
	r.recording, r.retryAt, r.pause = false, time.Time{}, 0
	r.body, r.caller, r.nonce = e.Body, e.Caller, e.Nonce
	s.wait(r, e.Call, e.Deadline)
	s.createClaim(r, r.revision)
}

// createClaim writes the claim, or gives up when nobody waits for the call any more.
func (s *step) createClaim(r *run, expect uint64) {
	if s.latest(r).IsZero() {
		s.abandon(r, reasonDeadline)
		return
	}
	r.phase = phaseClaiming
	r.revision = 0
	s.m.busy[r.name] = r
	s.do(CreateClaim{Key: r.name, Nonce: r.nonce, Expect: expect, Value: s.record(r, StateClaimed).Encode()})
}

func (s *step) record(r *run, state State) Record {
	rec := Record{Nonce: r.nonce, Holder: s.m.config.VM, Incarnation: s.m.config.Incarnation, Signature: r.signature, State: state, Time: s.now.UTC()}
	if state == StateDone || state == StateUnknown {
		rec.Reason, rec.Upstream, rec.Result = r.reason, r.upstream, r.result
	}
	return rec
}

// own returns the run of a claim when the event belongs to its present attempt.
func (s *step) own(key, nonce string) *run {
	r := s.m.runs[key]
	if r == nil || r.nonce != nonce {
		return nil
	}
	return r
}

func (s *step) claimWritten(e ClaimWritten) {
	r := s.own(e.Key, e.Nonce)
	if r == nil || r.phase != phaseClaiming {
		return
	}
	switch e.Result {
	case WriteDone:
		s.claimed(r, e.Revision)
	case WriteConflict:
		s.claimFound(r, e.Revision, e.Current)
	case WriteUncertain:
		s.do(ReadClaim{Key: r.name, Nonce: r.nonce})
	case WriteUnavailable:
		s.abandon(r, reasonPlatform)
	}
}

// claimRead continues after an uncertain write. When no claim is found, the own write may still take effect, and another VM may
// have claimed and run the call since the read, so the outcome is unknown; the caller sends the same key again.
func (s *step) claimRead(e ClaimRead) {
	r := s.own(e.Key, e.Nonce)
	if r == nil || r.phase != phaseClaiming {
		return
	}
	if !e.Available || !e.Found {
		s.abandon(r, reasonPlatform)
		return
	}
	s.claimFound(r, e.Revision, e.Value)
}

// abandon ends an attempt that this VM did not dispatch, whose claim may or may not exist. The outcome is for the waiting parties
// only: a later attempt looks at the store again, and a VM that asks about a claim of this VM hears that it was not run.
func (s *step) abandon(r *run, reason string) {
	s.end(r, encoder.OutcomeUnknown, reason)
	r.final = false
	// The revision may be that of a claim of another VM, which the next attempt must not replace.
	r.revision = 0
}

// claimed dispatches under a claim that this VM holds, or releases the claim.
func (s *step) claimed(r *run, revision uint64) {
	r.revision = revision
	if s.dispatch(r) {
		return
	}
	r.recording = true
	s.end(r, encoder.OutcomeNotRun, s.notDispatchedReason())
	s.writeOutcome(r)
}

// claimFound handles a claim that exists already.
func (s *step) claimFound(r *run, revision uint64, value []byte) {
	rec, err := ParseRecord(value)
	switch {
	case err != nil:
		s.abandon(r, "bad_claim")
	case rec.Nonce == r.nonce:
		s.claimed(r, revision)
	case rec.Signature != r.signature:
		s.abandon(r, reasonKeyReused)
	case rec.State == StateReleased || slices.Contains(r.abandoned, rec.Nonce):
		s.createClaim(r, revision)
	case rec.State == StateDone:
		r.upstream, r.result = rec.Upstream, rec.Result
		s.end(r, encoder.OutcomeDone, rec.Reason)
	case rec.State == StateUnknown:
		r.upstream = rec.Upstream
		s.end(r, encoder.OutcomeUnknown, rec.Reason)
	case rec.Holder == s.m.config.VM:
		// An earlier incarnation, or a run that this VM has forgotten: it may have dispatched.
		s.abandon(r, reasonHolderGone)
	case s.latest(r).IsZero():
		s.abandon(r, reasonDeadline)
	default:
		r.phase, r.revision = phaseAsking, revision
		s.do(QueryHolder{
			Key: r.name, Nonce: r.nonce, VM: rec.Holder, Incarnation: rec.Incarnation,
			Signature: r.signature, Service: r.service, Deadline: s.latest(r),
		})
	}
}

// holderAnswered continues with the word of the VM that holds the claim.
func (s *step) holderAnswered(e HolderAnswered) {
	r := s.own(e.Key, e.Nonce)
	if r == nil || r.phase != phaseAsking {
		return
	}
	switch {
	case !e.Reached:
		s.abandon(r, reasonHolderGone)
	case e.Outcome == encoder.OutcomeDone:
		r.result = e.Result
		s.end(r, encoder.OutcomeDone, e.Reason)
	case e.Outcome == encoder.OutcomeNotRun:
		// The holder never dispatches under the claim that was read. If it has claimed again since, the compare-and-swap fails.
		s.createClaim(r, r.revision)
	default:
		s.abandon(r, e.Reason)
	}
}

// outcomeAsked answers a VM that found a claim of this VM.
func (s *step) outcomeAsked(e OutcomeRequested) {
	r := s.m.runs[e.Key]
	switch {
	case e.Incarnation != s.m.config.Incarnation || r == nil:
		s.refuse(e.Call, reasonHolderGone)
	case r.signature != e.Signature:
		s.refuse(e.Call, reasonKeyReused)
	case r.open():
		s.do(AnswerCall{Call: e.Call, Outcome: encoder.OutcomeNotRun, Reason: r.reason})
	case r.phase == phaseEnded:
		s.do(AnswerCall{Call: e.Call, Outcome: r.outcome, Reason: r.reason, Upstream: r.upstream, Result: r.result})
	case r.phase == phaseAsking:
		// Two VMs that ask each other would wait until their deadlines.
		s.refuse(e.Call, reasonInProgress)
	default:
		s.wait(r, e.Call, e.Deadline)
	}
}

// writeOutcome adds the outcome to the claim, or releases the claim when the call was not run. The write is repeated until it is
// known to have taken effect, with growing pauses, as long as the key is accepted.
func (s *step) writeOutcome(r *run) {
	r.pause = min(max(2*r.pause, minWritePause), maxWritePause)
	r.retryAt = s.now.Add(r.pause)
	s.m.busy[r.name] = r
	state := StateUnknown
	switch r.outcome {
	case encoder.OutcomeDone:
		state = StateDone
	case encoder.OutcomeNotRun:
		state = StateReleased
	}
	s.do(WriteOutcome{Key: r.name, Nonce: r.nonce, Expect: r.revision, Value: s.record(r, state).Encode()})
}

func (s *step) outcomeWritten(e OutcomeWritten) {
	r := s.own(e.Key, e.Nonce)
	if r == nil || !r.recording {
		return
	}
	t, _ := keyTime(r.name)
	switch e.Result {
	case WriteDone:
		r.revision = e.Revision
	case WriteConflict:
		// An earlier write of this outcome took effect and its answer was lost, or another VM claimed again after the release.
		// The revision may be that of a claim of another VM, so it must not serve as expected revision.
		r.revision = 0
	case WriteUncertain, WriteUnavailable:
		if s.now.Sub(t) <= s.m.config.KeyRetention {
			return
		}
	}
	r.recording, r.retryAt, r.pause = false, time.Time{}, 0
	s.rest(r)
}

// retryWrites repeats the writes of outcomes that are due.
func (s *step) retryWrites() {
	var due []*run
	for _, r := range s.m.busy {
		if r.recording && !r.retryAt.IsZero() && !s.now.Before(r.retryAt) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *run) int { return cmp.Compare(a.name, b.name) })
	for _, r := range due {
		s.writeOutcome(r)
	}
}
