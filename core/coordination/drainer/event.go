package drainer

// Work lists the ids of what is in flight on this VM. Tickets are ticketed calls that are running; an issued ticket that was
// not used is not work, because it never runs after its VM is gone. Claims are claims held without a recorded outcome.
type Work struct {
	Requests []string
	Tickets  []string
	Claims   []string
}

// Empty reports whether nothing is in flight.
func (w Work) Empty() bool { return len(w.Requests)+len(w.Tickets)+len(w.Claims) == 0 }

// Event is something that happened outside the machine.
type Event interface{ isEvent() }

// Signalled tells that the process got a signal to end.
type Signalled struct{}

// Ticked lets the machine check its time limits. It arrives at least every TickInterval from the first signal on.
type Ticked struct{}

// AdmissionClosed tells that RefuseWork was carried out: every request that arrives later is refused.
type AdmissionClosed struct{}

// WorkCounted brings what is in flight at this moment.
type WorkCounted struct{ Work Work }

// PeersNotified tells that every peer was told or that the attempt ended.
type PeersNotified struct{}

func (Signalled) isEvent()       {}
func (Ticked) isEvent()          {}
func (AdmissionClosed) isEvent() {}
func (WorkCounted) isEvent()     {}
func (PeersNotified) isEvent()   {}

// Action is something that the daemon does for the machine.
type Action interface{ isAction() }

// MarkUnready makes the readiness check negative and announces to peers, with the next heartbeats, that the VM is leaving.
type MarkUnready struct{}

// CloseAdmission rejects new requests with "not run" from now on. Refused confirms it.
type CloseAdmission struct{}

// NotifyPeers tells all peers that the VM ends. PeersNotified confirms it.
type NotifyPeers struct{}

// Exit ends the process: with status 0 when Reason is empty, else with status 1 and a log line that names Lost.
type Exit struct {
	Reason     string
	Unfinished Work
}

func (MarkUnready) isAction()    {}
func (CloseAdmission) isAction() {}
func (NotifyPeers) isAction()    {}
func (Exit) isAction()           {}
