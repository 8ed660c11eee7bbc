// Package selector chooses the upstream of a sub-request.
package selector

import (
	"math/rand/v2"
	"slices"
	"time"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

// Policy names a way of choosing.
type Policy int

// ResultKind says how a sub-request ended.
type ResultKind int

// The ends of a sub-request.
const (
	OK ResultKind = iota
	Shed
	Refused
	Reset
	TimedOut
	Cancelled
	Unattributed
)

// Result is the end of a sub-request.
type Result struct {
	Latency time.Duration
	Kind    ResultKind
}

// Query says which upstreams are acceptable.
type Query struct {
	Group   int
	Version uint64
	Exclude []int
	Policy  Policy
}

// Upstream is the state of one upstream.
type Upstream struct {
	Row         tabler.UpstreamRow
	InFlight    int
	Incarnation uint64
	Draining    bool
	Held        []encoder.HeldVersion
}

// Set holds the upstreams of one service.
type Set struct{ ups []Upstream }

// Update takes new rows.
func (s *Set) Update(_ time.Time, rows []tabler.UpstreamRow, _ string) {
	ups := make([]Upstream, len(rows))
	for i := range rows {
		if j, ok := s.Index(rows[i].Upstream); ok {
			ups[i] = s.ups[j]
		}
		ups[i].Row = rows[i]
	}
	s.ups = ups
}

// Pick chooses an upstream with the fewest sub-requests in flight.
func (s *Set) Pick(_ time.Time, _ *rand.Rand, q Query) (int, bool) {
	best := -1
	for i := range s.ups {
		u := &s.ups[i]
		if u.Draining || u.Row.Weight == 0 || (q.Group >= 0 && u.Row.Group != q.Group) || slices.Contains(q.Exclude, i) || u.InFlight >= max(1, u.Row.Connections) {
			continue
		}
		if q.Version != 0 && len(u.Held) > 0 && !slices.ContainsFunc(u.Held, func(h encoder.HeldVersion) bool { return h.Version == q.Version }) {
			continue
		}
		if best < 0 || u.InFlight < s.ups[best].InFlight {
			best = i
		}
	}
	return best, best >= 0
}

// At returns an upstream.
func (s *Set) At(i int) *Upstream { return &s.ups[i] }

// Len returns the number of upstreams.
func (s *Set) Len() int { return len(s.ups) }

// Index returns the index of an upstream.
func (s *Set) Index(name string) (int, bool) {
	i := slices.IndexFunc(s.ups, func(u Upstream) bool { return u.Row.Upstream == name })
	return i, i >= 0
}

// Started counts a sub-request in flight.
func (s *Set) Started(_ time.Time, i int) { s.ups[i].InFlight++ }

// Finished ends a sub-request in flight.
func (s *Set) Finished(_ time.Time, i int, _ Result) { s.ups[i].InFlight-- }

// Observe takes the state on a reply.
func (s *Set) Observe(_ time.Time, i int, r *encoder.SubReply) (restarted, drainChanged bool) {
	u := &s.ups[i]
	restarted = u.Incarnation != 0 && r.Incarnation != u.Incarnation
	drainChanged = u.Draining != r.Draining
	u.Incarnation, u.Draining, u.Held = r.Incarnation, r.Draining, r.Held
	return restarted, drainChanged
}

// SetLeaving marks an upstream as leaving or back.
func (s *Set) SetLeaving(_ time.Time, i int, _ uint64, leaving bool) { s.ups[i].Draining = leaving }

// SetConnections sets how many connections are open.
func (s *Set) SetConnections(time.Time, int, int) {}
