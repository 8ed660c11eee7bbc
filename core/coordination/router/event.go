package router

import (
	"encoding/json"
	"time"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

// RequestID identifies a request of a caller within one VM.
type RequestID uint64

// AttemptID identifies one sub-request sent to one upstream. It is never reused within an incarnation.
type AttemptID uint64

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// TableAdopted carries a newly adopted table.
type TableAdopted struct{ Table *tabler.Snapshot }

// RequestArrived carries a request of a caller. Kind is encoder.SubSearch, encoder.SubLookup or encoder.SubCall.
type RequestArrived struct {
	Request     RequestID
	Caller      string
	Service     string
	Kind        encoder.SubKind
	Query       string          // search text or lookup key
	Body        json.RawMessage // body of a call
	Deadline    time.Time       // zero means the deadline of the service row
	MinCoverage float64         // 0 to 1; a search with less coverage is not answered as done
}

// CallerGone reports that the caller of a request no longer waits for the answer.
type CallerGone struct{ Request RequestID }

// ReplyArrived carries a reply that the transport matched to its attempt by id, on the connection of the attempt.
type ReplyArrived struct {
	Attempt AttemptID
	Reply   *encoder.SubReply
}

// AttemptFailed reports that an attempt ended without a usable reply. Written reports whether any byte of it may have reached
// the upstream.
type AttemptFailed struct {
	Attempt AttemptID
	Failure Failure
	Written bool
}

// UpstreamSeen carries the state that an upstream reported in a reply that belongs to no attempt, such as the reply to a ping.
type UpstreamSeen struct {
	Service string
	Reply   *encoder.SubReply
}

// UpstreamUnreachable reports that a new connection to an upstream was refused or timed out.
type UpstreamUnreachable struct {
	Service  string
	Upstream string
	Refused  bool
}

// ConnectionsChanged reports the number of usable open connections to an upstream.
type ConnectionsChanged struct {
	Service  string
	Upstream string
	Open     int
}

// UpstreamLeaving reports that an upstream accepts no new work, or that it does again. The source is the VM list or a peer.
type UpstreamLeaving struct {
	Service     string
	Upstream    string
	Incarnation uint64 // 0 if the source does not know it
	Leaving     bool
}

// SuspicionHeard carries a suspicion received from a peer.
type SuspicionHeard struct {
	Signature uint64
	Service   string
	Confirmed bool
	Crashes   int
	Expires   time.Time
	NextProbe time.Time
}

// FleetSeen carries the ids of all entry VMs that this VM knows, including its own. They determine which VM probes a suspect.
type FleetSeen struct{ VMs []string }

// TimerFired reports that the time of the last Wake action was reached.
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
