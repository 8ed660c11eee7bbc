package router

import (
	"encoding/json"
	"net/netip"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// Action is an operation that the caller of Machine.Step performs.
type Action interface{ isAction() }

// Send dispatches one sub-request. The transport checks Deadline again immediately before it writes the first byte.
type Send struct {
	Attempt  AttemptID
	Request  RequestID
	Service  string
	Upstream string
	Address  netip.AddrPort
	Kind     encoder.SubKind
	Query    string
	Body     json.RawMessage
	Version  uint64 // 0 requests no particular index version
	Deadline time.Time
	Caller   string
}

// Cancel ends an attempt whose reply is no longer needed.
type Cancel struct {
	Attempt  AttemptID
	Upstream string
}

// AnswerSearch carries the answer to a search.
type AnswerSearch struct {
	Request RequestID
	Answer  *encoder.SearchAnswer
}

// AnswerPoint carries the answer to a lookup or a call.
type AnswerPoint struct {
	Request RequestID
	Answer  *encoder.CallAnswer
}

// Probe makes the transport open a new connection to an upstream and ping it. The result arrives as UpstreamSeen or
// UpstreamUnreachable.
type Probe struct {
	Service  string
	Upstream string
	Address  netip.AddrPort
}

// Pool sets the maximum number of connections that the transport keeps to an upstream. Zero closes them once they are idle.
type Pool struct {
	Service     string
	Upstream    string
	Address     netip.AddrPort
	Connections int
	ConnectCost time.Duration
}

// SpreadSuspicion sends a suspicion of a request signature to the peers.
type SpreadSuspicion struct {
	Signature uint64
	Service   string
	Confirmed bool
	Crashes   int
	Expires   time.Time
	NextProbe time.Time
}

// SpreadDrain informs the peers that an upstream accepts no new work, or that it does again.
type SpreadDrain struct {
	Service     string
	Upstream    string
	Incarnation uint64
	Leaving     bool
}

// Wake requests a TimerFired event at a time. It replaces the previous Wake.
type Wake struct{ At time.Time }

func (Send) isAction()            {}
func (Cancel) isAction()          {}
func (AnswerSearch) isAction()    {}
func (AnswerPoint) isAction()     {}
func (Probe) isAction()           {}
func (Pool) isAction()            {}
func (SpreadSuspicion) isAction() {}
func (SpreadDrain) isAction()     {}
func (Wake) isAction()            {}
