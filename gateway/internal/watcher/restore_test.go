package watcher

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap/zapcore"

	"comfreyroute/core/coordination/elector"
	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/coordination/reporter"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/gateway/internal/relayer"
	"comfreyroute/platform/translator"
)

// memoryStore is a store in memory with a history, which can be restored from a copy. It must be used in a synctest bubble, where one
// goroutine runs at a time between two waits.
type memoryStore struct {
	items    map[string]translator.Item
	history  []translator.Item
	revision uint64
	era      uint64
	down     bool
}

func newMemoryStore() *memoryStore { return &memoryStore{items: map[string]translator.Item{}, era: 1} }

// put writes a value; an empty one removes the key.
func (s *memoryStore) put(key, value string) {
	s.revision++
	item := translator.Item{Key: key, Value: []byte(value), Revision: s.revision, Removed: value == ""}
	s.items[key] = item
	s.history = append(s.history, item)
}

func (s *memoryStore) putManifest(version uint64) {
	s.put(translator.ManifestKey, fmt.Sprintf(`{"version":%d}`, version))
}

// putUpstream writes the entry of an upstream with the number of its writes so far. A number of 0 removes the entry.
func (s *memoryStore) putUpstream(name, state string, writes int) {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.%d:80","zone":"d","slots":2,"state":%q,"seq":%d,"born":1000}`, name[0]-'a'+1, state, writes)
	if writes == 0 {
		value = ""
	}
	s.put("servers/"+name, value)
}

func (s *memoryStore) putVM(name string, host int) {
	s.put("vms/"+name, fmt.Sprintf(`{"domain":"d","address":"10.1.0.%d:7741","link":1}`, host))
}

func (s *memoryStore) copyOf() *memoryStore {
	return &memoryStore{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision}
}

// restore brings the store back from a copy.
func (s *memoryStore) restore(c *memoryStore) {
	s.items, s.history, s.revision, s.era, s.down = c.items, c.history, c.revision, s.era+1, false
}

func (s *memoryStore) ReadAll(context.Context) (*translator.Changes, error) {
	if s.down {
		return nil, eris.New("the store is down")
	}
	var all []translator.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !s.items[key].Removed {
			all = append(all, s.items[key])
		}
	}
	return s.changes(all)
}

func (s *memoryStore) Watch(_ context.Context, after uint64, wait time.Duration) (*translator.Changes, error) {
	const interval = 10 * time.Millisecond
	for end := time.Now().Add(wait); ; time.Sleep(interval) {
		if s.down {
			return nil, eris.New("the store is down")
		}
		if after > s.revision {
			return nil, translator.ErrCompacted
		}
		if i := slices.IndexFunc(s.history, func(i translator.Item) bool { return i.Revision > after }); i >= 0 {
			return s.changes(s.history[i:])
		}
		if !time.Now().Before(end) {
			return s.changes(nil)
		}
	}
}

func (s *memoryStore) changes(items []translator.Item) (*translator.Changes, error) {
	c, err := translator.DecodeChanges(slices.Clone(items), s.revision)
	if err == nil {
		c.Era = s.era
	}
	return c, err
}

func (s *memoryStore) Reconnect() {}

// watchedVM is a VM that watches a memoryStore.
type watchedVM struct {
	watcher   *Watcher
	manifest  uint64 // version of the last one
	upstreams string // the last listed ones
	listings  []string
	removed   int // calls of OnRemoved
	evacuated []string
	first     []string // evacuated failure domains at the first listing of upstreams
}

// histories answers requests to VMs from their histories.
type histories map[netip.AddrPort]*relayer.History

func (h histories) ChangesSince(ctx context.Context, address netip.AddrPort, q relayer.ChangesRequest) (*relayer.ChangesResponse, error) {
	r := h[address].ChangesSince(ctx, q)
	return &r, nil
}

// startVMs starts VMs of one failure domain, which follow one of them, and returns a function that stops them. They are registered in the
// store.
func startVMs(t *testing.T, s *memoryStore, n int) (all []*watchedVM, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	peers := histories{}
	var running sync.WaitGroup
	for i := range n {
		v, self := &watchedVM{}, elector.Member{Name: fmt.Sprintf("vm%d", i), FailureDomain: "d"}
		s.putVM(self.Name, i)
		history := &relayer.History{}
		peers[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7741)] = history
		v.watcher = &Watcher{
			Store: s, Peers: peers, Elector: elector.Elector{Self: self, MinDomainSize: 2}, History: history,
			DrainTime: 3 * time.Second, EntryLifetime: 3600 * time.Millisecond, ReregisterTime: 2 * time.Second, StableWindow: 4 * time.Second, ApplyTime: 3 * time.Second,
			OnManifest:    func(m *forwarder.Manifest) { v.manifest = m.Version },
			OnEvacuations: func(all []string) { v.evacuated = all },
			OnUpstreams: func(all []forwarder.Upstream) {
				if len(v.listings) == 0 {
					v.first = v.evacuated
				}
				v.upstreams = describeUpstreams(all)
				v.listings = append(v.listings, v.upstreams)
			},
			OnFleetSize: func(int) {}, OnRatings: func([]reporter.Rating) {}, OnRemoved: func() { v.removed++ },
			TakeReports: func() []reporter.Report { return nil }, Log: logger.New(zapcore.AddSync(io.Discard), self.Name),
		}
		all = append(all, v)
	}
	for _, v := range all {
		running.Go(func() { v.watcher.Run(ctx) })
	}
	time.Sleep(2 * time.Second)
	return all, func() {
		cancel()
		running.Wait()
		for _, v := range all {
			if err := v.watcher.Log.Close(); err != nil {
				t.Error(err)
			}
		}
	}
}

