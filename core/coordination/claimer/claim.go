package claimer

import (
	"cmp"
	"slices"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// keyCallArrived handles a call with an idempotency key.
func (s *step) keyCallArrived(e CallArrived) {
	t, err := keyTime(e.Key)
	switch {
	case err != nil:
		// No VM accepts such a key, so no attempt under it can have run.
		s.emit(AnswerCall{Call: e.Call, Outcome: encoder.OutcomeNotRun, Reason: reasonBadKey})
		return
	case s.now.Sub(t) > s.m.config.KeyRetention:
		s.refuseCall(e.Call, reasonKeyExpired)
		return
	case t.Sub(s.now) > s.m.config.MaxClockSkew:
		s.refuseCall(e.Call, reasonKeyFuture)
		return
	}
	signature := Signature(e.Service, e.Body)
	r := s.m.runs[e.Key]
	switch {
	case r == nil:
		s.startClaim(e, signature)
	case r.signature != signature:
		s.refuseCall(e.Call, reasonKeyReused)
	case r.mayRetry() && s.m.isShuttingDown:
		s.refuseCall(e.Call, reasonLeaving)
	case r.mayRetry():
		// Another VM may have run the call since, so the claim is checked again even if this VM's outcome was "not run".
		s.restartClaim(r, e)
	case r.phase == phaseEnded:
		s.emit(AnswerCall{Call: e.Call, Outcome: r.outcome, Reason: r.reason, Upstream: r.upstream, Result: r.result})
	default:
		s.addWaiter(r, e.Call, e.Deadline)
	}
}

func (s *step) startClaim(e CallArrived, signature uint64) {
	if s.m.isShuttingDown {
		s.refuseCall(e.Call, reasonLeaving)
		return
	}
	r := &run{id: e.Key, service: e.Service, signature: signature, hasSignature: true, body: e.Body, caller: e.Caller, nonce: e.Nonce}
	if len(s.m.activeRuns) >= s.m.config.MaxRuns || !s.addRun(r) {
		s.refuseCall(e.Call, reasonBusy)
		return
	}
	s.addWaiter(r, e.Call, e.Deadline)
	s.createClaim(r, 0)
}

// maxAbandonedNonces bounds the nonces of earlier attempts that a run keeps. A claim with an older nonce gives "unknown".
const maxAbandonedNonces = 8

// restartClaim starts another attempt of a run that this VM did not dispatch.
func (s *step) restartClaim(r *run, e CallArrived) {
	if len(r.abandonedNonces) >= maxAbandonedNonces {
		r.abandonedNonces = slices.Delete(r.abandonedNonces, 0, 1)
	}
	r.abandonedNonces = append(r.abandonedNonces, r.nonce)
	r.outcome, r.reason, r.upstream, r.result = "", "", "", nil
	r.needsRecording, r.retryAt, r.retryDelay = false, time.Time{}, 0
	r.body, r.caller, r.nonce = e.Body, e.Caller, e.Nonce
	s.addWaiter(r, e.Call, e.Deadline)
	s.createClaim(r, r.revision)
}

// createClaim writes the claim, or abandons the attempt when no call waits for it any more.
func (s *step) createClaim(r *run, expect uint64) {
	if s.latestDeadline(r).IsZero() {
		s.abandonAttempt(r, reasonDeadline)
		return
	}
	r.phase = phaseClaiming
	r.revision = 0
	s.m.activeRuns[r.id] = r
	s.emit(CreateClaim{Key: r.id, Nonce: r.nonce, Expect: expect, Value: s.claimRecord(r, StateClaimed).Encode()})
}

// claimRecord returns the record that is stored for a run.
func (s *step) claimRecord(r *run, state State) Record {
	rec := Record{Nonce: r.nonce, Holder: s.m.config.VM, Incarnation: s.m.config.Incarnation, Signature: r.signature, State: state, Time: s.now.UTC()}
	if state == StateDone || state == StateUnknown {
		rec.Reason, rec.Upstream, rec.Result = r.reason, r.upstream, r.result
	}
	return rec
}

// currentRun returns the run of a key, or nil when the nonce is not that of its current attempt.
func (s *step) currentRun(key, nonce string) *run {
	r := s.m.runs[key]
	if r == nil || r.nonce != nonce {
		return nil
	}
	return r
}

func (s *step) claimWritten(e ClaimWritten) {
	r := s.currentRun(e.Key, e.Nonce)
	if r == nil || r.phase != phaseClaiming {
		return
	}
	switch e.Result {
	case WriteDone:
		s.claimAcquired(r, e.Revision)
	case WriteConflict:
		s.resolveExistingClaim(r, e.Revision, e.Current)
	case WriteUncertain:
		s.emit(ReadClaim{Key: r.id, Nonce: r.nonce})
	case WriteUnavailable:
		s.abandonAttempt(r, reasonPlatform)
	}
}

// claimRead handles the read after an uncertain write. If no claim is found, this VM's write may still take effect, and another VM
// may have claimed and run the call since the read. The outcome is then unknown, and the caller may retry with the same key.
func (s *step) claimRead(e ClaimRead) {
	r := s.currentRun(e.Key, e.Nonce)
	if r == nil || r.phase != phaseClaiming {
		return
	}
	if !e.Available || !e.Found {
		s.abandonAttempt(r, reasonPlatform)
		return
	}
	s.resolveExistingClaim(r, e.Revision, e.Value)
}

// abandonAttempt ends an attempt that this VM did not dispatch, whose claim may or may not exist. The outcome is only for the waiting
// calls: a later attempt checks the store again, and a VM that asks about the claim of this VM gets the answer
// that it was not run.
func (s *step) abandonAttempt(r *run, reason string) {
	s.endRun(r, encoder.OutcomeUnknown, reason)
	r.isFinal = false
	// The revision may belong to a claim of another VM, which the next attempt must not replace.
	r.revision = 0
}

// claimAcquired dispatches the run whose claim this VM holds, or releases the claim.
func (s *step) claimAcquired(r *run, revision uint64) {
	r.revision = revision
	if s.dispatchRun(r) {
		return
	}
	r.needsRecording = true
	s.endRun(r, encoder.OutcomeNotRun, s.notDispatchedReason())
	s.writeOutcome(r)
}

// resolveExistingClaim decides how to go on when a claim already exists.
func (s *step) resolveExistingClaim(r *run, revision uint64, value []byte) {
	rec, err := ParseRecord(value)
	switch {
	case err != nil:
		s.abandonAttempt(r, "bad_claim")
	case rec.Nonce == r.nonce:
		s.claimAcquired(r, revision)
	case rec.Signature != r.signature:
		s.abandonAttempt(r, reasonKeyReused)
	case rec.State == StateReleased || slices.Contains(r.abandonedNonces, rec.Nonce):
		s.createClaim(r, revision)
	case rec.State == StateDone:
		r.upstream, r.result = rec.Upstream, rec.Result
		s.endRun(r, encoder.OutcomeDone, rec.Reason)
	case rec.State == StateUnknown:
		r.upstream = rec.Upstream
		s.endRun(r, encoder.OutcomeUnknown, rec.Reason)
	case rec.Holder == s.m.config.VM:
		// The claim is from an earlier incarnation or a run that this VM evicted, so the call may have been dispatched.
		s.abandonAttempt(r, reasonHolderGone)
	case s.latestDeadline(r).IsZero():
		s.abandonAttempt(r, reasonDeadline)
	default:
		r.phase, r.revision = phaseAsking, revision
		s.emit(QueryHolder{
			Key: r.id, Nonce: r.nonce, VM: rec.Holder, Incarnation: rec.Incarnation,
			Signature: r.signature, Service: r.service, Deadline: s.latestDeadline(r),
		})
	}
}

// holderAnswered handles the answer of the VM that holds the claim.
func (s *step) holderAnswered(e HolderAnswered) {
	r := s.currentRun(e.Key, e.Nonce)
	if r == nil || r.phase != phaseAsking {
		return
	}
	switch {
	case !e.Reached:
		s.abandonAttempt(r, reasonHolderGone)
	case e.Outcome == encoder.OutcomeDone:
		r.result = e.Result
		s.endRun(r, encoder.OutcomeDone, e.Reason)
	case e.Outcome == encoder.OutcomeNotRun:
		// The holder never dispatches under the claim that this VM read. If it has claimed again since, the compare-and-swap fails.
		s.createClaim(r, r.revision)
	default:
		s.abandonAttempt(r, e.Reason)
	}
}

// outcomeRequested answers a peer that found a claim of this VM.
func (s *step) outcomeRequested(e OutcomeRequested) {
	r := s.m.runs[e.Key]
	switch {
	case e.Incarnation != s.m.config.Incarnation || r == nil:
		s.refuseCall(e.Call, reasonHolderGone)
	case r.signature != e.Signature:
		s.refuseCall(e.Call, reasonKeyReused)
	case r.mayRetry():
		s.emit(AnswerCall{Call: e.Call, Outcome: encoder.OutcomeNotRun, Reason: r.reason})
	case r.phase == phaseEnded:
		s.emit(AnswerCall{Call: e.Call, Outcome: r.outcome, Reason: r.reason, Upstream: r.upstream, Result: r.result})
	case r.phase == phaseAsking:
		// Waiting here could let two VMs that query each other wait until their deadlines.
		s.refuseCall(e.Call, reasonInProgress)
	default:
		s.addWaiter(r, e.Call, e.Deadline)
	}
}

// writeOutcome adds the outcome to the claim, or releases the claim when the call was not run. Until the write is known to have taken
// effect, it is retried with exponential back-off as long as VMs accept the key.
func (s *step) writeOutcome(r *run) {
	r.retryDelay = min(max(2*r.retryDelay, minWriteRetryDelay), maxWriteRetryDelay)
	r.retryAt = s.now.Add(r.retryDelay)
	s.m.activeRuns[r.id] = r
	state := StateUnknown
	switch r.outcome {
	case encoder.OutcomeDone:
		state = StateDone
	case encoder.OutcomeNotRun:
		state = StateReleased
	}
	s.emit(WriteOutcome{Key: r.id, Nonce: r.nonce, Expect: r.revision, Value: s.claimRecord(r, state).Encode()})
}

func (s *step) outcomeWritten(e OutcomeWritten) {
	r := s.currentRun(e.Key, e.Nonce)
	if r == nil || !r.needsRecording {
		return
	}
	t, _ := keyTime(r.id)
	switch e.Result {
	case WriteDone:
		r.revision = e.Revision
	case WriteConflict:
		// Either an earlier write of this outcome took effect and its answer was lost, or another VM claimed the key after the
		// release. The revision may belong to that claim, so it must not become the expected revision of a later write.
		r.revision = 0
	case WriteUncertain, WriteUnavailable:
		if s.now.Sub(t) <= s.m.config.KeyRetention {
			return
		}
	}
	r.needsRecording, r.retryAt, r.retryDelay = false, time.Time{}, 0
	s.removeIfIdle(r)
}

// retryOutcomeWrites retries the writes of outcomes that are due.
func (s *step) retryOutcomeWrites() {
	var due []*run
	for _, r := range s.m.activeRuns {
		if r.needsRecording && !r.retryAt.IsZero() && !s.now.Before(r.retryAt) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *run) int { return cmp.Compare(a.id, b.id) })
	for _, r := range due {
		s.writeOutcome(r)
	}
}
