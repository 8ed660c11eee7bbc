package rationer

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// askInterval is the longest time between two asks, so that the granter goes on counting the share.
	askInterval = 500 * time.Millisecond
	// retryDelay is the time until the next ask after one that failed.
	retryDelay = 50 * time.Millisecond
	// maxFailures is how many asks in a row fail before a VM turns to the next granter. A single one may be a connection that broke.
	maxFailures = 2
	// avoidTime is how long a granter that failed is not asked.
	avoidTime = 3 * time.Second
)

// AskTimeout bounds an ask. A VM that has lost its power does not answer at all. No request waits longer for a grant.
const AskTimeout = 150 * time.Millisecond

// Admission is the decision about one request.
type Admission int

//go:generate stringer -type=Admission -linecomment -output=strings.go

// The admissions. Waiting means that a granter is to be asked, and Alone that none can be asked and this VM's own share is used up.
const (
	Granted Admission = iota // granted
	Waiting                  // waiting
	Alone                    // alone
)

// Holder decides at one VM whom to ask for grants, and what to do without a granter. Its exported fields must be set before the first
// call. It is not safe for concurrent use.
type Holder struct {
	Self  string // name of this VM
	Terms Terms

	fleet    int      // VMs among which rates are divided; 0 for not known yet
	ranked   []Member // best granter first
	position int      // of this VM among the names of all
	limits   map[string]Limit

	granter     string             // that answered last; empty for none
	failures    int                // in a row, at granter
	failed      map[string]failure // of VMs that have not answered since
	confirmedAt time.Time          // of the last answer
	mark        Mark               // of the last answer of granter
	handed                         // with the ask in flight
	before      handed             // without it
	asked       string             // of the ask in flight; empty for none
	tests       bool               // the ask in flight only tests
	probed      string             // of the probe in flight; empty for none
	tested      bool               // a VM was probed since the last ask failed
	better      string             // to which this VM moves; empty for none
	nextAsk     time.Time          // at the latest
	pausedUntil time.Time          // after a failed ask
	own         map[string]*ownShare
}

// handed says what granters have got from this VM.
type handed struct {
	freeAt   time.Time          // from when on no granter counts the share of this VM
	joinedAt time.Time          // of the last ask with Joins
	stored   map[string]float64 // came back with the share, and goes to the next granter
}

// failure is a VM that has not answered.
type failure struct {
	at    time.Time
	times int // in a row
}

// ownShare is the part of one customer's rate that this VM uses while it reaches no granter.
type ownShare struct {
	level float64
	at    time.Time
}

// SetFleet sets the number of VMs among which rates are divided.
func (h *Holder) SetFleet(vms int) { h.fleet = max(1, vms, len(h.ranked)) }

// SetMembers sets the VMs that can be granters. The current granter stays one until it fails: entries disappear during a fault of the store, and
// that of a granter that stops does before the share is handed over.
func (h *Holder) SetMembers(all []Member) {
	h.fleet = max(h.fleet, len(all))
	i := h.rank(h.granter)
	listed := func(m Member) bool { return m.Name == h.granter }
	if i >= 0 && !slices.ContainsFunc(all, listed) {
		all = append(slices.Clone(all), h.ranked[i])
	}
	h.ranked = slices.Clone(all)
	slices.SortFunc(h.ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(hash(a.Name), hash(b.Name)), strings.Compare(a.Name, b.Name))
	})
	names := make([]string, 0, len(all))
	for _, m := range all {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	h.position, _ = slices.BinarySearch(names, h.Self)
	if h.rank(h.granter) < 0 {
		h.granter = ""
	}
	if h.rank(h.better) < 0 {
		h.better = ""
	}
	maps.DeleteFunc(h.failed, func(name string, _ failure) bool { return h.rank(name) < 0 })
}

// SetLimits replaces the customers.
func (h *Holder) SetLimits(limits map[string]Limit) {
	h.limits = limits
	for name := range h.own {
		if _, ok := limits[name]; !ok {
			delete(h.own, name)
		}
	}
}

// Granter returns the name of the VM that answered last, or to which this one is moving; empty if none is reached.
func (h *Holder) Granter() string { return cmp.Or(h.granter, h.better) }

// Admit decides about a request.
func (h *Holder) Admit(now time.Time, customer string) Admission {
	if l, ok := h.limits[customer]; ok && l.Rate <= 0 {
		return Granted
	}
	if h.Granter() == "" && h.allAvoided(now) {
		return h.useOwn(now, customer)
	}
	return Waiting
}

// GiveUp decides about a request that has waited for too long.
func (h *Holder) GiveUp(now time.Time, customer string) Admission {
	if h.Reached(now) {
		return Alone // the share of this VM is at the granter
	}
	return h.useOwn(now, customer)
}

// Lost reports whether no granter has answered for so long that none counts the share of this VM.
func (h *Holder) Lost(now time.Time) bool { return h.Granter() == "" && !now.Before(h.freeAt) }

