package synchronizer

import "time"

// CallID identifies one call to the platform or to a peer. A Machine or Editor never reuses the ID of one of its calls.
type CallID uint64

// StoredValue is one key of the table as the key-value service holds it. Deleted reports whether the key was deleted there.
type StoredValue struct {
	Service  string
	Revision uint64
	Data     []byte
	Deleted  bool
}

// Revision is the revision of one service's value, without the value.
type Revision struct {
	Service  string
	Revision uint64
}

// Member is one VM of the fleet.
type Member struct {
	ID            string
	FailureDomain string
}

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Ticked makes the machine check its time limits. It arrives at least every TickInterval; the first one starts the machine.
type Ticked struct{}

// MembersChanged reports the VM's current view of the other VMs. VMs that are known to be gone are left out.
type MembersChanged struct{ Members []Member }

// TableRead answers ReadTable with every key of the table and the store's revision at the read.
type TableRead struct {
	Call     CallID
	Items    []StoredValue
	Revision uint64
}

// WatchAnswered answers WatchTable with the changes after the requested revision, or none when the wait ended. Compacted reports
// that the platform no longer has these changes.
type WatchAnswered struct {
	Call      CallID
	Items     []StoredValue
	Revision  uint64
	Compacted bool
}

// PlatformCallFailed reports that a ReadTable or WatchTable got no answer.
type PlatformCallFailed struct{ Call CallID }

// PlatformContacted reports that the platform answered a call of another component of this VM, which was sent at Sent.
type PlatformContacted struct{ Sent time.Time }

// RevisionsReceived reports the revisions that a peer has in effect.
type RevisionsReceived struct {
	From      string
	Revisions []Revision
}

// ContactAgeReceived reports the age of the latest platform contact that a peer knows of. Sent is when this VM sent the request
// that the peer answered. For an unsolicited message it is the time of receipt. Such a message may be old when it is read, which
// can delay this VM's own call to the platform by up to StaleAfter.
type ContactAgeReceived struct {
	Sent time.Time
	Age  time.Duration
}

// ValuesFetched answers FetchValues.
type ValuesFetched struct {
	Call  CallID
	Items []StoredValue
}

// FetchFailed reports that a FetchValues got no answer or that the peer has no complete table.
type FetchFailed struct{ Call CallID }

// ValueWritten reports a value that this VM wrote to the platform.
type ValueWritten struct{ Item StoredValue }

func (Ticked) isEvent()             {}
func (MembersChanged) isEvent()     {}
func (TableRead) isEvent()          {}
func (WatchAnswered) isEvent()      {}
func (PlatformCallFailed) isEvent() {}
func (PlatformContacted) isEvent()  {}
func (RevisionsReceived) isEvent()  {}
func (ContactAgeReceived) isEvent() {}
func (ValuesFetched) isEvent()      {}
func (FetchFailed) isEvent()        {}
func (ValueWritten) isEvent()       {}
