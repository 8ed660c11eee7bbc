package doorkeeper

import (
	"net/netip"
	"time"
)

//go:generate stringer -type=State,Cause -linecomment -output=names_string.go

// State is what a caller's connection is used for.
type State int

// The states of a connection.
const (
	Arriving State = iota // arriving
	Idle                  // idle
	Sending               // sending
	Served                // served
	Reading               // reading
)

// Cause is why a caller is turned away.
type Cause int

// The causes. Crowded and Short are decided here, the others where the connection is read or written.
const (
	Crowded Cause = iota // connections
	Short                // memory
	Stalled              // body
	Unread               // answer

	LastCause = Unread
)

// stallTime is how long a connection may make no progress before a caller that wants less memory takes its place.
const stallTime = time.Second

// Caller is one connection of a caller. The zero value with an address is ready for Admit.
type Caller struct {
	Address netip.Addr

	state    State
	since    time.Time // start of the state
	progress time.Time // last time that bytes were transferred
	held     int64     // bytes of memory that it holds
	claiming bool      // it asks for room itself
	position int       // in Keeper.callers, counted from 1; 0 for a caller that has left
	siblings *int      // number of connections of the address, this one included
}

// State returns what the connection is used for.
func (c *Caller) State() State { return c.state }

// Held returns the bytes of memory that the connection holds.
func (c *Caller) Held() int64 { return c.held }

// Since returns when the state of the connection began.
func (c *Caller) Since() time.Time { return c.since }

// Keeper knows the connections of callers to one port. The zero value has no limit. It is not safe for concurrent use.
type Keeper struct {
	MaxConns int // 0 for no limit

	callers []*Caller
	count   map[netip.Addr]*int // connections by address
}

// Len returns the number of connections.
func (k *Keeper) Len() int { return len(k.callers) }

// Incomplete returns the number of connections whose first request has not begun, or whose request has not arrived as a whole.
func (k *Keeper) Incomplete() int {
	n := 0
	for _, c := range k.callers {
		if c.state == Arriving || c.state == Sending {
			n++
		}
	}
	return n
}

// Admit takes in a connection. The caller of Admit closes the evicted one, which has left, and the new one if it is not admitted.
func (k *Keeper) Admit(c *Caller, now time.Time) (evicted *Caller, admitted bool) {
	if k.MaxConns > 0 && len(k.callers) >= k.MaxConns {
		if evicted = k.oldest(); evicted == nil {
			return nil, false
		}
		k.Leave(evicted)
	}
	if k.count == nil {
		k.count = map[netip.Addr]*int{}
	}
	k.callers = append(k.callers, c)
	if c.siblings = k.count[c.Address]; c.siblings == nil {
		c.siblings = new(int)
		k.count[c.Address] = c.siblings
	}
	*c.siblings++
	c.position, c.state, c.since, c.progress = len(k.callers), Arriving, now, now
	return evicted, true
}

// oldest returns the connection that has been in its state for longest, among those of the address with most connections; nil if all
// connections are served.
func (k *Keeper) oldest() *Caller {
	var oldest *Caller
	for _, c := range k.callers {
		if c.state == Served {
			continue
		}
		if oldest == nil || *c.siblings > *oldest.siblings || *c.siblings == *oldest.siblings && c.since.Before(oldest.since) {
			oldest = c
		}
	}
	return oldest
}

// Move records that the state of a connection changes.
func (k *Keeper) Move(c *Caller, s State, now time.Time) { c.state, c.since, c.progress = s, now, now }

// Hold records that bytes were transferred, and how many more bytes of memory the connection holds since.
func (k *Keeper) Hold(c *Caller, bytes int64, now time.Time) {
	c.held += bytes
	c.progress = now
}

// SetClaiming records whether a connection waits for room. It does not make room for itself.
func (k *Keeper) SetClaiming(c *Caller, claiming bool) { c.claiming = claiming }

// MakeRoom returns the connections to close, which have left, so that size bytes more fit into memory. The closed ones may
// hold less than that. Who asks for size bytes takes no room of others that hold less and still make progress.
func (k *Keeper) MakeRoom(size int64, now time.Time) []*Caller {
	var evicted []*Caller
	for freed := int64(0); freed < size; {
		worst := k.worst(size, now)
		if worst == nil {
			break
		}
		freed += worst.held
		k.Leave(worst)
		evicted = append(evicted, worst)
	}
	return evicted
}

// worst returns the connection that has held most bytes for longest, nil if there is none to close.
func (k *Keeper) worst(size int64, now time.Time) *Caller {
	var worst *Caller
	var most float64
	for _, c := range k.callers {
		if c.state == Served || c.claiming || c.held == 0 || c.held <= size && now.Sub(c.progress) < stallTime {
			continue
		}
		if weight := float64(c.held) * float64(now.Sub(c.since)+1); weight > most {
			worst, most = c, weight
		}
	}
	return worst
}

// Leave records that a connection is closed. It does nothing for one that has left.
func (k *Keeper) Leave(c *Caller) {
	if c.position == 0 {
		return
	}
	last := k.callers[len(k.callers)-1]
	k.callers[c.position-1], last.position = last, c.position
	k.callers[len(k.callers)-1] = nil
	k.callers = k.callers[:len(k.callers)-1]
	c.position = 0
	if *c.siblings--; *c.siblings == 0 {
		delete(k.count, c.Address)
	}
}
