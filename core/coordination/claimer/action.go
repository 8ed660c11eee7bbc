package claimer

import (
	"encoding/json"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// Action is an operation that the caller of Machine.Step performs.
type Action interface{ isAction() }

// CreateClaim writes a claim with compare-and-swap on revision Expect; 0 means that the key must not exist. The transport never
// retries it.
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

// QueryHolder requests the outcome of a call from the VM that holds its claim.
type QueryHolder struct {
	Key         string
	Nonce       string // nonce of this VM's attempt, returned in HolderAnswered
	VM          string
	Incarnation uint64
	Signature   uint64
	Service     string
	Deadline    time.Time
}

// ForwardCall forwards a call with a ticket to the VM that issued the ticket.
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

// DispatchCall dispatches a call to an upstream. RunEnded carries the same RunID, which is the key or the ticket.
type DispatchCall struct {
	RunID    string
	Service  string
	Body     json.RawMessage
	Caller   string
	Deadline time.Time
}

// AnswerCall answers one waiting call.
type AnswerCall struct {
	Call       CallID
	Outcome    encoder.Outcome
	Reason     string
	RetryAfter time.Duration
	Upstream   string
	Result     json.RawMessage
}

// AnswerTickets answers TicketsRequested. It holds fewer tickets than requested when a limit is reached or the VM shuts down.
type AnswerTickets struct {
	Call      CallID
	Tickets   []string
	ExpiresIn time.Duration
}

// Wake requests a TimerFired event at the given time. It replaces the previous Wake.
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