// describeUpstreams returns the names of upstreams, with "-" for a draining one.
func describeUpstreams(all []forwarder.Upstream) string {
	var out []string
	for _, u := range all {
		if u.Draining {
			u.Name += "-"
		}
		out = append(out, u.Name)
	}
	return strings.Join(out, " ")
}

// TestManifestAfterRestore guards against a VM that keeps an old manifest after the store was restored from a copy and has given out the
// VM's revision again.
func TestManifestAfterRestore(t *testing.T) {
	const applyTime = 3 * time.Second
	cases := []struct {
		name   string
		vms    int
		down   time.Duration
		after  func(s *memoryStore) // writes after the restore
		before int                  // writes that the copy lacks
	}{
		{"lower revision", 1, time.Second, func(s *memoryStore) { s.putManifest(3) }, 3},
		{"the manifest has a revision that was given out before", 1, time.Second, func(s *memoryStore) {
			s.putManifest(3)
			for range 3 {
				s.putUpstream("b", "ready", 9)
			}
		}, 3},
		{"the same revision", 1, time.Second, func(s *memoryStore) { s.putManifest(3) }, 1},
		{"a moment", 1, 0, func(s *memoryStore) {
			s.putManifest(3)
			for range 3 {
				s.putUpstream("b", "ready", 9)
			}
		}, 3},
		{"followers", 4, time.Second, func(s *memoryStore) { s.putManifest(3) }, 3},
		{"followers, the manifest has a revision that was given out before", 4, time.Second, func(s *memoryStore) {
			s.putManifest(3)
			for range 3 {
				s.putUpstream("b", "ready", 9)
			}
		}, 3},
		{"followers, a moment", 4, 0, func(s *memoryStore) { s.putManifest(3) }, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newMemoryStore()
				s.putManifest(2)
				s.putUpstream("a", "ready", 1)
				vms, stop := startVMs(t, s, c.vms)
				defer stop()
				saved := s.copyOf()
				for k := range c.before {
					s.putUpstream("b", "ready", k+1)
				}
				time.Sleep(2 * time.Second)
				s.down = c.down > 0
				time.Sleep(c.down)
				s.restore(saved)
				c.after(s)
				time.Sleep(applyTime)
				for _, v := range vms {
					if v.manifest != 3 {
						t.Errorf("%s has manifest %d, want 3", v.watcher.Elector.Self.Name, v.manifest)
					}
				}
			})
		})
	}
}

