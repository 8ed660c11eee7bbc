package server

import (
	"time"

	"github.com/rotisserie/eris"
)

// Target selects servers. A server is selected when it matches every field that is set; a target without fields selects none
// unless All is set.
type Target struct {
	All           bool   `json:"all,omitempty"`
	Upstream      string `json:"upstream,omitempty"`
	Service       string `json:"service,omitempty"`
	Group         *int   `json:"group,omitempty"`
	Replica       *int   `json:"replica,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
}

// Command is the body of POST /control.
type Command struct {
	Target Target `json:"target"`
	Action Action `json:"action"`
	Off    bool   `json:"off,omitempty"`    // ends a lasting fault
	ForMS  int64  `json:"for_ms,omitempty"` // ends a lasting fault after this time, or how long a crashed or restarting server refuses connections

	Share   float64 `json:"share,omitempty"`    // straggler, shed, wrong_id; 0 means all
	DelayMS int64   `json:"delay_ms,omitempty"` // straggler, lag
	Query   string  `json:"query,omitempty"`    // crash_on
	Version uint64  `json:"version,omitempty"`  // hold, drop
	Layout  string  `json:"layout,omitempty"`   // hold
	Shards  int     `json:"shards,omitempty"`   // hold: of the whole layout
}

// Action names what a command does to its servers.
type Action string

// The actions. Lasting faults end with Off; the others happen once.
const (
	Straggler Action = "straggler" // lasting: a share of sub-requests takes longer
	Dark      Action = "dark"      // lasting: accepts nothing, connections hold their data
	Refuse    Action = "refuse"    // lasting: the listener is closed
	Shed      Action = "shed"      // lasting: sheds a share of sub-requests
	Drain     Action = "drain"     // lasting: reports draining and takes no new work
	Leave     Action = "leave"     // lasting: drains, then closes its listener and connections
	Lag       Action = "lag"       // lasting: the reported load is up to this old
	WrongID   Action = "wrong_id"  // lasting: a share of replies has a wrong request id
	Swap      Action = "swap"      // lasting: each reply is the reply to the request before it
	CrashOn   Action = "crash_on"  // lasting: a query or body text crashes each server that runs it
	Crash     Action = "crash"     // resets connections, refuses for a while, comes back with a new incarnation
	Restart   Action = "restart"   // the same, but drains first and closes connections in order
	Silence   Action = "silence"   // existing connections never answer again
	Hold      Action = "hold"      // adds an index version
	Drop      Action = "drop"      // removes an index version
)

func (t Target) matches(h *host, replica int) bool {
	set := t.All || t.Upstream != "" || t.Service != "" || t.Group != nil || t.FailureDomain != "" || t.Replica != nil
	return set &&
		(t.Upstream == "" || t.Upstream == h.server.Name) &&
		(t.Service == "" || t.Service == h.server.Service.Name) &&
		(t.Group == nil || *t.Group == h.server.Group) &&
		(t.Replica == nil || *t.Replica == replica) &&
		(t.FailureDomain == "" || t.FailureDomain == h.server.FailureDomain)
}

// Apply carries out a command and returns the number of selected servers.
func (f *Fleet) Apply(c Command) (int, error) {
	do, err := c.effect()
	if err != nil {
		return 0, err
	}
	var selected []*host
	type group struct {
		service string
		number  int
	}
	replicas := make(map[group]int)
	for _, h := range f.hosts {
		g := group{h.server.Service.Name, h.server.Group}
		if c.Target.matches(h, replicas[g]) {
			selected = append(selected, h)
		}
		replicas[g]++
	}
	if len(selected) == 0 {
		return 0, eris.New("control: target selects no server")
	}
	for _, h := range selected {
		if err := do(h); err != nil {
			return 0, err
		}
	}
	if c.lasting() && c.ForMS > 0 && !c.Off {
		end := c
		end.Off = true
		time.AfterFunc(milliseconds(c.ForMS), func() { _, _ = f.Apply(end) }) // valid because c was
	}
	return len(selected), nil
}

func (c Command) lasting() bool {
	switch c.Action {
	case Crash, Restart, Silence, Hold, Drop:
		return false
	default:
		return true
	}
}

// effect returns what the command does to one server.
func (c Command) effect() (func(*host) error, error) {
	share := c.Share
	if share == 0 {
		share = 1
	}
	if c.Off {
		share = 0
	}
	if c.Share < 0 || c.Share > 1 || c.ForMS < 0 || c.DelayMS < 0 {
		return nil, eris.New("control: share is not between 0 and 1, or for_ms or delay_ms is negative")
	}
	delay := milliseconds(c.DelayMS)
	if c.Off {
		delay, c.Query = 0, ""
	}
	switch c.Action {
	case Straggler:
		return set(func(f *faults) { f.stragglerShare, f.stragglerDelay = share, delay }), nil
	case Shed:
		return set(func(f *faults) { f.shed = share }), nil
	case WrongID:
		return set(func(f *faults) { f.wrongID = share }), nil
	case Lag:
		return set(func(f *faults) { f.lag = delay }), nil
	case Swap:
		return set(func(f *faults) { f.swap = !c.Off }), nil
	case Drain:
		return set(func(f *faults) { f.draining = !c.Off }), nil
	case CrashOn:
		return set(func(f *faults) { f.crashOn = c.Query }), nil
	default:
		return c.effectOnNetwork()
	}
}

// effectOnNetwork is effect for actions on listeners, connections and held versions.
func (c Command) effectOnNetwork() (func(*host) error, error) {
	switch c.Action {
	case Dark:
		return func(h *host) error { h.darken(!c.Off); return nil }, nil
	case Refuse:
		if c.Off {
			return (*host).start, nil
		}
		return func(h *host) error { h.mu.Lock(); defer h.mu.Unlock(); h.refuse(); return nil }, nil
	case Leave:
		if c.Off {
			return func(h *host) error { h.back(); return h.start() }, nil
		}
		return func(h *host) error { h.leave(func() { h.stop(false) }); return nil }, nil
	case Restart:
		return func(h *host) error { h.leave(func() { h.restart(false, milliseconds(c.ForMS)) }); return nil }, nil
	case Crash:
		return func(h *host) error { h.crash(milliseconds(c.ForMS)); return nil }, nil
	case Silence:
		return func(h *host) error { h.silence(); return nil }, nil
	case Hold:
		if c.Version == 0 || c.Layout == "" || c.Shards < 1 || c.Shards > 100000 {
			return nil, eris.New("control: hold needs a version, a layout and shards between 1 and 100000")
		}
		return func(h *host) error { h.hold(c.Version, c.Layout, c.Shards); return nil }, nil
	case Drop:
		return func(h *host) error { h.drop(c.Version); return nil }, nil
	default:
		return nil, eris.Errorf("control: action %q is not known", c.Action)
	}
}

func set(change func(*faults)) func(*host) error {
	return func(h *host) error {
		h.mu.Lock()
		defer h.mu.Unlock()
		change(&h.faults)
		return nil
	}
}

func (h *host) darken(dark bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case dark && h.light == nil:
		h.light = make(chan struct{})
	case !dark && h.light != nil:
		close(h.light)
		h.light = nil
	}
}

func (h *host) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.open {
		c.silent.Store(true)
	}
}

func (h *host) back() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults.draining = false
}

// drainLimit is the longest time that a leaving server waits for its running work; drainNotice is the shortest, so that
// clients learn of the draining from replies.
const (
	drainLimit  = 5 * time.Second
	drainNotice = 500 * time.Millisecond
	drainPoll   = 20 * time.Millisecond
)

// leave drains a server and calls then when no work is left.
func (h *host) leave(then func()) {
	h.mu.Lock()
	h.faults.draining = true
	h.mu.Unlock()
	started := time.Now()
	var check func()
	check = func() {
		h.mu.Lock()
		idle, draining := len(h.inFlight) == 0, h.faults.draining
		h.mu.Unlock()
		switch d := time.Since(started); {
		case !draining: // it was called back
		case d >= drainLimit || (idle && d >= drainNotice):
			then()
		default:
			time.AfterFunc(drainPoll, check)
		}
	}
	time.AfterFunc(drainPoll, check)
}
