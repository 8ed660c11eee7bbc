package tracker

import (
	"net/netip"
	"time"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/protocol/exchanger"
)

// entryRole is the role of an entry VM in the platform's VM list.
const entryRole = "entry"

// State is the state of a VM in the view of another VM.
type State int

// The states of a VM. A gone VM is kept for goneRetention, so that an old record does not bring it back.
const (
	Live    State = iota // live
	Suspect              // suspect
	Leaving              // leaving
	Gone                 // gone
)

// Record is what a VM announces about itself. Incarnation 0 means that the VM is only known from the VM list.
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

// brief returns a brief record, which leaves out the fields that don't change during an incarnation.
func (r *Record) brief() Record {
	return Record{ID: r.ID, Incarnation: r.Incarnation, Heartbeat: r.Heartbeat, Ready: r.Ready, Leaving: r.Leaving}
}

func (r *Record) isBrief() bool { return !r.PeerAddress.IsValid() }

// Message returns the message form of the record.
func (r *Record) Message() *exchanger.VM {
	return &exchanger.VM{
		Id: r.ID, FailureDomain: r.FailureDomain, PeerAddress: formatAddress(r.PeerAddress), CallerAddress: formatAddress(r.CallerAddress),
		Incarnation: r.Incarnation, Heartbeat: r.Heartbeat, Ready: r.Ready, Leaving: r.Leaving,
	}
}

// RecordFromMessage returns the record of a peer's message; without a peer address it is a brief record. It returns false when the
// ID or the incarnation is missing or the peer address is malformed.
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

// EntryVMsFromList returns the entry VMs of the platform's VM list. The address of a listed entry VM is its peer address. A VM with
// a malformed address is kept, because it counts for the admission of starting VMs.
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

// Member is one VM in the view of another.
type Member struct {
	Record Record
	State  State
}

// entry is the state of one VM in the view.
type entry struct {
	record                   Record
	state                    State
	lastHeartbeat            time.Time // when the heartbeat last increased, or when the VM was first listed
	stateSince               time.Time
	isListed                 bool   // in the latest VM list
	isUnlisted               bool   // missing from a VM list that arrived while the VM was silent
	hasLeft                  bool   // the VM announced that it leaves, or the platform says that it leaves or does not exist
	isListedLeaving          bool   // the latest VM list that has the VM says that it leaves
	listedLeavingIncarnation uint64 // incarnation to which isListedLeaving applies
	hasFullRecord            bool   // a full record of the incarnation was received
	lastFullMessage          uint64 // number of the last message with the full record
	lastMessage              uint64 // number of the last message with the heartbeat
	urgentMessages           int    // number of further messages in which the record precedes the others
}

// accepts reports whether a record can be merged. A brief record needs a full one of its incarnation or an entry from the VM list.
func (e *entry) accepts(r *Record) bool {
	return !r.isBrief() || e.record.PeerAddress.IsValid() && (e.record.Incarnation == r.Incarnation || e.record.Incarnation == 0)
}

// merge updates the entry with what is newer in a received record.
func (e *entry) merge(now time.Time, r Record) {
	old := e.record
	switch {
	case r.Incarnation < old.Incarnation:
		return
	case r.Incarnation > old.Incarnation:
		e.record, e.hasFullRecord, e.urgentMessages = r, !r.isBrief(), maxUrgentMessages
		if r.isBrief() { // the addresses are known from the VM list
			e.record.FailureDomain, e.record.PeerAddress = old.FailureDomain, old.PeerAddress
		}
	default:
		if !r.isBrief() && !e.hasFullRecord {
			e.record.FailureDomain, e.record.PeerAddress, e.record.CallerAddress = r.FailureDomain, r.PeerAddress, r.CallerAddress
			e.hasFullRecord = true
		}
		startsLeaving := r.Leaving && !old.Leaving
		if r.Heartbeat <= old.Heartbeat && !startsLeaving {
			return
		}
		if r.Heartbeat > old.Heartbeat {
			e.record.Heartbeat, e.record.Ready = r.Heartbeat, r.Ready
		}
		// Leaving is final for an incarnation, in whatever order the records arrive.
		e.record.Leaving = old.Leaving || r.Leaving
		if startsLeaving {
			e.urgentMessages = maxUrgentMessages
		}
	}
	e.lastHeartbeat, e.isUnlisted = now, false
}
