package router

import (
	"encoding/json"
	"net/netip"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// Action is something that the caller of Machine.Step carries out.
type Action interface{ isAction() }

// Send dispatches one sub-request. The transport checks Deadline again immediately before the first byte is written.
type Send struct {
	Attempt  AttemptID
	Request  RequestID
	Service  string
	Upstream string
	Address  netip.AddrPort
	Kind     encoder.SubKind
	Query    string
	Body     json.RawMessage
	Version  uint64 // 0 asks for no particular index version
	Deadline time.Time
	Caller   string
}

// Cancel ends an attempt whose reply is no longer needed.
type Cancel struct {
	Attempt  AttemptID
	Upstream string
}

// AnswerSearch answers a search.
type AnswerSearch struct {
	Request RequestID
	Answer  *encoder.SearchAnswer
}

// AnswerPoint answers a lookup or a call.
type AnswerPoint struct {
	Request RequestID
	Answer  *encoder.CallAnswer
}

// Probe asks the transport to open one new connection to an upstream and to ping it. The result arrives as UpstreamSeen or UpstreamUnreachable.
type Probe struct {
	Service  string
	Upstream string
	Address  netip.AddrPort
}

// Pool sets how many connections to an upstream the transport keeps, at most. Zero closes them when idle.
type Pool struct {
	Service     string
	Upstream    string
	Address     netip.AddrPort
	Connections int
	ConnectCost time.Duration
}

// SpreadSuspicion tells the peers about a suspect request signature.
type SpreadSuspicion struct {
	Signature uint64
	Service   string
	Confirmed bool
	Crashes   int
	Expires   time.Time
	NextProbe time.Time
}

// SpreadDrain tells the peers that an upstream accepts no new work, or that it is back.
type SpreadDrain struct {
	Service     string
	Upstream    string
	Incarnation uint64
	Leaving     bool
}

// Wake asks for a TimerFired event at a time. It replaces the previous Wake.
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
