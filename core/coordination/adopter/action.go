package adopter

import (
	"time"

	"comfreyroute/core/state/tabler"
)

// Action is something that the daemon does for the machine.
type Action interface{ isAction() }

// ReadTable reads every key of the table from the platform.
type ReadTable struct{ Call CallID }

// Watch asks the platform for the changes of the table after a revision and lets it wait for one. A wait of 0 asks for the
// changes that there are.
type Watch struct {
	Call  CallID
	After uint64
	Wait  time.Duration
}

// Fetch asks a peer for the values of some services, or for the whole table when Services is empty.
type Fetch struct {
	Call     CallID
	From     string
	Services []string
}

// Adopt puts a new table into effect.
type Adopt struct{ Table *tabler.Snapshot }

// Push tells peers about revisions that are now in effect here.
type Push struct {
	To        []string
	Revisions []Revision
}

// Refuse reports a value that is not put into effect.
type Refuse struct {
	Service  string
	Revision uint64
	Err      error
}

func (ReadTable) isAction() {}
func (Watch) isAction()     {}
func (Fetch) isAction()     {}
func (Adopt) isAction()     {}
func (Push) isAction()      {}
func (Refuse) isAction()    {}
