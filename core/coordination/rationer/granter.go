package rationer

import (
	"time"
)

const (
	// contactLifetime is how long a granter counts the share of a VM after its last ask. It spans one ask that is lost and the
	// next one.
	contactLifetime = askInterval + 2*AskTimeout
	// minAfter and maxAfter bound the time after which callers beyond a limit may come again.
	minAfter = 100 * time.Millisecond
	maxAfter = 5 * time.Second
	// lateReserve is the part of the stored grants that is kept for requests which can still be answered within their latency target. A customer far
	// beyond its rate would otherwise spend it on callers that come back.
	lateReserve = 0.5
	// maxWant bounds the requests of one customer that an ask counts. A VM holds fewer.
	maxWant = 1 << 20
	// minStored is the smallest part of a grant that is given back with a share.
	minStored = 0.01
)

// Granter gives out the shares that other VMs hand to this one. The zero value knows no customer. It is not safe for concurrent use.
type Granter struct {
	Terms Terms

	stopping bool
	fleet    int // VMs among which rates are divided; 0 for not known yet
	limits   map[string]Limit
	contacts map[string]*contact
	accounts map[string]*account

	startedAt  time.Time // of the first answer
	settledAt  time.Time
	nextChange time.Time // earliest time at which a contact changes; may be too early
	counted    int       // contacts whose share is counted
	seconds    float64   // sum over time of the counted share of the fleet
	joined     float64   // sum of the shares that came with Ask.Joins

	keptSeconds, keptJoined float64 // seconds and joined when the last contact went
}

// contact is a VM that hands its share to this granter.
type contact struct {
	from, until time.Time // when its share is counted
	counted     bool
}

// account is the bucket of one customer.
type account struct {
	level   float64 // grants that may be given now
	seconds float64 // Granter.seconds up to which level is computed
	joined  float64 // Granter.joined up to which level is computed
	backlog float64 // requests that were denied lately, less what the rate has allowed since
	drained time.Time
}

// SetFleet sets the number of VMs among which rates are divided.
func (g *Granter) SetFleet(now time.Time, vms int) {
	g.settle(now)
	g.fleet = max(1, vms)
	g.clampAll()
}

// SetLimits replaces the customers. One that returns within a window has nothing stored, because its grants may have been used.
func (g *Granter) SetLimits(now time.Time, limits map[string]Limit) {
	g.settle(now)
	for name, a := range g.accounts { // with the limit that was in force until now
		g.refill(a, g.limits[name])
		if _, ok := limits[name]; ok {
			continue
		}
		a.level = 0
		if now.Sub(a.drained) > g.Terms.window() {
			delete(g.accounts, name)
		}
	}
	g.limits = limits
	for name, l := range limits { // before the first request, so that what is stored is lost with the shares that earned it
		if l.Rate > 0 {
			g.account(now, name)
		}
	}
	g.clampAll()
}

// Contacts returns the number of VMs that hand their shares to this granter.
func (g *Granter) Contacts(now time.Time) int {
	g.settle(now)
	return len(g.contacts)
}

// Level returns how many grants a customer could get now.
func (g *Granter) Level(now time.Time, customer string) float64 {
	g.settle(now)
	a := g.accounts[customer]
	if a == nil {
		return 0
	}
	g.refill(a, g.limits[customer])
	return a.level
}

// Stop makes this granter give back the shares, each with the next ask of its VM.
func (g *Granter) Stop() { g.stopping = true }

// Answer counts the share of the asking VM and gives out grants.
func (g *Granter) Answer(now time.Time, q Ask) Offer {
	if q.Tests {
		return Offer{Released: g.stopping}
	}
	g.settle(now)
	if g.startedAt.IsZero() {
		g.startedAt = now
	}
	mark := Mark{Granter: g.startedAt.UnixNano(), At: now.Sub(g.startedAt)}
	if !q.Leaves && !g.stopping {
		until := now.Add(contactLifetime)
		if q.Mark.Granter == mark.Granter {
			until = earlier(until, g.startedAt.Add(q.Mark.At+q.Until))
		}
		if !until.After(now) {
			return Offer{Mark: mark} // it was on its way for so long that the VM may have handed its share to another one
		}
		g.hear(now, until, q)
	}
	o := Offer{Grants: make([]Grant, 0, len(q.Wants)), Mark: mark, Released: q.Leaves || g.stopping}
	if !g.stopping {
		for _, w := range q.Wants {
			w.Requests, w.Late = min(max(0, w.Requests), maxWant), min(max(0, w.Late), maxWant) // what another VM sends may be anything
			o.Grants = append(o.Grants, g.grant(now, w))
		}
	}
	if o.Released {
		o.Stored = g.release(q.VM)
		if o.Stored == nil {
			o.Stored = q.Stored // not taken
		}
	}
	return o
}

// release stops counting the share of a VM, and returns its part of what is stored.
func (g *Granter) release(vm string) map[string]float64 {
	c := g.contacts[vm]
	if c == nil {
		return nil
	}
	stored := map[string]float64{}
	for name, a := range g.accounts {
		g.refill(a, g.limits[name])
		part := a.level / float64(len(g.contacts))
		if part >= minStored {
			stored[name] = part
		}
		a.level -= part
	}
	if c.counted {
		g.counted--
	}
	delete(g.contacts, vm)
	g.loseShares()
	return stored
}

