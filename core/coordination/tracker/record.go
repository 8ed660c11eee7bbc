package tracker

import (
	"net/netip"
	"time"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/protocol/exchanger"
)

// entryRole is the role of an entry VM in the platform's VM list.
const entryRole = "entry"

// State is the state of a VM in the view of another.
type State int

// The states of a VM. A gone VM is remembered for a while, so that an old record does not bring it back.
const (
	Live    State = iota // live
	Suspect              // suspect
	Leaving              // leaving
	Gone                 // gone
)

// Record is one VM as it announces itself. Incarnation 0 belongs to a VM that is only known from the VM list.
type Record struct {
	ID            string
	FailureDomain string
	PeerAddress   netip.AddrPort
	CallerAddress netip.AddrPort
	Incarnation   uint64
	Heartbeat     uint64
	Ready         bool
	Leaving       bool
}

// brief returns the record without what does not change during an incarnation.
func (r *Record) brief() Record {
	return Record{ID: r.ID, Incarnation: r.Incarnation, Heartbeat: r.Heartbeat, Ready: r.Ready, Leaving: r.Leaving}
}

func (r *Record) isBrief() bool { return !r.PeerAddress.IsValid() }

// Message returns the record as peers receive it.
func (r *Record) Message() *exchanger.VM {
	return &exchanger.VM{
		Id: r.ID, FailureDomain: r.FailureDomain, PeerAddress: formatAddress(r.PeerAddress), CallerAddress: formatAddress(r.CallerAddress),
		Incarnation: r.Incarnation, Heartbeat: r.Heartbeat, Ready: r.Ready, Leaving: r.Leaving,
	}
}

// RecordFromMessage returns the record of a peer's message; without a peer address it is a brief record. It reports false for a
// record without id or incarnation, or with an address that cannot be read.
func RecordFromMessage(vm *exchanger.VM) (Record, bool) {
	peer, err := netip.ParseAddrPort(vm.GetPeerAddress())
	if vm.GetPeerAddress() == "" {
		err = nil
	}
	caller, _ := netip.ParseAddrPort(vm.GetCallerAddress())
	r := Record{
		ID: vm.GetId(), FailureDomain: vm.GetFailureDomain(), PeerAddress: peer, CallerAddress: caller,
		Incarnation: vm.GetIncarnation(), Heartbeat: vm.GetHeartbeat(), Ready: vm.GetReady(), Leaving: vm.GetLeaving(),
	}
	return r, err == nil && r.ID != "" && r.Incarnation > 0
}

// EntryVMsFromList returns the entry VMs of the platform's VM list. The address of a listed entry VM is its peer address; a VM whose
// address cannot be read is kept, because it counts for the start gate.
func EntryVMsFromList(list encoder.VMList) []ListedVM {
	var vms []ListedVM
	for _, v := range list.VMs {
		if v.Role != entryRole {
			continue
		}
		address, _ := netip.ParseAddrPort(v.Address)
		vms = append(vms, ListedVM{v.Name, v.FailureDomain, address, v.State == encoder.VMLeaving})
	}
	return vms
}

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// Member is one VM in the view.
type Member struct {
	Record Record
	State  State
}

// entry is what the view holds about one VM.
type entry struct {
	record   Record
	state    State
	heard    time.Time // when the heartbeat last rose, or when the VM was first listed
	since    time.Time // when the state was entered
	listed   bool      // in the latest VM list
	dropped  bool      // a VM list that was read while it was silent does not have it
	left     bool      // it said that it is leaving, or the platform says that it is leaving or does not exist
	listLeft bool      // the list says leaving for the incarnation listSeen
	listSeen uint64
	whole    bool   // a whole record of the incarnation was heard
	sent     uint64 // number of the last message that carried the whole record
	told     uint64 // number of the last message that carried the heartbeat
	urgent   int    // messages that shall still carry the record first
}

// accepts reports whether a record can be merged: a brief one needs a whole one of its incarnation or an entry of the VM list.
func (e *entry) accepts(r *Record) bool {
	return !r.isBrief() || e.record.PeerAddress.IsValid() && (e.record.Incarnation == r.Incarnation || e.record.Incarnation == 0)
}

// merge takes what is newer in a heard record.
func (e *entry) merge(now time.Time, r Record) {
	old := e.record
	switch {
	case r.Incarnation < old.Incarnation:
		return
	case r.Incarnation > old.Incarnation:
		e.record, e.whole, e.urgent = r, !r.isBrief(), urgentMessages
		if r.isBrief() { // of a listed VM
			e.record.FailureDomain, e.record.PeerAddress = old.FailureDomain, old.PeerAddress
		}
	default:
		if !r.isBrief() && !e.whole {
			e.record.FailureDomain, e.record.PeerAddress, e.record.CallerAddress = r.FailureDomain, r.PeerAddress, r.CallerAddress
			e.whole = true
		}
		leaving := r.Leaving && !old.Leaving
		if r.Heartbeat <= old.Heartbeat && !leaving {
			return
		}
		if r.Heartbeat > old.Heartbeat {
			e.record.Heartbeat, e.record.Ready = r.Heartbeat, r.Ready
		}
		// Leaving is final for an incarnation, whatever order the records arrive in.
		e.record.Leaving = old.Leaving || r.Leaving
		if leaving {
			e.urgent = urgentMessages
		}
	}
	e.heard, e.dropped = now, false
}