// Reached reports whether a granter has answered lately.
func (h *Holder) Reached(now time.Time) bool {
	return h.granter != "" && now.Sub(h.confirmedAt) < contactLifetime
}

func (h *Holder) allAvoided(now time.Time) bool {
	return h.candidate(now, "") < 0
}

func (h *Holder) avoided(now time.Time, name string) bool {
	f, ok := h.failed[name]
	return ok && now.Sub(f.at) < avoidTime
}

// candidate returns the rank of the VM to turn to without a granter, -1 for none. VMs that were not tried go before those that failed, however many
// of the best-ranked ones have lost their power. One VM is left out, because it is asked already.
func (h *Holder) candidate(now time.Time, except string) int {
	best := -1
	for i, m := range h.ranked {
		if m.Name != except && !h.avoided(now, m.Name) && (best < 0 || h.failed[m.Name].times < h.failed[h.ranked[best].Name].times) {
			best = i
		}
	}
	return best
}

// rank returns the position of a VM among the possible granters, -1 for none.
func (h *Holder) rank(name string) int {
	return slices.IndexFunc(h.ranked, func(m Member) bool { return m.Name == name })
}

// awaitsProbe reports whether the next VM to ask is being probed. The VMs would divide among several granters if some of them passed over it.
func (h *Holder) awaitsProbe(now time.Time) bool {
	return h.probed != "" && h.Granter() == "" && h.rank(h.probed) == h.candidate(now, "")
}

// NextAskAt returns when the next ask is due, zero for not before the end of the ask or probe in flight. Waiting says whether requests wait for grants.
func (h *Holder) NextAskAt(now time.Time, waiting bool) time.Time {
	switch {
	case h.asked != "" || len(h.ranked) == 0 || h.awaitsProbe(now):
		return time.Time{}
	case waiting:
		return later(h.pausedUntil, now)
	default:
		return later(h.nextAsk, now)
	}
}

// Ask returns the next ask, and the VM to send it to, if it is due. Offered or Failed must follow. A VM that was not in contact is tested first: one that
// is frozen takes an ask, and would count the share when it goes on.
func (h *Holder) Ask(now time.Time, wants []Want) (Ask, Member, bool) {
	if at := h.NextAskAt(now, len(wants) > 0); at.IsZero() || at.After(now) {
		return Ask{}, Member{}, false
	}
	i := h.rank(cmp.Or(h.granter, h.better))
	if i < 0 {
		if i = h.candidate(now, ""); i < 0 {
			h.nextAsk, h.pausedUntil = now.Add(retryDelay), now.Add(retryDelay)
			return Ask{}, Member{}, false
		}
		h.asked, h.tests = h.ranked[i].Name, true
		return Ask{VM: h.Self, Tests: true}, h.ranked[i], true
	}
	to := h.ranked[i]
	h.asked, h.before = to.Name, h.handed
	q := Ask{VM: h.Self, ShareIn: max(0, h.freeAt.Sub(now)), Wants: wants}
	switch {
	case to.Name == h.granter:
		q.Leaves = h.better != ""
		h.lend(now, &q)
	case h.stored != nil:
		q.Stored, h.stored = h.stored, nil
	case h.joinedAt.IsZero() || now.Sub(h.joinedAt) >= 2*h.Terms.window():
		q.Joins, h.joinedAt = true, now
	}
	return q, to, true
}

// lend hands the share to the current granter for longer. After a failure it does not, so that another granter can soon count the share.
func (h *Holder) lend(now time.Time, q *Ask) {
	if !q.Leaves && (h.failures == 0 || !h.freeAt.After(now)) {
		h.freeAt = now.Add(contactLifetime)
	}
	if h.mark.Granter != 0 {
		q.Mark, q.Until = h.mark, h.freeAt.Sub(h.confirmedAt)
	}
}

// Probe returns an ask that tests whether a better granter than the current one answers, if there is one to try. Probed must follow. It carries
// no wants, so that no request waits for a VM that may be dead. After a failure it tests a second VM beside the one that is asked.
func (h *Holder) Probe(now time.Time) (Ask, Member, bool) {
	if h.probed != "" || h.better != "" {
		return Ask{}, Member{}, false
	}
	if h.granter == "" || h.failures > 0 {
		i := h.candidate(now, cmp.Or(h.asked, h.granter))
		if i < 0 || h.pausedUntil.IsZero() || h.granter != "" && h.tested {
			return Ask{}, Member{}, false
		}
		h.probed, h.tested = h.ranked[i].Name, true
		return Ask{VM: h.Self, Tests: true}, h.ranked[i], true
	}
	for _, m := range h.ranked[:max(0, h.rank(h.granter))] {
		if !h.avoided(now, m.Name) {
			h.probed = m.Name
			return Ask{VM: h.Self, Tests: true}, m, true
		}
	}
	return Ask{}, Member{}, false
}

