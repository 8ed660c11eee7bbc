package router

import (
	"encoding/json"
	"time"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

// RequestID names a request of a caller inside one VM.
type RequestID uint64

// AttemptID names one sub-request sent to one upstream. It is never reused within an incarnation.
type AttemptID uint64

// Event is something that happened outside the router.
type Event interface{ isEvent() }

// TableAdopted brings a new table.
type TableAdopted struct{ Table *tabler.Snapshot }

// RequestArrived brings a request of a caller. Kind is encoder.SubSearch, encoder.SubLookup or encoder.SubCall.
type RequestArrived struct {
	Request     RequestID
	Caller      string
	Service     string
	Kind        encoder.SubKind
	Query       string          // search text or lookup key
	Body        json.RawMessage // body of a call
	Deadline    time.Time       // zero takes the deadline of the service row
	MinCoverage float64         // 0 to 1; a search below it is not answered as done
}

// CallerGone tells that the caller of a request no longer waits.
type CallerGone struct{ Request RequestID }

// ReplyArrived brings a reply that was matched to its attempt by id on its own connection.
type ReplyArrived struct {
	Attempt AttemptID
	Reply   *encoder.SubReply
}

// AttemptFailed tells that an attempt ended without a usable reply. Written tells whether any byte of it may have reached the upstream.
type AttemptFailed struct {
	Attempt AttemptID
	Failure Failure
	Written bool
}

// UpstreamSeen brings the state that an upstream reported on a reply that belongs to no attempt, such as a ping.
type UpstreamSeen struct {
	Service string
	Reply   *encoder.SubReply
}

// UpstreamUnreachable tells that a new connection to an upstream was refused or timed out.
type UpstreamUnreachable struct {
	Service  string
	Upstream string
	Refused  bool
}

// ConnectionsChanged tells how many usable connections to an upstream are open.
type ConnectionsChanged struct {
	Service  string
	Upstream string
	Open     int
}

// UpstreamLeaving tells, from the VM list or from a peer, that an upstream gets no new work, or that it is back.
type UpstreamLeaving struct {
	Service     string
	Upstream    string
	Incarnation uint64 // 0 when the source does not know it
	Leaving     bool
}

// SuspicionHeard brings a suspicion of a peer.
type SuspicionHeard struct {
	Signature uint64
	Service   string
	Confirmed bool
	Crashes   int
	Expires   time.Time
	NextProbe time.Time
}

// FleetSeen brings the ids of the entry VMs in this VM's view, itself included. They decide which VM probes a suspect.
type FleetSeen struct{ VMs []string }

// TimerFired tells that the time of the last Wake action was reached.
type TimerFired struct{}

func (TableAdopted) isEvent()        {}
func (RequestArrived) isEvent()      {}
func (CallerGone) isEvent()          {}
func (ReplyArrived) isEvent()        {}
func (AttemptFailed) isEvent()       {}
func (UpstreamSeen) isEvent()        {}
func (UpstreamUnreachable) isEvent() {}
func (ConnectionsChanged) isEvent()  {}
func (UpstreamLeaving) isEvent()     {}
func (SuspicionHeard) isEvent()      {}
func (FleetSeen) isEvent()           {}
func (TimerFired) isEvent()          {}
