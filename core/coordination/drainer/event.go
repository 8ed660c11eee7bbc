package drainer

// Work lists the ids of the work in flight on this VM. Tickets are running ticketed calls; an issued but unused ticket is not
// work, because it never runs once its VM has stopped. Claims are held claims without a recorded outcome.
type Work struct {
	Requests []string
	Tickets  []string
	Claims   []string
}

// Empty reports whether nothing is in flight.
func (w Work) Empty() bool { return len(w.Requests)+len(w.Tickets)+len(w.Claims) == 0 }

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Signalled reports that the process received a termination signal.
type Signalled struct{}

// Ticked makes the machine check its time limits. After the first signal it must occur at least every TickInterval.
type Ticked struct{}

// AdmissionClosed reports that CloseAdmission was executed: every later request is rejected.
type AdmissionClosed struct{}

// WorkCounted carries the work that is currently in flight.
type WorkCounted struct{ Work Work }

// PeersNotified reports that every peer was notified or that the attempt to notify them ended.
type PeersNotified struct{}

func (Signalled) isEvent()       {}
func (Ticked) isEvent()          {}
func (AdmissionClosed) isEvent() {}
func (WorkCounted) isEvent()     {}
func (PeersNotified) isEvent()   {}

// Action is an operation that the caller of Machine.Step performs.
type Action interface{ isAction() }

// MarkUnready makes the readiness check fail and announces to the peers, with the next heartbeats, that the VM is leaving.
type MarkUnready struct{}

// CloseAdmission rejects new requests with "not run" from now on. AdmissionClosed confirms it.
type CloseAdmission struct{}

// NotifyPeers notifies all peers that the VM is stopping. PeersNotified confirms it.
type NotifyPeers struct{}

// Exit ends the process: with status 0 if Reason is empty, otherwise with status 1 and a log line that lists Unfinished.
type Exit struct {
	Reason     string
	Unfinished Work
}

func (MarkUnready) isAction()    {}
func (CloseAdmission) isAction() {}
func (NotifyPeers) isAction()    {}
func (Exit) isAction()           {}
