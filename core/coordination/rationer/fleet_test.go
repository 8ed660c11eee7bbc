package rationer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const step = 10 * time.Millisecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a model of VMs that ask each other for grants. Messages take up to AskTimeout and can be lost; VMs stop, start again, freeze and
// are cut from the others.
type fleet struct {
	random   *rand.Rand
	terms    Terms
	limits   map[string]Limit
	now      time.Time
	vms      []*vm
	messages []message
	admitted map[string][]time.Time
	asked    int // requests that came
	refused  int // of these

	splitUntil time.Time // until then, the two sides do not reach each other
}

type vm struct {
	name      string
	holder    Holder
	granter   Granter
	waiting   map[string][]time.Time // arrivals
	awayUntil time.Time              // stopped or frozen
	cutUntil  time.Time
	side      bool // of the fleet while it is split
	starts    int
	frozen    bool // until awayUntil, not stopped
	dark      bool // until awayUntil, without power
}

// message is an ask on its way, or its answer on its way back. A failed one has no offer.
type message struct {
	at       time.Time
	from, to *vm
	starts   int // of the asking VM
	toStarts int // of the asked VM, for an orphaned ask
	ask      Ask
	offer    *Offer
	failed   bool
	unsent   bool
	probe    bool
	orphaned bool // nobody waits for the answer
}

func newFleet(seed uint64, n int, terms Terms, limits map[string]Limit) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), terms: terms, limits: limits, now: epoch, admitted: map[string][]time.Time{}}
	for i := range n {
		f.vms = append(f.vms, &vm{name: fmt.Sprintf("vm%03d", i)})
	}
	for _, v := range f.vms {
		f.start(v)
	}
	return f
}

// start lets a VM start with nothing in memory.
func (f *fleet) start(v *vm) {
	v.starts++
	v.frozen, v.dark = false, false
	v.holder, v.granter, v.waiting = Holder{Self: v.name, Terms: f.terms}, Granter{Terms: f.terms}, map[string][]time.Time{}
	all := f.members()
	v.holder.SetMembers(all)
	v.holder.SetLimits(f.limits)
	v.granter.SetFleet(f.now, len(all))
	v.granter.SetLimits(f.now, f.limits)
}

func (f *fleet) members() []Member {
	all := make([]Member, 0, len(f.vms))
	for _, v := range f.vms {
		all = append(all, Member{Name: v.name})
	}
	return all
}

func (f *fleet) away(v *vm) bool { return f.now.Before(v.awayUntil) }

func (f *fleet) cut(a, b *vm) bool {
	return a != b && (f.now.Before(a.cutUntil) || f.now.Before(b.cutUntil) || f.now.Before(f.splitUntil) && a.side != b.side)
}

// arrive lets a request come to a VM.
func (f *fleet) arrive(v *vm, customer string) {
	if f.away(v) {
		return
	}
	f.asked++
	switch v.holder.Admit(f.now, customer) {
	case Granted:
		f.admitted[customer] = append(f.admitted[customer], f.now)
	case Waiting:
		v.waiting[customer] = append(v.waiting[customer], f.now)
	default:
		f.refused++
	}
}

// tick lets the time of one step pass.
func (f *fleet) tick(patience time.Duration) {
	f.now = f.now.Add(step)
	due := slices.DeleteFunc(slices.Clone(f.messages), func(m message) bool { return m.at.After(f.now) })
	f.messages = slices.DeleteFunc(f.messages, func(m message) bool { return !m.at.After(f.now) })
	for _, m := range due {
		f.deliver(m)
	}
	for _, v := range f.vms {
		if f.away(v) {
			continue
		}
		for customer, arrivals := range v.waiting {
			for len(arrivals) > 0 && f.now.Sub(arrivals[0]) > patience {
				arrivals = arrivals[1:]
				f.end(customer, v.holder.GiveUp(f.now, customer))
			}
			v.waiting[customer] = arrivals
		}
		var wants []Want
		for customer, arrivals := range v.waiting {
			if len(arrivals) > 0 {
				wants = append(wants, Want{Customer: customer, Requests: len(arrivals)})
			}
		}
		if q, to, ok := v.holder.Ask(f.now, wants); ok {
			f.send(v, to.Name, q, false)
		}
		if q, to, ok := v.holder.Probe(f.now); ok {
			f.send(v, to.Name, q, true)
		}
	}
}

