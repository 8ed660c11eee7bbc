package elector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

func domainMembers(name string, size int) []Member {
	all := make([]Member, size)
	for i := range all {
		all[i] = Member{Name: fmt.Sprintf("%s-%d", name, i), FailureDomain: name}
	}
	return all
}

// rankedNames returns the names of a failure domain in the order in which they are followed.
func rankedNames(all []Member) []string {
	var e Elector
	e.Self = Member{FailureDomain: all[0].FailureDomain}
	e.SetMembers(start, all)
	var names []string
	for _, m := range e.ranked {
		names = append(names, m.Name)
	}
	return names
}

// TestSource guards against a VM that follows itself, a failed peer or one in another failure domain, against asking several failed
// peers before the store, and against asking the store again when it cannot be reached but a peer can.
func TestSource(t *testing.T) {
	all := append(domainMembers("a", 6), domainMembers("b", 6)...)
	names := rankedNames(all)
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
		{"the first reads the store", first, all, func(*Elector) {}, 0, ""},
		{"small failure domain", "a-3", domainMembers("a", 4), func(*Elector) {}, 0, ""},
		{"no members", "a-3", nil, func(*Elector) {}, 0, ""},
		{"the store after a failed peer", names[5], all, func(e *Elector) { e.PeerFailed(start, first) }, 0, ""},
		{"the second after a failed peer and the store", names[5], all, func(e *Elector) { e.PeerFailed(start, first); e.StoreAnswered() }, 0, second},
		{"the second reads the store after the first failed", second, all, func(e *Elector) { e.PeerFailed(start, first); e.StoreAnswered() }, 0, ""},
		{"the first again after avoidDuration", names[5], all, func(e *Elector) { e.PeerFailed(start, first); e.StoreAnswered() }, avoidDuration, first},
		{"the second when the first and the store failed", names[5], all, func(e *Elector) { e.PeerFailed(start, first); e.StoreFailed(start) }, 0, second},
		{"the store after a stale peer", names[5], all, func(e *Elector) { e.PeerStale(start, first) }, time.Hour, ""},
		{"the second once the store has answered", names[5], all, func(e *Elector) { e.PeerStale(start, first); e.StoreAnswered() }, 0, second},
		{"the second once the store has failed", names[5], all, func(e *Elector) { e.PeerStale(start, first); e.StoreFailed(start) }, 0, second},
		{"the second when the first cannot reach the store", first, all, func(e *Elector) { e.StoreFailed(start) }, 0, second},
		{"the first reads the store once it answers again", first, all, func(e *Elector) { e.StoreFailed(start); e.StoreAnswered() }, 0, ""},
		{"the store when all VMs failed", names[5], all, func(e *Elector) {
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

// TestRank guards against electing a reader with a slow link, on which its requests wait behind the manifests that it sends to its
// followers.
func TestRank(t *testing.T) {
	all := domainMembers("a", 20)
	all[13].LinkMbps, all[17].LinkMbps = 140, 140
	got := rankedNames(all)
	slices.Sort(got[:2])
	if diff := cmp.Diff([]string{"a-13", "a-17"}, got[:2]); diff != "" {
		t.Errorf("first two (-want +got):\n%s", diff)
	}
}

// TestFleetSize guards against a smaller fleet size, and thus larger connection shares, while the entries of VMs that are alive are
// missing temporarily.
func TestFleetSize(t *testing.T) {
	cases := []struct {
		name  string
		sizes []int // one per second
		after time.Duration
		want  int
	}{
		{"unknown", nil, 0, 0},
		{"grows immediately", []int{1, 30}, 0, 30},
		{"entries were missing temporarily", []int{30, 2, 30}, time.Hour, 30},
		{"entries are missing for less than shrinkDelay", []int{30, 2}, shrinkDelay - time.Second, 30},
		{"the fleet is smaller for shrinkDelay", []int{30, 2, 20}, shrinkDelay, 20},
	}
	for _, c := range cases {
		var e Elector
		now := start
		for i, n := range c.sizes {
			now = start.Add(time.Duration(i) * time.Second)
			e.SetMembers(now, domainMembers("a", n))
		}
		if got := e.FleetSize(now.Add(c.after)); got != c.want {
			t.Errorf("%s: size %d, want %d", c.name, got, c.want)
		}
	}
}

// TestFailuresAreForgotten guards against keeping the failure of each VM that was ever replaced.
func TestFailuresAreForgotten(t *testing.T) {
	var e Elector
	for i := range 1000 {
		e.PeerFailed(start, fmt.Sprintf("vm%d", i))
	}
	e.SetMembers(start.Add(avoidDuration), domainMembers("a", 6))
	if len(e.failedAt) != 0 {
		t.Errorf("%d failures are kept", len(e.failedAt))
	}
}
