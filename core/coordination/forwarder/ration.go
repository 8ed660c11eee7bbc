package forwarder

import (
	"slices"
	"time"

	"comfreyroute/core/coordination/rationer"
)

// maxGrantWait bounds the wait for a grant. A granter answers within a few milliseconds, or is not reached.
const maxGrantWait = 150 * time.Millisecond

// GrantCounts counts the requests of customers with a rate by what became of them, and the asks for grants.
type GrantCounts struct {
	Granted   uint64 // by a granter
	Alone     uint64 // from the share of this VM
	OverRate  uint64 // refused, because the customer has used up its rate
	Ungranted uint64 // refused, because no granter has answered
	Asks      uint64
	Failed    uint64 // asks without an answer
}

// rationing is the state of the requests that wait for grants. The zero value is usable.
type rationing struct {
	holder  rationer.Holder
	active  bool                  // the manifest limits the rate of a customer
	waiting map[string][]*request // by customer, the most urgent first
	granter string                // of the last GranterChanged action
}

// RateLimits returns the limits of the customers of a manifest, and whether any customer has one.
func (m *Manifest) RateLimits() (limits map[string]rationer.Limit, limited bool) {
	limits = map[string]rationer.Limit{}
	for _, c := range m.Customers.Customers() {
		limits[c.Name] = rationer.Limit{Rate: c.Rate, Burst: c.Burst}
		limited = limited || c.Rate > 0
	}
	return limits, limited
}

// ration takes a request if the rate of its customer allows it. It returns false if the request waits for a grant or was refused. A request of
// another VM has its grant already.
func (m *Machine) ration(now time.Time, r *request) bool {
	if !m.rations.active || r.customer == nil || r.customer.Rate <= 0 || r.detoured != nil {
		return true
	}
	switch m.rations.holder.Admit(now, r.customer.Name) {
	case rationer.Granted:
		m.GrantCounts.Alone++
		return true
	case rationer.Alone:
		m.refuseUngranted(r)
		return false
	}
	r.late = r.comesLate(now)
	r.grantBy = now.Add(min(maxGrantWait, r.waitUntil.Sub(now)))
	if m.rations.waiting == nil {
		m.rations.waiting = map[string][]*request{}
	}
	queue := m.rations.waiting[r.customer.Name]
	at, _ := slices.BinarySearchFunc(queue, r, func(other, r *request) int {
		if other.late != r.late && r.late || other.late == r.late && other.precedes(r) {
			return -1
		}
		return 1
	})
	m.rations.waiting[r.customer.Name] = slices.Insert(queue, at, r)
	m.schedule(now, r)
	return false
}

// comesLate reports whether a request can hardly be answered within the latency target, because its caller has spent a part of its time already, such
// as on a try that was refused. The timeout of the route is the time that callers have at first.
func (r *request) comesLate(now time.Time) bool {
	if r.route.Timeout <= 0 || r.route.LatencyTarget <= 0 {
		return false
	}
	used := r.route.Timeout - r.answerBy.Sub(now)
	return used+r.routeState.usualLatency(now) > r.route.LatencyTarget
}

// endGrantWait ends the wait of a request for which no granter has answered in time.
func (m *Machine) endGrantWait(now time.Time, r *request) {
	m.dropGrantWait(r)
	if m.rations.holder.GiveUp(now, r.customer.Name) != rationer.Granted {
		m.refuseUngranted(r)
		return
	}
	m.GrantCounts.Alone++
	m.begin(now, r)
}

// dropGrantWait removes a request from those that wait for grants.
func (m *Machine) dropGrantWait(r *request) {
	if r.grantBy.IsZero() {
		return
	}
	r.grantBy = time.Time{}
	name := r.customer.Name
	queue := slices.DeleteFunc(m.rations.waiting[name], func(other *request) bool { return other == r })
	if len(queue) == 0 {
		delete(m.rations.waiting, name)
		return
	}
	m.rations.waiting[name] = queue
}

// refuseUngranted refuses a request because no granter answers. Another VM may reach one.
func (m *Machine) refuseUngranted(r *request) {
	m.GrantCounts.Ungranted++
	m.refuse(r, NoGrant)
}

// handleOffer gives grants to the requests that wait for them, and refuses those beyond the rate of their customer.
func (m *Machine) handleOffer(now time.Time, e GrantsOffered) {
	switch {
	case e.Probe:
		m.rations.holder.Probed(now, e.Offer != nil && !e.Offer.Released)
	case e.Offer == nil:
		m.GrantCounts.Failed++
		m.rations.holder.Failed(now, e.Unsent)
	default:
		m.rations.holder.Offered(now, e.Offer)
	}
	if e.Probe || e.Offer == nil {
		return
	}
	for _, g := range e.Offer.Grants {
		m.applyGrant(now, g)
	}
}

// applyGrant ends the wait of the requests that the ask counted. Those that came since wait for the next one.
func (m *Machine) applyGrant(now time.Time, g rationer.Grant) {
	for _, r := range slices.Clone(m.rations.waiting[g.Customer]) {
		if !r.askedGrant {
			continue
		}
		left := &g.Requests
		if r.late {
			left = &g.Late
		}
		m.dropGrantWait(r)
		switch {
		case *left > 0:
			*left--
			m.GrantCounts.Granted++
			m.begin(now, r)
		case g.Unknown:
			m.refuseUngranted(r)
		default:
			m.refuseOverRate(r, g.After)
		}
	}
}

// refuseOverRate refuses a request whose customer has used up its rate.
func (m *Machine) refuseOverRate(r *request, after time.Duration) {
	m.GrantCounts.OverRate++
	o := Refused{Reason: OverRate, RetryAfter: m.jitter(max(after, minRetryAfter))}
	m.emit(Answer{Request: r.id, Outcome: o, Report: Report{Route: r.route.Name, Customer: r.identity.Customer, Manifest: r.manifestVersion}})
	m.finish(r)
}

// askForGrants sends the asks that are due.
func (m *Machine) askForGrants(now time.Time) {
	if !m.rations.active {
		return
	}
	if at := m.nextAsk(now); !at.IsZero() && !at.After(now) {
		var wants []rationer.Want
		for customer, queue := range m.rations.waiting {
			w := rationer.Want{Customer: customer}
			for _, r := range queue {
				r.askedGrant = true
				if r.late {
					w.Late++
				} else {
					w.Requests++
				}
			}
			wants = append(wants, w)
		}
		if q, to, ok := m.rations.holder.Ask(now, wants); ok {
			m.GrantCounts.Asks++
			m.emit(AskGrants{To: to, Ask: q})
		}
	}
	if q, to, ok := m.rations.holder.Probe(now); ok {
		m.emit(AskGrants{To: to, Ask: q, Probe: true})
	}
	if name := m.rations.holder.Granter(); name != m.rations.granter && (name != "" || m.rations.holder.Lost(now)) {
		m.emit(GranterChanged{Granter: name, Before: m.rations.granter})
		m.rations.granter = name
	}
}

// nextAsk returns when the next ask is due, zero for not before another event.
func (m *Machine) nextAsk(now time.Time) time.Time {
	if !m.rations.active {
		return time.Time{}
	}
	return m.rations.holder.NextAskAt(now, len(m.rations.waiting) > 0)
}