func (f *fleet) end(customer string, a Admission) {
	if a == Granted {
		f.admitted[customer] = append(f.admitted[customer], f.now)
	} else {
		f.refused++
	}
}

func (f *fleet) send(from *vm, name string, q Ask, probe bool) {
	to := f.vms[slices.IndexFunc(f.vms, func(v *vm) bool { return v.name == name })]
	f.messages = append(f.messages, message{at: f.now.Add(f.delay()), from: from, to: to, starts: from.starts, ask: q, probe: probe})
}

func (f *fleet) delay() time.Duration { return time.Duration(f.random.IntN(20)) * time.Millisecond }

func (f *fleet) deliver(m message) {
	switch {
	case m.orphaned:
		if m.toStarts == m.to.starts {
			m.to.granter.Answer(f.now, m.ask)
		}
	case m.offer == nil && !m.failed && (f.away(m.to) || f.cut(m.from, m.to)):
		m.at, m.failed = f.now.Add(AskTimeout), true
		switch {
		case f.cut(m.from, m.to): // no connection can be opened, or the ask arrives on an old one after the cut
			late := m
			late.at, late.orphaned, late.toStarts = f.now.Add(time.Duration(f.random.IntN(5000))*time.Millisecond), true, m.to.starts
			if m.unsent = f.random.IntN(4) > 0; !m.unsent {
				f.messages = append(f.messages, late)
			}
		case m.to.frozen: // it reads the ask later
			late := m
			late.at, late.orphaned, late.toStarts = m.to.awayUntil, true, m.to.starts
			f.messages = append(f.messages, late)
		default:
			m.unsent = !m.to.dark || f.random.IntN(2) == 0
			if !m.to.dark { // the connection is refused
				m.at = f.now
			}
		}
		f.messages = append(f.messages, m)
	case m.offer == nil && !m.failed:
		o := m.to.granter.Answer(f.now, m.ask)
		m.at, m.offer = f.now.Add(f.delay()), &o
		f.messages = append(f.messages, m)
	case m.from.starts != m.starts: // nobody waits for it any more
	case f.away(m.from):
		m.at = m.from.awayUntil
		f.messages = append(f.messages, m)
	case m.offer != nil && !f.cut(m.from, m.to):
		f.use(m)
	case m.probe:
		m.from.holder.Probed(f.now, false)
	default:
		m.from.holder.Failed(f.now, m.unsent)
	}
}

// use applies an offer at the VM that asked for it.
func (f *fleet) use(m message) {
	if m.probe {
		m.from.holder.Probed(f.now, !m.offer.Released)
		return
	}
	m.from.holder.Offered(f.now, m.offer)
	for _, g := range m.offer.Grants {
		waiting := m.from.waiting[g.Customer]
		n := 0
		for _, w := range m.ask.Wants {
			if w.Customer == g.Customer {
				n = min(w.Requests, len(waiting))
			}
		}
		for i := range n {
			if i < g.Requests {
				f.end(g.Customer, Granted)
			} else {
				f.end(g.Customer, Alone)
			}
		}
		m.from.waiting[g.Customer] = waiting[n:]
	}
}

// worstExcess returns by how much the requests of a customer exceed the bound in the worst window.
func (f *fleet) worstExcess(customer string) float64 {
	l, times := f.limits[customer], f.admitted[customer]
	bound := (l.Rate*f.terms.window().Seconds()+l.Burst)*(1+f.terms.Overage) + f.terms.Slack
	worst, first := -bound, 0
	for last, at := range times {
		for at.Sub(times[first]) > f.terms.window() {
			first++
		}
		worst = max(worst, float64(last-first+1)-bound)
	}
	return worst
}

