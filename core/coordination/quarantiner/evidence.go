package quarantiner

import "time"

// anyGroup stands for a probe in whichever group.
const anyGroup = -1

// repliesTracked is the size of the table of signatures that were answered lately.
const repliesTracked = 4096

// placeKey names an upstream.
type placeKey struct{ service, upstream string }

// place is an upstream as far as crashes are concerned.
type place struct {
	key         placeKey
	group       int
	domain      string
	incarnation uint64 // last seen
	down        bool
	resets      []resetEvent // not yet explained
}

// resetEvent is an attempt that was reset.
type resetEvent struct {
	signature   uint64
	at          time.Time
	incarnation uint64
}

// attempt is a running sub-request.
type attempt struct {
	signature   uint64
	place       *place
	incarnation uint64
}

// trail is what happened to the attempts of a signature lately.
type trail struct {
	service string
	open    int
	held    time.Time // until when a reset without explanation holds the signature back
	last    time.Time // last reset
}

// reply records that a signature was answered.
type reply struct {
	signature uint64
	at        time.Time
}

// crash is one upstream that went down, with the signatures that were reset on it.
type crash struct {
	place      *place
	at         time.Time
	signatures []uint64
}

// Sent records that an attempt is being sent.
func (m *Machine) Sent(now time.Time, signature uint64, service string, group int, upstream, failureDomain string, incarnation, id uint64) {
	m.advance(now)
	if m.attempts == nil {
		m.attempts = make(map[uint64]attempt)
		m.trails = make(map[uint64]*trail)
		m.places = make(map[placeKey]*place)
	}
	key := placeKey{service, upstream}
	p := m.places[key]
	if p == nil {
		p = &place{key: key}
		m.places[key] = p
	}
	p.group, p.domain = group, failureDomain
	p.incarnation = max(p.incarnation, incarnation)
	t := m.trails[signature]
	if t == nil {
		t = &trail{service: service}
		m.trails[signature] = t
	}
	t.open++
	m.attempts[id] = attempt{signature: signature, place: p, incarnation: incarnation}
}

// Ended records how an attempt ended.
func (m *Machine) Ended(now time.Time, id uint64, how EndKind) {
	m.advance(now)
	a, ok := m.attempts[id]
	if !ok {
		return
	}
	delete(m.attempts, id)
	t := m.trails[a.signature]
	t.open--
	switch how {
	case Replied:
		m.remember(now, a.signature)
		m.up(a.place)
		m.judge(now)
	case Reset:
		m.reset(now, a, t)
	case Other:
	}
	if t.open <= 0 && !t.held.After(now) {
		delete(m.trails, a.signature)
	}
}

// Refused records that an upstream accepts no new connection.
func (m *Machine) Refused(now time.Time, service, upstream string) {
	m.advance(now)
	p := m.places[placeKey{service, upstream}]
	if p == nil || p.down {
		return
	}
	m.crashed(now, p)
	p.down = true
}

// Restarted records an incarnation that an upstream reported. One that was not seen before tells that the previous one ended.
func (m *Machine) Restarted(now time.Time, service, upstream string, incarnation uint64) {
	m.advance(now)
	p := m.places[placeKey{service, upstream}]
	if p == nil || incarnation < p.incarnation {
		return
	}
	if incarnation > p.incarnation {
		if p.incarnation != 0 && !p.down {
			m.crashed(now, p)
		}
		p.incarnation = incarnation
	}
	m.up(p)
}

// up records that an upstream works, so that unexplained resets on it were not crashes.
func (m *Machine) up(p *place) {
	p.down = false
	for _, r := range p.resets {
		m.release(r.signature)
	}
	p.resets = p.resets[:0]
}

func (m *Machine) release(signature uint64) {
	if t := m.trails[signature]; t != nil {
		t.held = time.Time{}
		if t.open <= 0 {
			delete(m.trails, signature)
		}
	}
}

func (m *Machine) remember(now time.Time, signature uint64) {
	if m.replies == nil {
		m.replies = make([]reply, repliesTracked)
	}
	m.replies[signature%repliesTracked] = reply{signature: signature, at: now}
}

// vouched tells whether a signature was answered lately. A request that crashes every upstream that runs it never is.
func (m *Machine) vouched(now time.Time, signature uint64) bool {
	if m.replies == nil {
		return false
	}
	r := m.replies[signature%repliesTracked]
	return r.signature == signature && !r.at.IsZero() && now.Sub(r.at) <= replyMemory
}

func (m *Machine) reset(now time.Time, a attempt, t *trail) {
	t.last = now
	if !m.vouched(now, a.signature) {
		t.held = now.Add(settleTime)
	}
	a.place.resets = append(a.place.resets, resetEvent{signature: a.signature, at: now, incarnation: a.incarnation})
	if a.place.down || a.incarnation < a.place.incarnation {
		m.crashed(now, a.place)
	}
}

// crashed turns the resets of an upstream into evidence against their signatures.
func (m *Machine) crashed(now time.Time, p *place) {
	var c *crash
	for _, o := range m.crashes {
		if o.place == p {
			c = o
		}
	}
	if c == nil {
		c = &crash{place: p, at: now}
		m.crashes = append(m.crashes, c)
	}
	for _, r := range p.resets {
		c.signatures = append(c.signatures, r.signature)
	}
	p.resets = p.resets[:0]
	m.judge(now)
}
