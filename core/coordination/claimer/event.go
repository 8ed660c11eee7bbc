package claimer

import (
	"encoding/json"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// CallID names one waiting party inside a VM: a caller's request or a request of a peer.
type CallID uint64

// Event is something that happened outside the machine.
type Event interface{ isEvent() }

// CallArrived brings a non-idempotent call with a key or a ticket. Forwarded marks a ticketed call that a peer passed on;
// it is never passed on again.
type CallArrived struct {
	Call      CallID
	Service   string
	Key       string
	Ticket    string
	Body      json.RawMessage
	Caller    string
	Deadline  time.Time
	Nonce     string // unguessable, used when a claim is created
	Forwarded bool
}

// OutcomeRequested brings the question of a peer for the outcome of a claim that this VM holds.
type OutcomeRequested struct {
	Call        CallID
	Key         string
	Signature   uint64
	Incarnation uint64
	Deadline    time.Time
}

// TicketsRequested brings a request for tickets. Numbers holds one unguessable number for each ticket.
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

// ClaimWritten brings the result of CreateClaim. Current and Revision are set after a conflict, Revision also after WriteDone.
type ClaimWritten struct {
	Key      string
	Nonce    string
	Result   WriteResult
	Revision uint64
	Current  []byte
}

// ClaimRead brings the result of ReadClaim.
type ClaimRead struct {
	Key       string
	Nonce     string
	Available bool
	Found     bool
	Revision  uint64
	Value     []byte
}

// OutcomeWritten brings the result of WriteOutcome.
type OutcomeWritten struct {
	Key      string
	Nonce    string
	Result   WriteResult
	Revision uint64
}

// RunEnded brings the end of a dispatched call. Outcome is OutcomeNotRun only when every upstream that received the call refused it.
type RunEnded struct {
	RunID    string
	Outcome  encoder.Outcome
	Reason   string
	Upstream string
	Result   json.RawMessage
}

// HolderAnswered brings the answer of the VM that holds a claim. Reached is false when no answer came.
type HolderAnswered struct {
	Key     string
	Nonce   string // own nonce of the run that asked
	Reached bool
	Outcome encoder.Outcome
	Reason  string
	Result  json.RawMessage
}

// ForwardEnded brings the answer of the VM that issued a ticket. Reached is false when no answer came.
type ForwardEnded struct {
	Call    CallID
	Reached bool
	Outcome encoder.Outcome
	Reason  string
	Result  json.RawMessage
}

// CallerGone tells that nobody waits for a call any more.
type CallerGone struct{ Call CallID }

// ShutdownStarted tells that a graceful shutdown has started: nothing new is dispatched and no ticket is issued.
type ShutdownStarted struct{}

// TimerFired tells that the time of the last Wake action was reached.
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
