package claimer

import (
	"encoding/json"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// Action is something that the caller of Machine.Step carries out.
type Action interface{ isAction() }

// CreateClaim writes a claim with compare-and-swap on revision Expect; 0 means that the key must not exist. It is never repeated
// by the transport.
type CreateClaim struct {
	Key    string
	Nonce  string
	Expect uint64
	Value  []byte
}

// ReadClaim reads a claim after an uncertain write.
type ReadClaim struct {
	Key   string
	Nonce string
}

// WriteOutcome replaces a claim by its outcome with compare-and-swap on revision Expect.
type WriteOutcome struct {
	Key    string
	Nonce  string
	Expect uint64
	Value  []byte
}

// QueryHolder asks the VM that holds a claim for the outcome.
type QueryHolder struct {
	Key         string
	Nonce       string // own nonce, returned in HolderAnswered
	VM          string
	Incarnation uint64
	Signature   uint64
	Service     string
	Deadline    time.Time
}

// ForwardCall passes a ticketed call to the VM that issued the ticket.
type ForwardCall struct {
	Call        CallID
	VM          string
	Incarnation uint64
	Ticket      string
	Service     string
	Body        json.RawMessage
	Caller      string
	Deadline    time.Time
}

// DispatchCall dispatches a call to an upstream. Run names it in RunEnded.
type DispatchCall struct {
	RunID    string
	Service  string
	Body     json.RawMessage
	Caller   string
	Deadline time.Time
}

// AnswerCall ends the wait of one party.
type AnswerCall struct {
	Call       CallID
	Outcome    encoder.Outcome
	Reason     string
	RetryAfter time.Duration
	Upstream   string
	Result     json.RawMessage
}

// AnswerTickets hands out tickets; fewer than asked for when a bound is reached.
type AnswerTickets struct {
	Call      CallID
	Tickets   []string
	ExpiresIn time.Duration
}

// Wake asks for a TimerFired event at a time. It replaces the previous Wake.
type Wake struct{ At time.Time }

func (CreateClaim) isAction()   {}
func (ReadClaim) isAction()     {}
func (WriteOutcome) isAction()  {}
func (QueryHolder) isAction()   {}
func (ForwardCall) isAction()   {}
func (DispatchCall) isAction()  {}
func (AnswerCall) isAction()    {}
func (AnswerTickets) isAction() {}
func (Wake) isAction()          {}
