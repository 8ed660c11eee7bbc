package forwarder

import (
	"time"

	"comfreyroute/core/coordination/reporter"
)

// RequestID names a request of a caller inside one VM.
type RequestID uint64

// AttemptID names one send to one upstream. It is never reused within an incarnation.
type AttemptID uint64

// Event is something that happened outside the forwarder.
type Event interface{ isEvent() }

// ManifestAdopted brings a manifest. One that is not newer than the present one is ignored.
type ManifestAdopted struct{ Manifest *Manifest }

// UpstreamsListed brings all upstreams that are registered now.
type UpstreamsListed struct{ Upstreams []Upstream }

// FleetResized tells how many VMs share the connections of the upstreams; 0 when that is not known.
type FleetResized struct{ VMs int }

// UpstreamsRated tells which upstreams fail or are slow for other VMs.
type UpstreamsRated struct{ Ratings []reporter.Rating }

// RequestArrived brings a request of a caller. Deadline is when the caller stops waiting; zero takes the route's timeout.
type RequestArrived struct {
	Request  RequestID
	Message  *Message
	Deadline time.Time
}

// CallerGone tells that the caller of a request no longer waits.
type CallerGone struct{ Request RequestID }

// AttemptEnded tells how an attempt ended.
type AttemptEnded struct {
	Attempt AttemptID
	Result  Result
}

// TimerFired tells that the time of the last Wake action was reached.
type TimerFired struct{}

func (ManifestAdopted) isEvent() {}
func (UpstreamsListed) isEvent() {}
func (FleetResized) isEvent()    {}
func (UpstreamsRated) isEvent()  {}
func (RequestArrived) isEvent()  {}
func (CallerGone) isEvent()      {}
func (AttemptEnded) isEvent()    {}
func (TimerFired) isEvent()      {}

// Result is the end of an attempt.
type Result interface{ isResult() }

// Replied is a complete response.
type Replied struct{ Reply *Reply }

// Failed is an attempt without a usable response. Written tells whether any byte of the request may have reached the upstream.
type Failed struct {
	Failure Failure
	Written bool
}

func (Replied) isResult() {}
func (Failed) isResult()  {}

//go:generate stringer -type=Failure,Reason -linecomment -output=strings.go

// Failure says why an attempt has no usable response.
type Failure int

// The failures of an attempt.
const (
	Unreachable        Failure = iota // unreachable
	NoConnection                      // no_connection
	Reset                             // reset
	ConnectionRejected                // turned_away
	TimedOut                          // timed_out
	Mismatched                        // mismatched
	Cancelled                         // cancelled
)

// Reason says why a request has no successful answer, or why a shard is missing in one.
type Reason int

// The reasons.
const (
	None         Reason = iota // none
	NoManifest                 // no_manifest
	NoRoute                    // no_route
	NoUpstream                 // no_upstream
	Busy                       // busy
	Shed                       // shed
	Expired                    // expired
	Late                       // late
	Errored                    // errored
	Lost                       // lost
	Budget                     // budget
	TooFewShards               // too_few_shards
)
