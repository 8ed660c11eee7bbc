package forwarder

import (
	"net/netip"
	"time"
)

// Action is something that the caller of Machine.Step carries out.
type Action interface{ isAction() }

// Send dispatches a request to an upstream.
type Send struct {
	Attempt        AttemptID
	Service        string
	Upstream       string
	Address        netip.AddrPort
	Message        *Message
	Deadline       time.Time // when the upstream's reply is of no use
	MaxConnections int       // most connections to the upstream
	RecentlyActive bool      // only on a connection that answered lately: the request must not be lost on a dead one
}

// Cancel ends an attempt whose reply is no longer needed.
type Cancel struct{ Attempt AttemptID }

// Retire closes the connections to an upstream that gets no new work, once they are idle.
type Retire struct{ Upstream string }

// Answer ends a request.
type Answer struct {
	Request RequestID
	Outcome Outcome
	Report  Report
}

// Wake asks for a TimerFired event at a time. It replaces the previous Wake.
type Wake struct{ At time.Time }

func (Send) isAction()   {}
func (Cancel) isAction() {}
func (Retire) isAction() {}
func (Answer) isAction() {}
func (Wake) isAction()   {}

// Outcome is what the caller of a request gets.
type Outcome interface{ isOutcome() }

// Relayed is the unchanged reply of one upstream.
type Relayed struct{ Reply *Reply }

// Gathered is the merge of the replies of several shards.
type Gathered struct {
	Signatures []string // of the shards' replies
	Missing    int      // shards that are left out
	Body       []byte
}

// Refused means that the request has not run and never will.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Unknown means that the request has no answer and may have run.
type Unknown struct{ Reason Reason }

func (Relayed) isOutcome()  {}
func (Gathered) isOutcome() {}
func (Refused) isOutcome()  {}
func (Unknown) isOutcome()  {}

// Report explains an answer to operators.
type Report struct {
	Route    string
	Manifest uint64 // version that the request was handled by
	Elapsed  time.Duration
	Sends    int
	Hedges   int
	Retries  int
	Missing  []MissingShard
}

// MissingShard says why a shard has no part in an answer.
type MissingShard struct {
	Service  string
	Upstream string // of the last attempt; empty when nothing was sent
	Reason   Reason
}