// Offered records that the ask in flight was answered. Without grants in the offer of a granter that stops, its requests wait on.
func (h *Holder) Offered(now time.Time, o *Offer) {
	name := h.asked
	h.asked, h.nextAsk, h.pausedUntil = "", now.Add(askInterval), time.Time{}
	if h.tests {
		h.tests, h.nextAsk = false, now
		h.answered(now, name, !o.Released)
		return
	}
	if !o.Released {
		if h.failures > 0 {
			h.nextAsk = now // the last ask did not prolong the time for which the share is handed over
		}
		if name != h.granter || o.Mark.Granter == 0 || o.Mark.Granter != h.mark.Granter {
			h.freeAt = now.Add(contactLifetime)
		}
		h.granter, h.mark, h.failures, h.confirmedAt = name, o.Mark, 0, now
		if h.rank(h.better) >= h.rank(name) {
			h.better = ""
		}
		delete(h.failed, name)
		return
	}
	h.freeAt, h.stored, h.nextAsk = now, o.Stored, now
	if h.better == "" || h.better == name { // it stops
		h.avoid(now, name)
		return
	}
	h.granter, h.failures = "", 0
}

// Failed records that the ask in flight was not answered. Unsent means that it cannot have reached the granter.
func (h *Holder) Failed(now time.Time, unsent bool) {
	name := h.asked
	h.asked, h.tested = "", false
	switch {
	case h.tests:
		h.tests = false
	case unsent:
		h.handed = h.before
	case name != h.granter || h.mark.Granter == 0:
		h.freeAt = now.Add(contactLifetime) // it may count the share of this VM from an ask whose answer was lost
	}
	h.nextAsk, h.pausedUntil = now.Add(retryDelay), now.Add(retryDelay)
	if name != h.granter {
		h.avoid(now, name)
		return
	}
	if h.failures++; h.failures >= maxFailures {
		h.avoid(now, name)
	}
	h.nextAsk, h.pausedUntil = now, now // the next one is to tell soon whether it was only the connection
}

// Disconnected records that a granter has closed the connection to this VM. A process that ends does so before the next ask is due.
func (h *Holder) Disconnected(now time.Time, name string) {
	if name == h.granter {
		h.nextAsk = earlier(h.nextAsk, later(now, h.confirmedAt.Add(retryDelay)))
	}
}

// Probed records whether the probe in flight was answered by a VM that does not stop. With the next ask, this VM then takes its share back from the current granter.
func (h *Holder) Probed(now time.Time, ok bool) {
	name := h.probed
	h.probed = ""
	h.answered(now, name, ok)
}

// answered moves this VM to one that has answered a test, if it is better than the current one.
func (h *Holder) answered(now time.Time, name string, ok bool) {
	current := h.rank(h.Granter())
	switch {
	case !ok:
		h.avoid(now, name)
	case h.rank(name) < 0: // not listed any more
	case current < 0 || h.rank(name) < current:
		h.better = name
	}
}

// avoid keeps a VM from being asked for a while.
func (h *Holder) avoid(now time.Time, name string) {
	if h.failed == nil {
		h.failed = map[string]failure{}
	}
	h.failed[name] = failure{at: now, times: h.failed[name].times + 1}
	if name == h.granter || name == h.better {
		h.better = ""
	}
	if name == h.granter {
		h.granter, h.failures = "", 0
	}
}

// useOwn takes one request from the share of this VM. Where that stores less than one request, as many VMs as the terms allow store a whole one, and
// the others none. These VMs differ from customer to customer.
func (h *Holder) useOwn(now time.Time, customer string) Admission {
	l, ok := h.limits[customer]
	if !ok || h.fleet == 0 {
		return Alone
	}
	if h.own == nil {
		h.own = map[string]*ownShare{}
	}
	stored, extra := l.Burst+depthShare*h.Terms.margin(l), loneShare*h.Terms.margin(l)
	turn := int((uint64(h.position) + hash(customer)) % uint64(h.fleet))
	depth := stored / float64(h.fleet)
	if depth < 1 && turn < int(stored+extra) {
		depth = 1
	}
	rounded := turn < int(extra)
	s := h.own[customer]
	if s == nil || s.at.Before(h.confirmedAt) { // what was stored has gone to the granter with the share
		used := s != nil && now.Sub(s.at) <= h.Terms.window()
		s = &ownShare{at: now}
		if !h.confirmedAt.IsZero() {
			s.at = earlier(now, h.freeAt)
		}
		if rounded && !used {
			s.level = 1
		}
		h.own[customer] = s
	}
	if from := later(s.at, h.freeAt); now.After(from) {
		s.level += l.Rate / float64(h.fleet) * now.Sub(from).Seconds()
	}
	s.at = now
	s.level = min(s.level, depth)
	if s.level < 1 {
		return Alone
	}
	s.level--
	return Granted
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func hash(name string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(name)) // a hash.Hash never returns an error
	return f.Sum64()
}
