package tracker

import (
	"net/netip"
	"time"
)

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Ticked makes the machine check its time limits. It arrives at least every TickInterval.
type Ticked struct{}

// VMsListed reports the entry VMs of the platform's VM list, which was read by a call sent at Sent.
type VMsListed struct {
	VMs  []ListedVM
	Sent time.Time
}

// ListedVM is one entry VM of the platform's list. The list holds no incarnations.
type ListedVM struct {
	ID            string
	FailureDomain string
	PeerAddress   netip.AddrPort
	Leaving       bool
}

// RecordsReceived reports the records of a peer's message: first the one of the sender, then a part of its view.
type RecordsReceived struct{ Records []Record }

// ExchangeAnswered reports that a peer answered an exchange that this VM sent at Sent. RecordsReceived carries the records.
type ExchangeAnswered struct {
	Peer string
	Sent time.Time
}

// ExchangeFailed reports that a peer did not answer an exchange.
type ExchangeFailed struct{ Peer string }

// PlatformContacted reports that the platform answered a call of this VM that was sent at Sent.
type PlatformContacted struct{ Sent time.Time }

// FleetMaxChanged reports the maximum number of entry VMs from the fleet row of the table.
type FleetMaxChanged struct{ FleetMax int }

// ReadyChanged sets the readiness that this VM announces.
type ReadyChanged struct{ Ready bool }

// ShutdownStarted reports that this VM shuts down.
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

// Action is an operation that the caller of Machine.Step performs.
type Action interface{ isAction() }

// StartExchange sends a heartbeat message to a peer. The caller fills it with SelectRecords when it sends the message.
type StartExchange struct{ To Record }

// ViewChanged reports the VMs that are not gone, without this VM, sorted by ID.
type ViewChanged struct{ Members []Member }

// Superseded reports that another process uses this VM's ID with a higher incarnation.
type Superseded struct{ Record Record }

func (StartExchange) isAction() {}
func (ViewChanged) isAction()   {}
func (Superseded) isAction()    {}