// hear records that a VM hands its share to this granter until some time.
func (g *Granter) hear(now, until time.Time, q Ask) {
	if g.contacts == nil {
		g.contacts = map[string]*contact{}
	}
	c := g.contacts[q.VM]
	if c == nil {
		c = &contact{from: now.Add(max(0, q.ShareIn))}
		g.contacts[q.VM] = c
		if q.Joins {
			g.joined += g.shares(1)
		}
	}
	c.until = later(c.until, until)
	g.scheduleChange(now, c)
	g.settle(now)
	for name, part := range q.Stored {
		if l := g.limits[name]; l.Rate > 0 && part > 0 {
			a := g.account(now, name)
			g.refill(a, l)
			a.level += min(part, g.Terms.depth(l)*g.shares(1))
		}
	}
}

// account returns the account of a customer. A new one gets what the shares have earned since the last one was taken back or lapsed.
func (g *Granter) account(now time.Time, customer string) *account {
	a := g.accounts[customer]
	if a == nil {
		a = &account{seconds: g.keptSeconds, joined: g.keptJoined, drained: now}
		if g.accounts == nil {
			g.accounts = map[string]*account{}
		}
		g.accounts[customer] = a
	}
	return a
}

// grant gives out what the bucket of a customer holds.
func (g *Granter) grant(now time.Time, w Want) Grant {
	out := Grant{Customer: w.Customer}
	l, known := g.limits[w.Customer]
	switch {
	case !known:
		out.Unknown = true
		return out
	case l.Rate <= 0:
		out.Requests, out.Late = w.Requests, w.Late
		return out
	}
	a := g.account(now, w.Customer)
	g.refill(a, l)
	out.Requests = min(w.Requests, int(a.level))
	a.level -= float64(out.Requests)
	out.Late = max(0, min(w.Late, int(a.level-lateReserve*g.depth(l))))
	a.level -= float64(out.Late)
	denied := w.Requests + w.Late - out.Requests - out.Late
	a.backlog = max(0, a.backlog-l.Rate*now.Sub(a.drained).Seconds()) + float64(denied)
	a.drained = now
	if denied > 0 {
		out.After = min(maxAfter, max(minAfter, time.Duration(a.backlog/l.Rate*float64(time.Second))))
	}
	return out
}

// refill adds what the counted shares have earned since the last time.
func (g *Granter) refill(a *account, l Limit) {
	a.level += l.Rate*(g.seconds-a.seconds) + joinShare*g.Terms.margin(l)*(g.joined-a.joined)
	a.seconds, a.joined = g.seconds, g.joined
	a.level = min(a.level, g.depth(l))
}

// depth returns the grants that may be stored for the shares that are handed to this granter.
func (g *Granter) depth(l Limit) float64 {
	return g.Terms.depth(l) * g.shares(len(g.contacts))
}

// shares returns the part of the fleet that some VMs are, 0 while the fleet is not known. It may be larger than this VM knows.
func (g *Granter) shares(vms int) float64 {
	if g.fleet == 0 {
		return 0
	}
	return float64(vms) / float64(max(g.fleet, len(g.contacts)))
}

// loseShares limits what is stored after contacts have gone, also for customers without an account.
func (g *Granter) loseShares() {
	g.clampAll()
	g.keptSeconds, g.keptJoined = g.seconds, g.joined
}

// clampAll limits what is stored to what the counted shares allow.
func (g *Granter) clampAll() {
	for name, a := range g.accounts {
		g.refill(a, g.limits[name])
	}
}

// settle applies the changes of contacts up to now, in their order.
func (g *Granter) settle(now time.Time) {
	for !g.nextChange.IsZero() && !g.nextChange.After(now) {
		at := g.nextChange
		g.advance(at)
		g.nextChange = time.Time{}
		gone := false
		for name, c := range g.contacts {
			if !c.until.After(at) {
				if c.counted {
					g.counted--
				}
				delete(g.contacts, name)
				gone = true
				continue
			}
			if !c.counted && !c.from.After(at) {
				c.counted = true
				g.counted++
			}
			g.scheduleChange(at, c)
		}
		if gone {
			g.loseShares()
		}
	}
	g.advance(now)
}

// scheduleChange makes settle look at a contact when it changes next.
func (g *Granter) scheduleChange(now time.Time, c *contact) {
	at := c.until
	if !c.counted && c.from.Before(at) {
		at = c.from
	}
	if at.Before(now) {
		at = now
	}
	if g.nextChange.IsZero() || at.Before(g.nextChange) {
		g.nextChange = at
	}
}

// advance adds the time up to now to the sum of the counted shares.
func (g *Granter) advance(now time.Time) {
	if !g.settledAt.IsZero() && now.After(g.settledAt) {
		g.seconds += now.Sub(g.settledAt).Seconds() * g.shares(g.counted)
	}
	if now.After(g.settledAt) {
		g.settledAt = now
	}
}
