package router

import (
	"net/netip"
	"time"

	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/selector"
)

const (
	// slotBits is the part of an attempt id that is its place in the table of attempts; the rest is a sequence number. A VM
	// that starts 310,000 attempts/s (1.7 of the design page) uses the sequence numbers up after more than 600 days.
	slotBits = 20
	slotMask = 1<<slotBits - 1
	// reapGrace is how long after its deadline an attempt waits for the transport to report its end. It only bounds the
	// effect of a lost report on the in-flight count.
	reapGrace = 500 * time.Millisecond
)

// attempt is one sub-request at one upstream until the transport reports its end.
type attempt struct {
	id          AttemptID // 0 for a free place
	request     *request  // nil once nothing waits for the reply
	service     *service
	sub         int
	upstream    int // index in the service's set, -1 after a table change removed it
	group       int // of the upstream, for its wait queue
	name        string
	address     netip.AddrPort
	incarnation uint64
	sent        time.Time
	deadline    time.Time
	hedge       bool
	cancelled   bool
}

// locate returns the index of the upstream, also when a table change removed it and another one added it again.
func (a *attempt) locate() int {
	if a.upstream >= 0 {
		return a.upstream
	}
	i, ok := a.service.set.Index(a.name)
	if !ok || a.service.set.At(i).Row.Address != a.address {
		return -1
	}
	return i
}

// attempts is the table of attempts in flight. A place is found by the low bits of the id, without a map.
type attempts struct {
	places   []attempt
	free     []int
	sequence uint64
}

// add returns the place of a new attempt. The pointer is valid until the next add.
func (t *attempts) add() *attempt {
	k := len(t.places)
	if n := len(t.free); n > 0 {
		k = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		if k > slotMask {
			panic("router: more attempts are in flight than ids allow")
		}
		t.places = append(t.places, attempt{})
	}
	t.sequence++
	a := &t.places[k]
	a.id = AttemptID(t.sequence<<slotBits | uint64(k))
	return a
}

func (t *attempts) full() bool { return len(t.free) == 0 && len(t.places) > slotMask }

func (t *attempts) find(id AttemptID) *attempt {
	k := int(id & slotMask)
	if id == 0 || k >= len(t.places) || t.places[k].id != id {
		return nil
	}
	return &t.places[k]
}

// remove frees the place and returns what it held.
func (t *attempts) remove(a *attempt) attempt {
	k := int(a.id & slotMask)
	out := *a
	*a = attempt{}
	t.free = append(t.free, k)
	return out
}

// end removes an attempt whose end the transport reported and frees its in-flight place at the upstream.
func (m *Machine) end(now time.Time, a *attempt, kind selector.ResultKind, how quarantiner.EndKind) attempt {
	out := m.attempts.remove(a)
	m.ended(now, &out, how)
	if out.upstream >= 0 {
		out.service.set.RecordResult(now, out.upstream, selector.Result{Latency: now.Sub(out.sent), Kind: kind})
	}
	if r := out.request; r != nil {
		r.subs[out.sub].live.Remove(out.id)
	}
	return out
}

// cancel tells the transport that the reply of an attempt is no longer needed. The attempt stays in the table until the
// transport reports its end, because it still uses its connection.
func (m *Machine) cancel(now time.Time, id AttemptID) {
	a := m.attempts.find(id)
	if a == nil || a.cancelled {
		return
	}
	a.cancelled = true
	a.request = nil
	// The loser's time so far is a lower bound of its latency. Without it only winners would count, and the hedge delay
	// would fall with each hedge that wins.
	a.service.latencies.Add(now, now.Sub(a.sent))
	m.emit(Cancel{Attempt: id, Upstream: a.name})
}

// reap frees the attempts whose end was not reported long after their deadline.
func (m *Machine) reap(now time.Time) {
	for k := range m.attempts.places {
		a := &m.attempts.places[k]
		if a.id == 0 || now.Before(a.deadline.Add(reapGrace)) {
			continue
		}
		m.stats.Reaped++
		out := m.end(now, a, selector.Unattributed, quarantiner.EndOther)
		if out.request != nil {
			m.failed(now, &out, failure{reason: reasonTimeout, possiblyRun: true})
		}
		m.drain(out.service, out.group)
	}
}
