package elector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

func domain(name string, size int) []Member {
	all := make([]Member, size)
	for i := range all {
		all[i] = Member{Name: fmt.Sprintf("%s-%d", name, i), FailureDomain: name}
	}
	return all
}

// ranked returns the names of a failure domain in the order in which they are followed.
func ranked(all []Member) []string {
	var e Elector
	e.Self = Member{FailureDomain: all[0].FailureDomain}
	e.SetMembers(start, all)
	var names []string
	for _, m := range e.domain {
		names = append(names, m.Name)
	}
	return names
}

// TestSource guards against a VM that follows itself, a peer that failed or one in another failure domain, against a VM that asks several
// failing peers before the store, and against a VM that follows nobody although it cannot reach the store.
func TestSource(t *testing.T) {
	all := append(domain("a", 6), domain("b", 6)...)
	names := ranked(all)
	first, second := names[0], names[1]
	cases := []struct {
		name   string
		self   string
		all    []Member
		before func(e *Elector)
		after  time.Duration
		want   string // name of the peer, "" for the store
	}{
		{"calm", names[5], all, func(*Elector) {}, 0, first},
		{"the first reads itself", first, all, func(*Elector) {}, 0, ""},
		{"a small failure domain", "a-3", domain("a", 4), func(*Elector) {}, 0, ""},
		{"nobody is known", "a-3", nil, func(*Elector) {}, 0, ""},
		{"the store comes after a peer that failed", names[5], all, func(e *Elector) { e.PeerFailed(start, first) }, 0, ""},
		{"then the next peer", names[5], all, func(e *Elector) { e.PeerFailed(start, first); e.StoreAnswered() }, 0, second},
		{"the second reads itself then", second, all, func(e *Elector) { e.PeerFailed(start, first); e.StoreAnswered() }, 0, ""},
		{"the first is tried again", names[5], all, func(e *Elector) { e.PeerFailed(start, first); e.StoreAnswered() }, avoidTime, first},
		{"the store is down too", names[5], all, func(e *Elector) { e.PeerFailed(start, first); e.StoreFailed(start) }, 0, second},
		{"a stale peer", names[5], all, func(e *Elector) { e.PeerStale(start, first); e.StoreAnswered() }, staleTime - 1, ""},
		{"then the next peer after that", names[5], all, func(e *Elector) { e.PeerStale(start, first); e.StoreAnswered() }, staleTime, second},
		{"the first cannot reach the store", first, all, func(e *Elector) { e.StoreFailed(start) }, 0, second},
		{"and can again", first, all, func(e *Elector) { e.StoreFailed(start); e.StoreAnswered() }, 0, ""},
		{"everybody failed", names[5], all, func(e *Elector) {
			for _, n := range names {
				e.PeerFailed(start, n)
			}
			e.StoreFailed(start)
		}, 0, ""},
	}
	for _, c := range cases {
		e := &Elector{Self: Member{Name: c.self, FailureDomain: "a"}}
		e.SetMembers(start, c.all)
		c.before(e)
		got := ""
		if p, ok := e.Source(start.Add(c.after)).(Peer); ok {
			got = p.Member.Name
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: source (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestRank guards against a reader with a narrow link, whose requests wait behind the manifests that it sends to its followers.
func TestRank(t *testing.T) {
	all := domain("a", 20)
	all[13].LinkMbps, all[17].LinkMbps = 140, 140
	got := ranked(all)
	slices.Sort(got[:2])
	if diff := cmp.Diff([]string{"a-13", "a-17"}, got[:2]); diff != "" {
		t.Errorf("first two (-want +got):\n%s", diff)
	}
}

// TestFleetSize guards against shares of connections that grow while the entries of living VMs are missing for a moment.
func TestFleetSize(t *testing.T) {
	cases := []struct {
		name  string
		sizes []int // one a second
		after time.Duration
		want  int
	}{
		{"unknown", nil, 0, 0},
		{"grows at once", []int{1, 30}, 0, 30},
		{"entries are missing for a moment", []int{30, 2, 30}, time.Hour, 30},
		{"they are missing now", []int{30, 2}, shrinkTime - time.Second, 30},
		{"the fleet has shrunk", []int{30, 2, 20}, shrinkTime, 20},
	}
	for _, c := range cases {
		var e Elector
		now := start
		for i, n := range c.sizes {
			now = start.Add(time.Duration(i) * time.Second)
			e.SetMembers(now, domain("a", n))
		}
		if got := e.FleetSize(now.Add(c.after)); got != c.want {
			t.Errorf("%s: size %d, want %d", c.name, got, c.want)
		}
	}
}

// TestFailuresAreForgotten guards against a list of failed VMs that grows with each VM that was ever replaced.
func TestFailuresAreForgotten(t *testing.T) {
	var e Elector
	for i := range 1000 {
		e.PeerFailed(start, fmt.Sprintf("vm%d", i))
	}
	e.SetMembers(start.Add(avoidTime), domain("a", 6))
	if len(e.failed) != 0 {
		t.Errorf("%d failures are kept", len(e.failed))
	}
}
