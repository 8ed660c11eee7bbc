package elector

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCollector guards against VMs of one failure domain that report to different VMs, or to one that does not answer.
func TestCollector(t *testing.T) {
	a, b, small := domainMembers("a", 6), domainMembers("b", 6), domainMembers("c", 4)
	all := append(append(append([]Member(nil), a...), b...), small...)
	var rank Collector
	rank.SetMembers(start, all)
	first, second, remote := rank.ranked["a"][0], rank.ranked["a"][1], rank.ranked["b"][0]
	cases := []struct {
		name   string
		self   Member
		failed []Member
		after  time.Duration
		own    string
		others []string
	}{
		{"calm", second, nil, 0, first.Name, []string{remote.Name}},
		{"the first itself", first, nil, 0, first.Name, []string{remote.Name}},
		{"the first failed", second, []Member{first}, time.Second, second.Name, []string{remote.Name}},
		{"the first answers again", second, []Member{first}, avoidDuration, first.Name, []string{remote.Name}},
		{"cut off", second, append(append([]Member(nil), a...), b...), 0, second.Name, nil},
		{"small failure domain", small[0], nil, 0, "", []string{first.Name, remote.Name}},
	}
	for _, c := range cases {
		v := Collector{Self: c.self}
		v.SetMembers(start, all)
		for _, m := range c.failed {
			v.Failed(start, m.Name)
		}
		own, _ := v.Own(start.Add(c.after))
		var others []string
		for _, m := range v.Others(start.Add(c.after)) {
			others = append(others, m.Name)
		}
		if own.Name != c.own || !cmp.Equal(c.others, others) {
			t.Errorf("%s: own %q, others %v, want %q and %v", c.name, own.Name, others, c.own, c.others)
		}
	}
}
