package router

import (
	"net/netip"
	"time"

	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/selector"
)

const (
	// slotBits is the number of low bits of an attempt id that hold its slot in the table of attempts; the other bits hold a
	// sequence number. A VM that starts 310,000 attempts/s (section 1.7 of the design page) exhausts the sequence numbers only
	// after more than 600 days.
	slotBits = 20
	slotMask = 1<<slotBits - 1
	// reapDelay is how long after its deadline an attempt waits for the transport to report its end. It only limits the effect
	// of a lost report on the in-flight count.
	reapDelay = 500 * time.Millisecond
)

// attempt is one attempt of a sub-request, from its Send until the transport reports its end.
type attempt struct {
	id          AttemptID // 0 for a free slot
	request     *request  // nil once the reply is no longer needed
	service     *service
	subIndex    int
	upstream    int // index in the set of the service, -1 after a table change removed it
	group       int // group of the upstream, for its wait queue
	name        string
	address     netip.AddrPort
	incarnation uint64
	sent        time.Time
	deadline    time.Time
	hedge       bool
	cancelled   bool
}

// upstreamIndex returns the index of the upstream, or -1 if the table does not contain it. It also finds an upstream that was
// removed and added again with the same address.
func (a *attempt) upstreamIndex() int {
	if a.upstream >= 0 {
		return a.upstream
	}
	i, ok := a.service.set.Index(a.name)
	if !ok || a.service.set.At(i).Row.Address != a.address {
		return -1
	}
	return i
}

// attempts is the table of attempts in flight. The low bits of an id are its slot, so a lookup needs no map.
type attempts struct {
	slots    []attempt
	free     []int
	sequence uint64
}

// add returns the slot of a new attempt. The pointer is valid until the next call of add.
func (t *attempts) add() *attempt {
	k := len(t.slots)
	if n := len(t.free); n > 0 {
		k = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		if k > slotMask {
			panic("router: more attempts are in flight than ids allow")
		}
		t.slots = append(t.slots, attempt{})
	}
	t.sequence++
	a := &t.slots[k]
	a.id = AttemptID(t.sequence<<slotBits | uint64(k))
	return a
}

func (t *attempts) isFull() bool { return len(t.free) == 0 && len(t.slots) > slotMask }

func (t *attempts) find(id AttemptID) *attempt {
	k := int(id & slotMask)
	if id == 0 || k >= len(t.slots) || t.slots[k].id != id {
		return nil
	}
	return &t.slots[k]
}

// remove frees the slot of an attempt and returns a copy of the attempt.
func (t *attempts) remove(a *attempt) attempt {
	k := int(a.id & slotMask)
	out := *a
	*a = attempt{}
	t.free = append(t.free, k)
	return out
}

// endAttempt removes an attempt whose end the transport reported and frees its in-flight place at the upstream.
func (m *Machine) endAttempt(now time.Time, a *attempt, kind selector.ResultKind, end quarantiner.EndKind) attempt {
	out := m.attempts.remove(a)
	m.recordEnded(now, &out, end)
	if out.upstream >= 0 {
		out.service.set.RecordResult(now, out.upstream, selector.Result{Latency: now.Sub(out.sent), Kind: kind})
	}
	if r := out.request; r != nil {
		r.subs[out.subIndex].inFlight.Remove(out.id)
	}
	return out
}

// cancelAttempt informs the transport that the reply of an attempt is no longer needed. The attempt stays in the table until
// the transport reports its end, because it still occupies its connection.
func (m *Machine) cancelAttempt(now time.Time, id AttemptID) {
	a := m.attempts.find(id)
	if a == nil || a.cancelled {
		return
	}
	a.cancelled = true
	a.request = nil
	// The elapsed time is a lower bound of the latency of a cancelled attempt. If only completed attempts counted, the hedge
	// delay would decrease with each hedge that replies first.
	a.service.latencies.Add(now, now.Sub(a.sent))
	m.emit(Cancel{Attempt: id, Upstream: a.name})
}

// reapAttempts ends the attempts whose end was not reported within reapDelay after their deadline.
func (m *Machine) reapAttempts(now time.Time) {
	for k := range m.attempts.slots {
		a := &m.attempts.slots[k]
		if a.id == 0 || now.Before(a.deadline.Add(reapDelay)) {
			continue
		}
		m.stats.Reaped++
		out := m.endAttempt(now, a, selector.Unattributed, quarantiner.EndOther)
		if out.request != nil {
			m.processFailure(now, &out, failure{reason: reasonTimeout, possiblyRun: true})
		}
		m.scheduleWaitQueue(out.service, out.group)
	}
}