// TestUpstreamsAfterRestore guards against upstreams that are used again in an old state, or forgotten, because the store was restored from
// a copy that does not know their last writes.
func TestUpstreamsAfterRestore(t *testing.T) {
	cases := []struct {
		name   string
		lost   func(s *memoryStore) // writes that the copy lacks
		after  func(s *memoryStore) // what the upstreams do after the restore
		listed []string             // in this order, from the last moment before the restore until 10 s after it
	}{
		{"nothing lost", func(*memoryStore) {}, func(*memoryStore) {}, []string{"a b"}},
		{"draining", func(s *memoryStore) { s.putUpstream("a", "draining", 2) },
			func(s *memoryStore) { time.Sleep(time.Second); s.putUpstream("a", "draining", 3) }, []string{"a- b"}},
		{"draining, then gone", func(s *memoryStore) { s.putUpstream("a", "draining", 2) },
			func(s *memoryStore) { time.Sleep(3 * time.Second); s.putUpstream("a", "", 0) }, []string{"a- b", "b"}},
		{"gone, and its entry in the copy expires", func(s *memoryStore) { s.putUpstream("a", "", 0); time.Sleep(3 * time.Second) },
			func(s *memoryStore) { time.Sleep(3600 * time.Millisecond); s.putUpstream("a", "", 0) }, []string{"b"}},
		{"gone, and restored again", func(s *memoryStore) { s.putUpstream("a", "", 0); time.Sleep(3 * time.Second) },
			func(s *memoryStore) {
				time.Sleep(time.Second)
				s.restore(s.copyOf())
				time.Sleep(3600 * time.Millisecond)
				s.putUpstream("a", "", 0)
			}, []string{"b"}},
		{"taken for gone, but alive", func(s *memoryStore) { s.putUpstream("a", "", 0); time.Sleep(3 * time.Second) },
			func(*memoryStore) {}, []string{"b", "a b"}},
		{"taken for gone, and written again", func(s *memoryStore) { s.putUpstream("a", "", 0); time.Sleep(3 * time.Second) },
			func(s *memoryStore) { time.Sleep(time.Second); s.putUpstream("a", "ready", 4) }, []string{"b", "a b"}},
		{"new, written again in time", func(s *memoryStore) { s.putUpstream("c", "ready", 1) },
			func(s *memoryStore) { time.Sleep(1900 * time.Millisecond); s.putUpstream("c", "ready", 2) }, []string{"a b c"}},
		{"new, and gone", func(s *memoryStore) { s.putUpstream("c", "ready", 1) }, func(*memoryStore) {}, []string{"a b c", "a b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newMemoryStore()
				s.putManifest(2)
				s.putUpstream("a", "ready", 1)
				s.putUpstream("b", "ready", 1)
				vms, stop := startVMs(t, s, 1)
				defer stop()
				v := vms[0]
				saved := s.copyOf()
				c.lost(s)
				time.Sleep(time.Second)
				v.listings = []string{v.upstreams}
				s.down = true
				time.Sleep(500 * time.Millisecond)
				s.restore(saved)
				restored := time.Now()
				c.after(s)
				time.Sleep(10*time.Second - time.Since(restored))
				if diff := cmp.Diff(c.listed, slices.Compact(v.listings)); diff != "" {
					t.Errorf("upstreams (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestRegisteredAfterRestore guards against a VM without an entry after the store was restored from a copy that lacks it.
func TestRegisteredAfterRestore(t *testing.T) {
	for _, c := range []struct {
		name string
		seen bool // the VM has seen its entry in the store
	}{{"entry seen", true}, {"entry not seen", false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newMemoryStore()
				s.putManifest(2)
				saved := s.copyOf()
				vms, stop := startVMs(t, s, 1)
				defer stop()
				if !c.seen {
					s.put("vms/vm0", "")
					time.Sleep(5 * time.Second)
					vms[0].removed = 0
				}
				s.restore(saved)
				time.Sleep(5 * time.Second)
				if vms[0].removed != 1 {
					t.Errorf("OnRemoved called %d times, want 1", vms[0].removed)
				}
			})
		})
	}
}

// TestPeerOfAnotherEra guards against following a peer whose revisions are of another era: changes are missed, or old ones applied.
func TestPeerOfAnotherEra(t *testing.T) {
	cases := []struct {
		name  string
		era   uint64 // of the peer; this VM has era 2
		calls []string
	}{
		{"the peer knows of a restore", 3, []string{"read", "read"}},
		{"the peer names no era", 0, []string{"read", "watch"}},
	}
	peer := translator.VMEntry{Revision: 1, Member: elector.Member{Name: "vm2", FailureDomain: "d", Address: netip.MustParseAddrPort("10.0.0.2:7741")}}
	for _, c := range cases {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		s := &fakeStore{manifest: 1, era: 2, cancel: cancel, vms: []translator.VMEntry{peer}}
		p := &fakePeer{responses: []func() (*relayer.ChangesResponse, error){
			func() (*relayer.ChangesResponse, error) {
				s.era = max(s.era, c.era)
				return &relayer.ChangesResponse{Incomplete: c.era != 0, Era: c.era, Revision: 9}, nil
			},
			func() (*relayer.ChangesResponse, error) {
				cancel()
				return &relayer.ChangesResponse{Era: c.era, Revision: 9}, nil
			},
		}}
		w := &Watcher{
			Store: s, Peers: p, Elector: elector.Elector{Self: elector.Member{Name: "vm1", FailureDomain: "d"}, MinDomainSize: 1}, DrainTime: 3 * time.Second,
			ApplyTime: 3 * time.Second, Log: logger.New(zapcore.AddSync(io.Discard), "vm"), OnUpstreams: func([]forwarder.Upstream) {},
			OnManifest: func(*forwarder.Manifest) {}, OnFleetSize: func(int) {}, OnRatings: func([]reporter.Rating) {}, OnRemoved: func() {},
		}
		w.Run(ctx)
		cancel()
		if diff := cmp.Diff(c.calls, s.calls); diff != "" {
			t.Errorf("%s: calls to the store (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestStoreOfLowerEra guards against reading all keys again and again from a store whose era is lower, as after a change of its address.
func TestStoreOfLowerEra(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s := &fakeStore{manifest: 1, era: 5, cancel: cancel}
	lower := func() (*translator.Changes, error) {
		s.era = 3
		return &translator.Changes{Revision: 8, Era: s.era}, nil
	}
	s.watches = []func() (*translator.Changes, error){lower, lower, lower}
	w := &Watcher{
		Store: s, DrainTime: 3 * time.Second, ApplyTime: 3 * time.Second, Log: logger.New(zapcore.AddSync(io.Discard), "vm"),
		OnUpstreams: func([]forwarder.Upstream) {}, OnManifest: func(*forwarder.Manifest) {}, OnRemoved: func() {},
	}
	w.Run(ctx)
	if diff := cmp.Diff([]string{"read", "watch", "read", "watch", "watch", "watch"}, s.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}
