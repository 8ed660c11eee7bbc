package tracker

import (
	"net/netip"
	"time"
)

// Event is something that happened outside the machine.
type Event interface{ isEvent() }

// Ticked lets the machine check its time limits. It arrives at least every TickInterval.
type Ticked struct{}

// Listed brings the entry VMs of the platform's VM list, read with a call that was sent at Sent.
type Listed struct {
	VMs  []ListedVM
	Sent time.Time
}

// ListedVM is one entry VM of the platform's list. The list knows no incarnations.
type ListedVM struct {
	ID            string
	FailureDomain string
	PeerAddress   netip.AddrPort
	Leaving       bool
}

// Heard brings the sender's own record, first, and a part of its view.
type Heard struct{ Records []Record }

// Answered tells that a peer answered an exchange that this VM sent at Sent. The records of the answer come in Heard.
type Answered struct {
	Peer string
	Sent time.Time
}

// ExchangeFailed tells that a peer did not answer an exchange.
type ExchangeFailed struct{ Peer string }

// PlatformContacted tells that the platform answered a call of this VM that was sent at Sent.
type PlatformContacted struct{ Sent time.Time }

// TableAdopted brings the fleet row's bound of entry VMs.
type TableAdopted struct{ FleetMax int }

// ReadyChanged tells what the VM announces about itself.
type ReadyChanged struct{ Ready bool }

// LeaveStarted tells that this VM shuts down.
type LeaveStarted struct{}

func (Ticked) isEvent()            {}
func (Listed) isEvent()            {}
func (Heard) isEvent()             {}
func (Answered) isEvent()          {}
func (ExchangeFailed) isEvent()    {}
func (PlatformContacted) isEvent() {}
func (TableAdopted) isEvent()      {}
func (ReadyChanged) isEvent()      {}
func (LeaveStarted) isEvent()      {}

// Action is something that the daemon does for the machine.
type Action interface{ isAction() }

// Exchange sends a heartbeat to a peer. The daemon fills the message with Records at the moment of sending.
type Exchange struct{ To Record }

// ViewChanged brings the VMs that are not gone, without the own VM, in order of their ids.
type ViewChanged struct{ Members []Member }

// Replaced reports that another process uses this VM's id with a higher incarnation.
type Replaced struct{ Record Record }

func (Exchange) isAction()    {}
func (ViewChanged) isAction() {}
func (Replaced) isAction()    {}
