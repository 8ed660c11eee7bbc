package forwarder

import (
	"net/netip"
	"time"

	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/rationer"
)

// Action is an operation that the caller of Machine.Step performs.
type Action interface{ isAction() }

// Send starts an attempt: it sends one sub-request to one upstream.
type Send struct {
	Attempt        AttemptID
	Service        string
	Upstream       string
	Address        netip.AddrPort
	Message        *Message
	Deadline       time.Time     // later replies are not used
	ConnectBy      time.Time     // an attempt that still has no connection then ends as SlowConnect and is not written
	MaxBodyBytes   int64         // longer bodies of replies are not read
	MaxConnections int           // connections that this VM may open to the upstream
	Linger         time.Duration // after Deadline, in which the result is still awaited; if it is not 0, a Cancel does not end an attempt that was sent
	RecentlyActive bool          // reuse only a connection with a recent reply, because the request must not be lost on a dead one
	Detour         *Detour       // set if Upstream names a peer, which serves the whole request
	Identity       Identity
}

// Identity is what an upstream gets to know of the customer whose caller sent a request.
type Identity struct {
	Verified bool   // this VM has authenticated the caller, whose own headers about it are not passed on
	Customer string // empty for a caller that needs no key
}

// Cancel ends an attempt whose reply is no longer needed.
type Cancel struct{ Attempt AttemptID }

// Retire closes the connections to an upstream that gets no new requests, each one once it is idle.
type Retire struct{ Upstream string }

// Probe opens a connection to an upstream without a request, to find out whether this VM reaches it. A ProbeEnded event follows.
type Probe struct {
	Service        string
	Upstream       string
	Address        netip.AddrPort
	Deadline       time.Time
	MaxConnections int // that this VM may open to the upstream
}

// PublishEvidence makes known to the other VMs what this one knows about requests that crash upstreams. It replaces what this VM published
// before.
type PublishEvidence struct{ Evidence []quarantiner.Evidence }

// AskGrants asks a VM, which may be this one, for grants of the customers' rates. A GrantsOffered event follows within rationer.AskTimeout.
type AskGrants struct {
	To    rationer.Member
	Ask   rationer.Ask
	Probe bool // may be in flight beside another one
}

// GranterChanged reports which VM gives out the grants for this one from now on, empty for none.
type GranterChanged struct{ Granter, Before string }

// QuarantineChanged reports that the requests with a signature are run in another way from now on.
type QuarantineChanged struct {
	Signature uint64
	Decision  quarantiner.Decision
	Service   string // of the upstream whose crash or reply decided it; empty if other VMs reported it
	Upstream  string
}

// ReachChanged reports that this VM has lost all upstreams, or reaches them again.
type ReachChanged struct {
	Lost bool
	Age  time.Duration // of the loss when it ends
}

// Answer completes a request.
type Answer struct {
	Request RequestID
	Outcome Outcome
	Leaving []string // names of upstreams whose replies said that they leave
	Runs    int      // upstreams of a service on which the request may have run, at most
	Report  Report
}

// RateChanged reports that an upstream has declared another limit on its rate, or none any more.
type RateChanged struct {
	Service  string
	Upstream string
	Limited  bool
	Rate     float64 // in requests per second, from all VMs together
	Sends    LimitedSends
}

// NoticeReceived reports that an upstream has said that it leaves, or for how long it wants no requests.
type NoticeReceived struct {
	Service  string
	Upstream string
	Leaving  bool
	Pause    time.Duration
}

// LimitedSends counts the sends of this VM to an upstream since it declared a limit.
type LimitedSends struct{ First, Hedges, Retries uint64 }

// Wake requests a TimerFired event at a time. It replaces the previous Wake.
type Wake struct{ At time.Time }

func (Send) isAction()   {}
func (Cancel) isAction() {}
func (Retire) isAction() {}
func (Answer) isAction() {}
func (Wake) isAction()   {}

func (RateChanged) isAction() {}

func (Probe) isAction() {}

func (ReachChanged) isAction() {}

func (NoticeReceived) isAction() {}

func (PublishEvidence) isAction() {}

func (QuarantineChanged) isAction() {}

func (AskGrants) isAction() {}

func (GranterChanged) isAction() {}

// Outcome is the result of a request, which its caller receives.
type Outcome interface{ isOutcome() }

// Relayed is the reply of one upstream, passed on unchanged.
type Relayed struct{ Reply *Reply }

// Gathered is the merged reply of several shards.
type Gathered struct {
	Signatures []string // of the shards' replies
	Missing    int      // shards that are not part of the answer
	Body       []byte
}

// Refused means that the request has not run at any upstream and never will.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Unknown means that no usable reply arrived although the request may have run.
type Unknown struct{ Reason Reason }

func (Relayed) isOutcome()  {}
func (Gathered) isOutcome() {}
func (Refused) isOutcome()  {}
func (Unknown) isOutcome()  {}

// Report describes for the log how a request was processed.
type Report struct {
	Route    string
	Customer string // empty if the caller needs no key, or has none that is known
	Manifest uint64 // version by which the request was routed
	Elapsed  time.Duration
	Spent    time.Duration // that the caller had waited before, as on a try that failed
	Sends    int
	Hedges   int
	Retries  int
	Missing  []MissingShard
	Peer     string // VM that answered the request; empty if this VM did
}

// MissingShard says why a shard is missing from an answer.
type MissingShard struct {
	Service  string
	Upstream string // of the last attempt; empty if nothing was sent
	Reason   Reason
}
