package synchronizer

import "time"

// CallID names one call that the machine asked for, to the platform or to a peer. It is never reused by a machine.
type CallID uint64

// StoredValue is one key of the table as the key-value service holds it. Deleted tells that the key was deleted there.
type StoredValue struct {
	Service  string
	Revision uint64
	Data     []byte
	Deleted  bool
}

// Revision names the revision of one value, without the value.
type Revision struct {
	Service  string
	Revision uint64
}

// Member is one VM that is not known to be gone.
type Member struct {
	ID            string
	FailureDomain string
}

// Event is something that happened outside the machine.
type Event interface{ isEvent() }

// Ticked lets the machine check its time limits. It arrives at least every TickInterval; the first one starts the machine.
type Ticked struct{}

// MembersChanged brings the VM's current view of the other VMs.
type MembersChanged struct{ Members []Member }

// TableRead answers ReadTable: every key of the table, and the store's revision at the read.
type TableRead struct {
	Call     CallID
	Items    []StoredValue
	Revision uint64
}

// WatchAnswered answers Watch: the changes after the requested revision, or none when the wait ended. Compacted tells that
// the platform no longer has them.
type WatchAnswered struct {
	Call      CallID
	Items     []StoredValue
	Revision  uint64
	Compacted bool
}

// PlatformCallFailed tells that a ReadTable or Watch got no answer.
type PlatformCallFailed struct{ Call CallID }

// PlatformContacted tells that the platform answered a call of another concern of this VM, sent at Sent.
type PlatformContacted struct{ Sent time.Time }

// RevisionsReceived brings the revisions that a peer has in effect.
type RevisionsReceived struct {
	From      string
	Revisions []Revision
}

// ContactAgeReceived brings the age of the freshest platform contact that a peer knows of. Sent is when this VM sent the request
// that the peer answered. For a message that this VM did not ask for it is the time of receipt; such a message may be old when
// it is read, which can delay this VM's own contact attempt by up to StaleAfter.
type ContactAgeReceived struct {
	Sent time.Time
	Age  time.Duration
}

// ValuesFetched answers Fetch.
type ValuesFetched struct {
	Call  CallID
	Items []StoredValue
}

// FetchFailed tells that a Fetch got no answer or that the peer has no complete table.
type FetchFailed struct{ Call CallID }

// ValueWritten brings a value that this VM wrote to the platform.
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