// TestRateOverFleet guards against a fleet that serves more requests of a customer than its rate allows in any window, whatever VMs stop,
// freeze, are cut from each other or start again together, and however much the customer sends.
func TestRateOverFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 60).Draw(t, "rate")
		limits := map[string]Limit{"acme": {Rate: rate, Burst: rapid.Float64Range(0, 2*rate).Draw(t, "burst")}}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 40).Draw(t, "vms"), Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, limits)
		load := rapid.Float64Range(0.2, 8).Draw(t, "load") * rate
		pauses := rapid.Bool().Draw(t, "pauses")
		end := epoch.Add(time.Duration(rapid.IntRange(5, 25).Draw(t, "seconds")) * time.Second)
		for f.now.Before(end) {
			if !pauses || f.now.Sub(epoch)%(8*time.Second) > 4*time.Second {
				for range poisson(f.random, load*step.Seconds()) {
					f.arrive(f.vms[f.random.IntN(len(f.vms))], "acme")
				}
			}
			if f.random.IntN(150) == 0 {
				f.disturb()
			}
			f.tick(150 * time.Millisecond)
		}
		if excess := f.worstExcess("acme"); excess > 0 {
			t.Fatalf("a window has %.1f requests more than allowed, at %v a second with %v sent by %d VMs", excess, limits["acme"], load, len(f.vms))
		}
	})
}

// kill ends a VM for some time. The others notice that its connections close, unless it has lost its power.
func (f *fleet) kill(v *vm, lasts time.Duration, dark bool) {
	f.start(v)
	v.awayUntil, v.dark = f.now.Add(lasts), dark
	for _, other := range f.vms {
		if !dark && !f.cut(v, other) && !f.away(other) {
			other.holder.Disconnected(f.now, v.name)
		}
	}
}

// disturb does something to a random part of the VMs.
func (f *fleet) disturb() {
	share, lasts, kind := f.random.Float64(), time.Duration(f.random.IntN(6000))*time.Millisecond, f.random.IntN(6)
	if kind == 5 {
		f.splitUntil = f.now.Add(lasts)
	}
	for _, v := range f.vms {
		if kind == 5 {
			v.side = f.random.Float64() < share
		}
		if f.random.Float64() > share {
			continue
		}
		switch kind {
		case 4: // stops as planned
			v.granter.Stop()
		case 0:
			v.cutUntil = f.now.Add(lasts)
		case 1: // frozen
			v.awayUntil, v.frozen = f.now.Add(lasts/2), true
		case 2: // killed; clients of its listener find it again after a moment
			f.kill(v, lasts/3, f.random.IntN(2) == 0)
		case 3:
			f.start(v)
		}
	}
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for t := r.ExpFloat64(); t < mean; t += r.ExpFloat64() {
		n++
	}
	return n
}

