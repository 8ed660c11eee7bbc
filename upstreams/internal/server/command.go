package server

import (
	"time"

	"github.com/rotisserie/eris"
)

// Target selects upstreams. An upstream is selected if it matches all fields that are set. A target without any selects
// none unless All is set.
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
	ForMS  int64  `json:"for_ms,omitempty"` // duration of a lasting fault, or of the refusal of connections after a crash or restart

	Share   float64 `json:"share,omitempty"`    // straggler, shed, wrong_id; 0 means 1
	DelayMS int64   `json:"delay_ms,omitempty"` // straggler, lag
	Query   string  `json:"query,omitempty"`    // crash_on
	Version uint64  `json:"version,omitempty"`  // hold, drop
	Layout  string  `json:"layout,omitempty"`   // hold
	Shards  int     `json:"shards,omitempty"`   // hold; number in the whole layout
}

// Action is the action of a command on the selected upstreams.
type Action string

// The actions. The lasting ones are faults that end with Off or after ForMS. The others happen once.
const (
	Straggler Action = "straggler" // lasting: a share of sub-requests takes DelayMS longer
	Dark      Action = "dark"      // lasting: accepts no connections and holds back the data of existing ones, as if unreachable
	Refuse    Action = "refuse"    // lasting: closes the listener
	Shed      Action = "shed"      // lasting: sheds a share of sub-requests
	Drain     Action = "drain"     // lasting: reports draining and rejects new sub-requests
	Leave     Action = "leave"     // lasting: drains, then closes the listener and the connections
	Lag       Action = "lag"       // lasting: the reported load is up to DelayMS old
	WrongID   Action = "wrong_id"  // lasting: a share of replies has a wrong request id
	Swap      Action = "swap"      // lasting: each reply is replaced by the previous one
	CrashOn   Action = "crash_on"  // lasting: crashes on a sub-request whose query is Query or whose body contains it
	Crash     Action = "crash"     // resets all connections, refuses connections for ForMS, then starts with a new incarnation
	Restart   Action = "restart"   // like Crash, but drains first and closes the connections in order
	Silence   Action = "silence"   // existing connections drop all data from now on
	Hold      Action = "hold"      // adds an index version
	Drop      Action = "drop"      // removes an index version
)

func (t Target) matches(u *upstream, replica int) bool {
	set := t.All || t.Upstream != "" || t.Service != "" || t.Group != nil || t.FailureDomain != "" || t.Replica != nil
	return set &&
		(t.Upstream == "" || t.Upstream == u.server.Name) &&
		(t.Service == "" || t.Service == u.server.Service.Name) &&
		(t.Group == nil || *t.Group == u.server.Group) &&
		(t.Replica == nil || *t.Replica == replica) &&
		(t.FailureDomain == "" || t.FailureDomain == u.server.FailureDomain)
}

// ApplyCommand executes a command and returns the number of selected upstreams.
func (f *Fleet) ApplyCommand(c Command) (int, error) {
	effect, err := c.effect()
	if err != nil {
		return 0, err
	}
	var selected []*upstream
	type group struct {
		service string
		number  int
	}
	replicas := make(map[group]int)
	for _, u := range f.upstreams {
		g := group{u.server.Service.Name, u.server.Group}
		if c.Target.matches(u, replicas[g]) {
			selected = append(selected, u)
		}
		replicas[g]++
	}
	if len(selected) == 0 {
		return 0, eris.New("control: target selects no server")
	}
	for _, u := range selected {
		if err := effect(u); err != nil {
			return 0, err
		}
	}
	if c.isLasting() && c.ForMS > 0 && !c.Off {
		end := c
		end.Off = true
		time.AfterFunc(milliseconds(c.ForMS), func() { _, _ = f.ApplyCommand(end) }) // can't be invalid, because c is valid
	}
	return len(selected), nil
}

func (c Command) isLasting() bool {
	switch c.Action {
	case Crash, Restart, Silence, Hold, Drop:
		return false
	default:
		return true
	}
}

