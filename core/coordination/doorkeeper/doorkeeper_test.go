package doorkeeper

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func address(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
}

// entry describes a connection of a test.
type entry struct {
	address int
	state   State
	age     time.Duration
	held    int64
	silent  time.Duration // since its last progress
}

func fill(maxConns int, entries []entry) (*Keeper, map[*Caller]int) {
	k, names := &Keeper{MaxConns: maxConns}, map[*Caller]int{}
	for n, e := range entries {
		c := &Caller{Address: address(e.address)}
		k.Admit(c, start)
		k.Move(c, e.state, start.Add(-e.age))
		k.Hold(c, e.held, start.Add(-e.silent))
		names[c] = n
	}
	return k, names
}

// TestAdmit guards against a full VM that takes no further callers while silent ones hold its connections, and against requests in flight that are
// given up for new callers.
func TestAdmit(t *testing.T) {
	cases := []struct {
		name     string
		entries  []entry
		evicted  int // -1 for none
		admitted bool
	}{
		{"room", []entry{{1, Idle, time.Hour, 0, 0}}, -1, true},
		{"the longest idle", []entry{{1, Idle, 2, 0, 0}, {2, Idle, 3, 0, 0}, {3, Sending, 1, 0, 0}}, 1, true},
		{"an incomplete head", []entry{{1, Served, 9, 0, 0}, {2, Arriving, 3, 0, 0}, {3, Reading, 1, 0, 0}}, 1, true},
		{"the address with most connections", []entry{{1, Idle, 9, 0, 0}, {2, Sending, 2, 0, 0}, {2, Sending, 1, 0, 0}}, 1, true},
		{"all served", []entry{{1, Served, 9, 0, 0}, {1, Served, 9, 0, 0}, {2, Served, 9, 0, 0}}, -1, false},
	}
	for _, c := range cases {
		k, names := fill(3, c.entries)
		evicted, admitted := k.Admit(&Caller{Address: address(4)}, start)
		got := -1
		if evicted != nil {
			got = names[evicted]
		}
		if got != c.evicted || admitted != c.admitted {
			t.Errorf("%s: evicted %d, admitted %v, want %d and %v", c.name, got, admitted, c.evicted, c.admitted)
		}
	}
}

// TestMakeRoom guards against a crowd that holds the memory while it makes no progress, and against ordinary callers that are closed for others.
func TestMakeRoom(t *testing.T) {
	cases := []struct {
		name    string
		size    int64
		entries []entry
		want    []int
	}{
		{"most for longest", 100, []entry{{1, Sending, time.Second, 200, 0}, {2, Sending, 3 * time.Second, 150, 0}, {3, Sending, time.Second, 300, 0}}, []int{1}},
		{"as many as needed", 100, []entry{{1, Reading, 9 * time.Second, 60, time.Second}, {2, Arriving, 5 * time.Second, 60, time.Second}, {3, Idle, time.Second, 60, time.Second}}, []int{0, 1}},
		{"progress", 100, []entry{{1, Sending, time.Hour, 100, time.Second - 1}, {1, Sending, time.Second, 1, time.Second}}, []int{1}},
		{"served", 100, []entry{{1, Served, time.Hour, 1 << 20, time.Hour}}, nil},
		{"nothing held", 100, []entry{{1, Idle, time.Hour, 0, time.Hour}}, nil},
	}
	for _, c := range cases {
		k, names := fill(0, c.entries)
		var got []int
		for _, e := range k.MakeRoom(c.size, start) {
			got = append(got, names[e])
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: closed (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestCrowdBesideCallers plays ordinary callers beside a crowd of thousands that open connections, hold memory and never finish. Each ordinary
// caller is served: no crowd takes its connection while its request is in flight, and there is room for each request.
func TestCrowdBesideCallers(t *testing.T) {
	const (
		limit, memory      = 500, 1 << 20
		crowdHeld, ordinal = 32 << 10, 2 << 10
	)
	rapid.Check(t, func(t *rapid.T) {
		k, held, now := &Keeper{MaxConns: limit}, int64(0), start
		take := func(c *Caller, size int64) bool {
			if held+size > memory {
				for _, e := range k.MakeRoom(size, now) {
					held -= e.Held()
				}
			}
			if held+size > memory {
				return false
			}
			held += size
			k.Hold(c, size, now)
			return true
		}
		addresses := rapid.IntRange(1, 2000).Draw(t, "addresses of the crowd")
		pause := time.Duration(rapid.IntRange(0, 10).Draw(t, "milliseconds between connections")) * time.Millisecond
		admit := func(c *Caller) bool {
			evicted, admitted := k.Admit(c, now)
			if evicted != nil {
				if evicted.State() == Served {
					t.Fatal("a request in flight is given up")
				}
				held -= evicted.Held()
			}
			return admitted
		}
		for n := range 4000 {
			now = now.Add(pause)
			if n%20 != 0 {
				if c := (&Caller{Address: address(n % addresses)}); admit(c) {
					k.Move(c, []State{Arriving, Sending, Reading, Idle}[n%4], now)
					take(c, crowdHeld)
				}
				continue
			}
			c := &Caller{Address: address(1<<20 + n)}
			if !admit(c) || !take(c, ordinal) {
				t.Fatalf("ordinary caller %d finds no room beside %d connections and %d bytes", n, k.Len(), held)
			}
			k.Move(c, Served, now)
			k.Move(c, Reading, now)
			k.Leave(c)
			held -= c.Held()
			if k.Len() > limit || held > memory || held < 0 {
				t.Fatalf("%d connections, %d bytes", k.Len(), held)
			}
		}
		for k.Len() > 0 {
			k.Leave(k.callers[0])
		}
		if len(k.count) > 0 {
			t.Fatalf("%d addresses without a connection are counted", len(k.count))
		}
	})
}