// TestShareBelowRate guards against refusing requests below the rate of a customer: 83 customers of unequal size, whose callers send to 82 VMs at
// random, in calm and while the granter is stopped as planned, is killed, or loses its power, and starts again. Only a loss of power takes time to notice.
func TestShareBelowRate(t *testing.T) {
	const vms, customers, headroom, total = 82, 83, 1.6, 120.0
	limits, load, sum := map[string]Limit{}, make([]float64, customers), 0.0
	for i := range load {
		load[i] = 1 / float64(i+1)
		sum += load[i]
	}
	for i := range load {
		load[i] *= total / sum
		rate := max(1, headroom*load[i])
		limits[fmt.Sprint("c", i)] = Limit{Rate: rate, Burst: rate}
	}
	for _, c := range []struct {
		name                     string
		stop, forget, kill, dark bool
		notice                   time.Duration
	}{
		{name: "calm"}, {name: "granter stops and returns", stop: true}, {name: "the store forgets the VMs for a while", forget: true},
		{name: "granter is killed", kill: true}, {name: "granter loses its power", kill: true, dark: true, notice: 500 * time.Millisecond},
	} {

		f := newFleet(3, vms, Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, limits)
		best := f.vms[slices.IndexFunc(f.vms, func(v *vm) bool { return v.name == f.vms[0].holder.ranked[0].Name })]
		for f.now.Before(epoch.Add(30 * time.Second)) {
			at := f.now.Sub(epoch)
			for i := range load {
				for range poisson(f.random, load[i]*step.Seconds()) {
					if at > 2*time.Second {
						f.arrive(f.vms[f.random.IntN(vms)], fmt.Sprint("c", i))
					}
				}
			}
			switch {
			case c.stop && at == 10*time.Second:
				best.granter.Stop()
			case c.forget && at == 10*time.Second:
				for _, v := range f.vms {
					v.holder.SetMembers(nil)
				}
			case c.forget && at == 14*time.Second:
				for _, v := range f.vms {
					v.holder.SetMembers(f.members())
				}
			case c.stop && at == 13*time.Second, c.kill && at == 10*time.Second:
				f.kill(best, 2*time.Second, c.dark)
			}
			f.tick(150 * time.Millisecond)
		}
		t.Logf("%s: %d of %d refused", c.name, f.refused, f.asked)
		if most := float64(f.asked)/100 + total*c.notice.Seconds(); float64(f.refused) > most {
			t.Errorf("%s: %d of %d requests below the rates are refused, want %.0f at most", c.name, f.refused, f.asked, most)
		}
	}
}

// TestDarkGranters guards against VMs that ask the best-ranked VMs again and again and find no granter, while these have lost their power and are still
// listed.
func TestDarkGranters(t *testing.T) {
	const vms, dark, found = 82, 20, 8 * time.Second
	f := newFleet(3, vms, Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, map[string]Limit{"acme": {Rate: 60, Burst: 60}})
	for f.now.Before(epoch.Add(30 * time.Second)) {
		for range poisson(f.random, 30*step.Seconds()) {
			f.arrive(f.vms[f.random.IntN(vms)], "acme")
		}
		switch f.now.Sub(epoch) {
		case 5 * time.Second:
			for _, m := range f.vms[0].holder.ranked[:dark] {
				f.vms[slices.IndexFunc(f.vms, func(v *vm) bool { return v.name == m.Name })].awayUntil = f.now.Add(time.Hour)
			}
		case 5*time.Second + found:
			f.asked, f.refused = 0, 0
		}
		f.tick(150 * time.Millisecond)
	}
	t.Logf("%d of %d refused", f.refused, f.asked)
	if f.refused*100 > f.asked {
		t.Errorf("%v after %d of %d VMs went dark, %d of %d requests below the rate are refused, want one in a hundred at most", found, dark, vms, f.refused, f.asked)
	}
}

// TestOwnShare guards against a VM that is cut off from all others and does not use its own share, and against one that uses more.
func TestOwnShare(t *testing.T) {
	const vms, share, lasts = 40, 10, 20
	f := newFleet(3, vms, Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, map[string]Limit{"acme": {Rate: vms * share, Burst: vms * share}})
	alone := f.vms[0]
	for f.now.Before(epoch.Add((5 + lasts) * time.Second)) {
		if at := f.now.Sub(epoch); at == 5*time.Second {
			alone.cutUntil = epoch.Add(time.Hour)
		} else if at > 5*time.Second && at%(time.Second/share/2) == 0 {
			f.arrive(alone, "acme")
		}
		f.tick(150 * time.Millisecond)
	}
	if got := float64(len(f.admitted["acme"])) / (share * lasts); got < 0.9 || got > 1.1 {
		t.Errorf("a VM without a granter serves %.2f of its share", got)
	}
}
