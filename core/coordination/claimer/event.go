package claimer

import (
	"encoding/json"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// CallID identifies one waiting call inside a VM: a caller's request or a request of a peer.
type CallID uint64

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// CallArrived reports a non-idempotent call with a key or a ticket. Forwarded marks a call with a ticket that a peer forwarded;
// it is never forwarded again.
type CallArrived struct {
	Call      CallID
	Service   string
	Key       string
	Ticket    string
	Body      json.RawMessage
	Caller    string
	Deadline  time.Time
	Nonce     string // unguessable, identifies the claim if one is created
	Forwarded bool
}

// OutcomeRequested reports that a peer requests the outcome of a call whose claim this VM holds.
type OutcomeRequested struct {
	Call        CallID
	Key         string
	Signature   uint64
	Incarnation uint64
	Deadline    time.Time
}

// TicketsRequested reports a request for tickets. Numbers holds one unguessable number for each ticket.
type TicketsRequested struct {
	Call    CallID
	Service string
	Caller  string
	Numbers []string
}

// WriteResult says how a write to the key-value service ended.
type WriteResult int

// The results of a write. After WriteUncertain the write may have taken effect, or may still take effect later.
const (
	WriteDone        WriteResult = iota // done
	WriteConflict                       // conflict
	WriteUncertain                      // uncertain
	WriteUnavailable                    // unavailable
)

// ClaimWritten reports the result of CreateClaim. Current and Revision are set after a conflict, Revision also after WriteDone.
type ClaimWritten struct {
	Key      string
	Nonce    string
	Result   WriteResult
	Revision uint64
	Current  []byte
}

// ClaimRead reports the result of ReadClaim. Available is false when the read failed.
type ClaimRead struct {
	Key       string
	Nonce     string
	Available bool
	Found     bool
	Revision  uint64
	Value     []byte
}

// OutcomeWritten reports the result of WriteOutcome.
type OutcomeWritten struct {
	Key      string
	Nonce    string
	Result   WriteResult
	Revision uint64
}

// RunEnded reports the end of a dispatched call. Outcome is OutcomeNotRun only when every upstream that received the call refused it.
type RunEnded struct {
	RunID    string
	Outcome  encoder.Outcome
	Reason   string
	Upstream string
	Result   json.RawMessage
}

// HolderAnswered reports the result of QueryHolder. Reached is false when the holder did not answer.
type HolderAnswered struct {
	Key     string
	Nonce   string // from QueryHolder
	Reached bool
	Outcome encoder.Outcome
	Reason  string
	Result  json.RawMessage
}

// ForwardEnded reports the result of ForwardCall. Reached is false when the VM that issued the ticket did not answer.
type ForwardEnded struct {
	Call    CallID
	Reached bool
	Outcome encoder.Outcome
	Reason  string
	Result  json.RawMessage
}

// CallerGone reports that the caller no longer waits for a call.
type CallerGone struct{ Call CallID }

// ShutdownStarted reports that a graceful shutdown has started. From then on no call is dispatched and no ticket is issued.
type ShutdownStarted struct{}

// TimerFired reports that the time of the last Wake action has been reached.
type TimerFired struct{}

func (CallArrived) isEvent()      {}
func (OutcomeRequested) isEvent() {}
func (TicketsRequested) isEvent() {}
func (ClaimWritten) isEvent()     {}
func (ClaimRead) isEvent()        {}
func (OutcomeWritten) isEvent()   {}
func (RunEnded) isEvent()         {}
func (HolderAnswered) isEvent()   {}
func (ForwardEnded) isEvent()     {}
func (CallerGone) isEvent()       {}
func (ShutdownStarted) isEvent()  {}
func (TimerFired) isEvent()       {}
