package synchronizer

import (
	"time"

	"comfreyroute/core/state/tabler"
)

// Action is something that the daemon does for the machine.
type Action interface{ isAction() }

// ReadTable reads every key of the table from the platform.
type ReadTable struct{ Call CallID }

// WatchTable asks the platform for the changes of the table after a revision and lets it wait for one. A wait of 0 asks for the
// changes that there are.
type WatchTable struct {
	Call  CallID
	After uint64
	Wait  time.Duration
}

// FetchValues asks a peer for the values of some services, or for the whole table when Services is empty.
type FetchValues struct {
	Call     CallID
	From     string
	Services []string
}

// ApplyTable puts a new table into effect.
type ApplyTable struct{ Table *tabler.Snapshot }

// PushRevisions tells peers about revisions that are now in effect here.
type PushRevisions struct {
	To        []string
	Revisions []Revision
}

// RejectValue reports a value that is not put into effect.
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
