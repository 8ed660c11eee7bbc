package tracker

import (
	"net/netip"
	"time"
)

// Event is something that happened outside the machine.
type Event interface{ isEvent() }

// Ticked lets the machine check its time limits. It arrives at least every TickInterval.
type Ticked struct{}

// VMsListed brings the entry VMs of the platform's VM list, read with a call that was sent at Sent.
type VMsListed struct {
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

// RecordsReceived brings the sender's own record, first, and a part of its view.
type RecordsReceived struct{ Records []Record }

// ExchangeAnswered tells that a peer answered an exchange that this VM sent at Sent. The records of the answer come in Heard.
type ExchangeAnswered struct {
	Peer string
	Sent time.Time
}

// ExchangeFailed tells that a peer did not answer an exchange.
type ExchangeFailed struct{ Peer string }

// PlatformContacted tells that the platform answered a call of this VM that was sent at Sent.
type PlatformContacted struct{ Sent time.Time }

// FleetMaxChanged brings the fleet row's bound of entry VMs.
type FleetMaxChanged struct{ FleetMax int }

// ReadyChanged tells what the VM announces about itself.
type ReadyChanged struct{ Ready bool }

// ShutdownStarted tells that this VM shuts down.
type ShutdownStarted struct{}

func (Ticked) isEvent()            {}
func (VMsListed) isEvent()         {}
func (RecordsReceived) isEvent()   {}
func (ExchangeAnswered) isEvent()  {}
func (ExchangeFailed) isEvent()    {}
func (PlatformContacted) isEvent() {}
func (FleetMaxChanged) isEvent()   {}
func (ReadyChanged) isEvent()      {}
func (ShutdownStarted) isEvent()   {}

// Action is something that the daemon does for the machine.
type Action interface{ isAction() }

// StartExchange sends a heartbeat to a peer. The daemon fills the message with Records at the moment of sending.
type StartExchange struct{ To Record }

// ViewChanged brings the VMs that are not gone, without the own VM, in order of their ids.
type ViewChanged struct{ Members []Member }

// Superseded reports that another process uses this VM's id with a higher incarnation.
type Superseded struct{ Record Record }

func (StartExchange) isAction() {}
func (ViewChanged) isAction()   {}
func (Superseded) isAction()    {}