// effect returns the function that executes the command on one upstream. It returns an error if the command is invalid.
func (c Command) effect() (func(*upstream) error, error) {
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
		return setFaults(func(f *faults) { f.stragglerShare, f.stragglerDelay = share, delay }), nil
	case Shed:
		return setFaults(func(f *faults) { f.shedShare = share }), nil
	case WrongID:
		return setFaults(func(f *faults) { f.wrongIDShare = share }), nil
	case Lag:
		return setFaults(func(f *faults) { f.loadLag = delay }), nil
	case Swap:
		return setFaults(func(f *faults) { f.swapsReplies = !c.Off }), nil
	case Drain:
		return setFaults(func(f *faults) { f.isDraining = !c.Off }), nil
	case CrashOn:
		return setFaults(func(f *faults) { f.crashText = c.Query }), nil
	default:
		return c.networkEffect()
	}
}

// networkEffect is the part of effect for the actions on listeners, connections and held versions.
func (c Command) networkEffect() (func(*upstream) error, error) {
	switch c.Action {
	case Dark:
		return func(u *upstream) error { u.setUnreachable(!c.Off); return nil }, nil
	case Refuse:
		if c.Off {
			return (*upstream).start, nil
		}
		return func(u *upstream) error { u.mu.Lock(); defer u.mu.Unlock(); u.closeListener(); return nil }, nil
	case Leave:
		if c.Off {
			return func(u *upstream) error { u.clearDraining(); return u.start() }, nil
		}
		return func(u *upstream) error { u.drainThen(func() { u.stop(false) }); return nil }, nil
	case Restart:
		return func(u *upstream) error { u.drainThen(func() { u.restart(false, milliseconds(c.ForMS)) }); return nil }, nil
	case Crash:
		return func(u *upstream) error { u.crash(milliseconds(c.ForMS)); return nil }, nil
	case Silence:
		return func(u *upstream) error { u.silenceConnections(); return nil }, nil
	case Hold:
		if c.Version == 0 || c.Layout == "" || c.Shards < 1 || c.Shards > 100000 {
			return nil, eris.New("control: hold needs a version, a layout and shards between 1 and 100000")
		}
		return func(u *upstream) error { u.addVersion(c.Version, c.Layout, c.Shards); return nil }, nil
	case Drop:
		return func(u *upstream) error { u.dropVersion(c.Version); return nil }, nil
	default:
		return nil, eris.Errorf("control: action %q is not known", c.Action)
	}
}

func setFaults(change func(*faults)) func(*upstream) error {
	return func(u *upstream) error {
		u.mu.Lock()
		defer u.mu.Unlock()
		change(&u.faults)
		return nil
	}
}

func (u *upstream) setUnreachable(dark bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case dark && u.reachable == nil:
		u.reachable = make(chan struct{})
	case !dark && u.reachable != nil:
		close(u.reachable)
		u.reachable = nil
	}
}

func (u *upstream) silenceConnections() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.connections {
		c.isSilent.Store(true)
	}
}

func (u *upstream) clearDraining() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.isDraining = false
}

// drainTimeout is the longest time for which a leaving or restarting upstream waits for its sub-requests. minDrainTime is the
// shortest, so that entry VMs learn from replies that it is draining.
const (
	drainTimeout      = 5 * time.Second
	minDrainTime      = 500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// drainThen drains the upstream. It calls then when no sub-request is left, but not before minDrainTime, or when drainTimeout has
// passed. It doesn't call then if the draining is ended by a command first.
func (u *upstream) drainThen(then func()) {
	u.mu.Lock()
	u.faults.isDraining = true
	u.mu.Unlock()
	started := time.Now()
	var check func()
	check = func() {
		u.mu.Lock()
		idle, draining := len(u.inFlight) == 0, u.faults.isDraining
		u.mu.Unlock()
		switch d := time.Since(started); {
		case !draining: // a command ended the draining
		case d >= drainTimeout || (idle && d >= minDrainTime):
			then()
		default:
			time.AfterFunc(drainPollInterval, check)
		}
	}
	time.AfterFunc(drainPollInterval, check)
}
