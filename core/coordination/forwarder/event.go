package forwarder

import (
	"time"

	"comfreyroute/core/coordination/navigator"
	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/rationer"
	"comfreyroute/core/coordination/reporter"
)

// RequestID identifies a request of a caller within one VM.
type RequestID uint64

// AttemptID identifies one sub-request sent to one upstream. It is never reused within an incarnation.
type AttemptID uint64

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// ManifestAdopted carries a newly read manifest. It is ignored unless it is newer than the current one.
type ManifestAdopted struct{ Manifest *Manifest }

// UpstreamsListed carries all upstreams that are currently registered.
type UpstreamsListed struct{ Upstreams []Upstream }

// EvacuationsListed carries all failure domains whose upstreams get no new requests, because the operator evacuates them.
type EvacuationsListed struct{ FailureDomains []string }

// FleetResized reports how many VMs share the connections of the upstreams; 0 means unknown.
type FleetResized struct{ VMs int }

// UpstreamsRated reports which upstreams fail or are slow for other VMs.
type UpstreamsRated struct{ Ratings []reporter.Rating }

// StopBegun reports that this VM is stopping. All requests must have an answer by a time, and further ones may still come.
type StopBegun struct{ AnswerBy time.Time }

// PeersListed carries the VMs of the fleet that take requests of this VM.
type PeersListed struct{ Peers []navigator.Peer }

// ProbeEnded reports whether an upstream accepted the connection of a Probe.
type ProbeEnded struct {
	Service   string
	Upstream  string
	Connected bool
	Refused   bool // its host has answered that nothing accepts connections there
}

// EvidenceReceived carries what VMs have published about requests that crash upstreams. Complete is set if the store has nothing else.
type EvidenceReceived struct {
	Publications []quarantiner.Publication
	Complete     bool
}

// GrantersListed carries the VMs that can give out grants of the customers' rates, this one included.
type GrantersListed struct{ Members []rationer.Member }

// GrantsOffered ends an AskGrants action. Offer is nil if there was no answer.
type GrantsOffered struct {
	Offer  *rationer.Offer
	Probe  bool // as in the action
	Unsent bool // the ask cannot have reached the granter
}

// GranterDisconnected means that a VM has closed the connection over which this one asks it for grants.
type GranterDisconnected struct{ Name string }

// RequestArrived carries a request of a caller. Deadline is when the caller stops waiting; zero means the route's timeout.
type RequestArrived struct {
	Request  RequestID
	Message  *Message
	Keys     []string // API keys that the caller presented
	Deadline time.Time
	Detour   *Detour // set if another VM sent the request on
}

// CallerGone reports that the caller of a request no longer waits for the answer.
type CallerGone struct{ Request RequestID }

// AttemptEnded reports the result of an attempt.
type AttemptEnded struct {
	Attempt AttemptID
	Result  Result
}

// TimerFired reports that the time of the last Wake action was reached.
type TimerFired struct{}

func (ManifestAdopted) isEvent() {}
func (UpstreamsListed) isEvent() {}
func (FleetResized) isEvent()    {}
func (UpstreamsRated) isEvent()  {}
func (RequestArrived) isEvent()  {}
func (CallerGone) isEvent()      {}
func (AttemptEnded) isEvent()    {}
func (TimerFired) isEvent()      {}
func (PeersListed) isEvent()     {}
func (StopBegun) isEvent()       {}
func (ProbeEnded) isEvent()      {}

func (EvidenceReceived) isEvent()    {}
func (GrantersListed) isEvent()      {}
func (GrantsOffered) isEvent()       {}
func (GranterDisconnected) isEvent() {}

func (EvacuationsListed) isEvent() {}

// Result says how an attempt ended.
type Result interface{ isResult() }

// Replied means that the attempt got a complete reply.
type Replied struct{ Reply *Reply }

// Failed means that the attempt ended without a usable reply. Written reports whether any byte of the request may have reached the
// upstream.
type Failed struct {
	Failure Failure
	Written bool
	Detail  string // for the log; may be empty
}

// PeerAnswered means that a peer has answered the request.
type PeerAnswered struct {
	Outcome Outcome
	Missing []string // services of the shards that are missing from the answer
	Leaving []string // names of upstreams whose replies said that they leave
	Runs    int      // upstreams of a service on which the request may have run there, at most
}

func (Replied) isResult()      {}
func (Failed) isResult()       {}
func (PeerAnswered) isResult() {}

//go:generate stringer -type=Failure,Reason -linecomment -output=strings.go

// Failure is the reason why an attempt ended without a usable reply.
type Failure int

// The failures of an attempt. ConnectionRejected means that the upstream reset a new connection before it can have worked on
// the request, as it does with connections beyond its limit. Oversized means that the reply exceeded a bound on its size, and SlowConnect
// that the connection was not open at Send.ConnectBy.
const (
	Unreachable        Failure = iota // unreachable
	NoConnection                      // no_connection
	Reset                             // reset
	ConnectionRejected                // turned_away
	TimedOut                          // timed_out
	Mismatched                        // mismatched
	Oversized                         // oversized
	SlowConnect                       // slow_connect
	Cancelled                         // cancelled
)

// Reason says why a request has no successful answer, or why a shard is missing from one.
type Reason int

// The reasons of a failed request or a missing shard. Busy means that no upstream had free capacity or a free connection, Shed that
// the upstream did not run the request, Expired that the deadline had passed or an attempt timed out, Late that the shard had not
// replied when the request was answered, Errored that the upstream replied with an error, Lost that an attempt ended without a
// usable reply, Budget that the retry budget was used up, RateLimited that the rates which the upstreams declare allow no further request
// in time, OutOfReach that this VM reaches too few upstreams, OtherManifest that the VMs route the request differently,
// Stopping that this VM stops before an upstream can have answered, and Quarantined that the request crashes the upstreams that run it.
// NoKey, SeveralKeys and UnknownKey mean that the request does not prove to which customer it belongs, OverRate that the customer has used up
// its rate, and NoGrant that no granter of the rate has answered.
// Hopeless means that its turn would come too
// late when it arrived, and Displaced that later requests go first.
const (
	None          Reason = iota // none
	NoManifest                  // no_manifest
	NoRoute                     // no_route
	NoUpstream                  // no_upstream
	Busy                        // busy
	Shed                        // shed
	Expired                     // expired
	Late                        // late
	Errored                     // errored
	Lost                        // lost
	Budget                      // budget
	TooFewShards                // too_few_shards
	RateLimited                 // rate_limited
	OutOfReach                  // out_of_reach
	OtherManifest               // other_manifest
	Stopping                    // stopping
	Quarantined                 // quarantined
	NoKey                       // no_key
	SeveralKeys                 // several_keys
	UnknownKey                  // unknown_key
	OverRate                    // over_rate
	NoGrant                     // no_grant
	Hopeless                    // hopeless
	Displaced                   // displaced
)

// LastReason is the largest Reason.
const LastReason = Displaced
