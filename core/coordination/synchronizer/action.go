package synchronizer

import (
	"time"

	"comfreyroute/core/state/tabler"
)

// Action is an operation that the caller of Machine.Step performs.
type Action interface{ isAction() }

// ReadTable reads every key of the table from the platform.
type ReadTable struct{ Call CallID }

// WatchTable requests the changes of the table after a revision from the platform, which waits for up to Wait if there are none.
// With a wait of 0 it answers at once.
type WatchTable struct {
	Call  CallID
	After uint64
	Wait  time.Duration
}

// FetchValues requests the values of some services from a peer, or the whole table when Services is empty.
type FetchValues struct {
	Call     CallID
	From     string
	Services []string
}

// ApplyTable puts a new table into effect.
type ApplyTable struct{ Table *tabler.Snapshot }

// PushRevisions sends peers the revisions that are now in effect on this VM.
type PushRevisions struct {
	To        []string
	Revisions []Revision
}

// RejectValue reports an invalid value that is not put into effect.
type RejectValue struct {
	Service  string
	Revision uint64
	Err      error
}

func (ReadTable) isAction()     {}
func (WatchTable) isAction()    {}
func (FetchValues) isAction()   {}
func (ApplyTable) isAction()    {}
func (PushRevisions) isAction() {}
func (RejectValue) isAction()   {}
