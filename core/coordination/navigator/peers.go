package navigator

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// failedPause is how long a peer that broke or did not answer a connect gets no requests at first. The pause doubles up to
	// maxFailedPause, because the entry of a dead VM stays for a minute.
	failedPause    = 500 * time.Millisecond
	maxFailedPause = 8 * time.Second
	// unreachedPause is how long a peer gets no requests that does not reach the upstreams itself.
	unreachedPause = time.Second
	// silentAfter is how long a peer may leave all of its requests unanswered before others are preferred.
	silentAfter = 500 * time.Millisecond
	// goneLifetime is how long a peer without an entry is kept in reserve. Entries disappear during a fault of the store.
	goneLifetime = 30 * time.Second
	// minBusyPause is the shortest pause of a peer that had no room.
	minBusyPause = 20 * time.Millisecond
	// remoteFactor multiplies the cost of a peer in another failure domain, because bytes between them are billed.
	remoteFactor = 1.5
	// exploreShare is the share of requests that may go to a peer which has not served any lately, so that a few peers do not get all of them.
	exploreShare = 0.05
)

// Peer is another VM that takes requests of callers.
type Peer struct {
	Name          string
	FailureDomain string
	Address       netip.AddrPort // where it takes requests of other VMs
}

// Peers selects the peer for a request by what the peers answered to earlier ones. The zero value knows no peers.
type Peers struct {
	peers []peerState // sorted by name
}

type peerState struct {
	Peer
	inFlight     int
	waitingSince time.Time // since when it has requests and has answered none
	goneAt       time.Time // when its entry disappeared; zero while it is registered
	servedAt     time.Time // zero before the first served request
	pausedUntil  time.Time
	failurePause time.Duration
}

// SetPeers replaces the peers. Those that stay keep their state, and those that disappear are kept in reserve.
func (p *Peers) SetPeers(now time.Time, all []Peer) {
	old := p.peers
	p.peers = make([]peerState, 0, len(all))
	for _, peer := range all {
		s := peerState{Peer: peer}
		if i := slices.IndexFunc(old, func(o peerState) bool { return o.Peer == peer }); i >= 0 {
			s = old[i]
			s.goneAt = time.Time{}
		}
		p.peers = append(p.peers, s)
	}
	for _, s := range old {
		if slices.ContainsFunc(all, func(peer Peer) bool { return peer.Name == s.Name }) {
			continue
		}
		if s.goneAt.IsZero() {
			s.goneAt = now
		}
		if now.Sub(s.goneAt) < goneLifetime {
			p.peers = append(p.peers, s)
		}
	}
	slices.SortFunc(p.peers, func(a, b peerState) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
}

// Len returns the number of peers.
func (p *Peers) Len() int { return len(p.peers) }

// Pick returns the peer for a request: the less loaded of two that are drawn at random, mostly from those that served requests lately, and in
// the own failure domain rather than in another one. It returns false if all peers are excluded or paused.
func (p *Peers) Pick(now time.Time, r *rand.Rand, domain string, exclude []string) (Peer, bool) {
	var open, tested, reserve []*peerState
	for k := range p.peers {
		s := &p.peers[k]
		switch {
		case now.Before(s.pausedUntil) || slices.Contains(exclude, s.Name) || !s.goneAt.IsZero() && now.Sub(s.goneAt) >= goneLifetime:
		case !s.goneAt.IsZero() || s.silent(now):
			reserve = append(reserve, s)
		default:
			open = append(open, s)
			if s.tested(now) {
				tested = append(tested, s)
			}
		}
	}
	if len(open) == 0 {
		open = reserve
	}
	if len(open) == 0 {
		return Peer{}, false
	}
	candidates := open
	if len(tested) > 0 && r.Float64() >= exploreShare {
		candidates = tested
	}
	best, other := candidates[r.IntN(len(candidates))], candidates[r.IntN(len(candidates))]
	if other.cost(domain) < best.cost(domain) {
		best = other
	}
	return best.Peer, true
}

// tested reports whether the peer served a request lately.
func (s *peerState) tested(now time.Time) bool {
	return !s.servedAt.IsZero() && now.Sub(s.servedAt) < reachedLifetime
}

// silent reports whether the peer has answered none of its requests for long.
func (s *peerState) silent(now time.Time) bool {
	return s.inFlight > 0 && now.Sub(s.waitingSince) > silentAfter
}

func (s *peerState) cost(domain string) float64 {
	cost := float64(s.inFlight + 1)
	if s.FailureDomain != domain {
		cost *= remoteFactor
	}
	return cost
}

func (p *Peers) find(name string) *peerState {
	if i := slices.IndexFunc(p.peers, func(s peerState) bool { return s.Name == name }); i >= 0 {
		return &p.peers[i]
	}
	return nil
}

// RecordStart records that a request is sent to a peer.
func (p *Peers) RecordStart(now time.Time, name string) {
	if s := p.find(name); s != nil {
		if s.inFlight == 0 {
			s.waitingSince = now
		}
		s.inFlight++
	}
}

// RecordEnd records how a request to a peer ended.
func (p *Peers) RecordEnd(now time.Time, name string, e End) {
	s := p.find(name)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if _, left := e.(Left); !left {
		s.waitingSince = now
	}
	switch e := e.(type) {
	case Served:
		s.servedAt, s.failurePause = now, 0
	case TurnedAway:
		s.failurePause = 0
		pause := max(minBusyPause, e.RetryAfter)
		if e.Unreached {
			pause, s.servedAt = max(pause, unreachedPause), time.Time{}
		}
		s.pausedUntil = laterOf(s.pausedUntil, now.Add(pause))
	case Broken:
		s.servedAt = time.Time{}
		s.failurePause = min(max(failedPause, 2*s.failurePause), maxFailedPause)
		s.pausedUntil = laterOf(s.pausedUntil, now.Add(s.failurePause))
	case Left: // says nothing about the peer
	}
}

// End is how a request to a peer ended.
type End interface{ isEnd() }

// Served means that the peer answered the request.
type Served struct{}

// TurnedAway means that the peer did not run the request. Unreached says that it does not reach the upstreams.
type TurnedAway struct {
	Unreached  bool
	RetryAfter time.Duration
}

// Broken means that the peer could not be reached or did not answer.
type Broken struct{}

// Left means that the answer was no longer needed.
type Left struct{}

func (Served) isEnd()     {}
func (TurnedAway) isEnd() {}
func (Broken) isEnd()     {}
func (Left) isEnd()       {}
