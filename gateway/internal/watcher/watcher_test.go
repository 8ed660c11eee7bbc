package watcher

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"testing"
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

func entry(name string, revision uint64, host byte) translator.UpstreamEntry {
	return translator.UpstreamEntry{Name: name, Usable: true, Revision: revision, Upstream: forwarder.Upstream{
		Name: name, Service: "s", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 80),
	}}
}

func names(all []forwarder.Upstream) []string {
	out := []string{}
	for _, u := range all {
		out = append(out, u.Name)
	}
	return out
}

// TestRegistry guards against upstreams that vanish while the store is away, and against ones that are kept too long, under an
// address that another server has, or in an older state.
func TestRegistry(t *testing.T) {
	start := time.Unix(100, 0)
	removed := translator.UpstreamEntry{Name: "a", Removed: true, Revision: 9}
	unusable := translator.UpstreamEntry{Name: "a", Revision: 9}
	cases := []struct {
		name   string
		change func(r *registry)
		after  time.Duration
		want   []string
	}{
		{"calm", func(*registry) {}, time.Hour, []string{"a", "b"}},
		{"a removed entry is kept for a while", func(r *registry) { r.apply(start, removed) }, time.Second, []string{"a", "b"}},
		{"then it is gone", func(r *registry) { r.apply(start, removed) }, 2 * time.Second, []string{"b"}},
		{"it comes back", func(r *registry) { r.apply(start, removed); r.apply(start, entry("a", 10, 1)) }, time.Hour, []string{"a", "b"}},
		{"an entry that a listing lacks is kept for a while", func(r *registry) { r.replace(start, []translator.UpstreamEntry{entry("b", 1, 2)}) }, time.Second, []string{"a", "b"}},
		{"then it is gone too", func(r *registry) { r.replace(start, []translator.UpstreamEntry{entry("b", 1, 2)}) }, 2 * time.Second, []string{"b"}},
		{"its address belongs to the next one", func(r *registry) { r.apply(start, removed); r.apply(start, entry("c", 10, 1)) }, 0, []string{"b", "c"}},
		{"an older state changes nothing", func(r *registry) {
			r.apply(start, entry("a", 5, 1))
			r.apply(start, translator.UpstreamEntry{Name: "a", Removed: true, Revision: 4})
		},
			time.Hour, []string{"a", "b"}},
		{"an unusable entry names no server", func(r *registry) { r.apply(start, unusable) }, 0, []string{"b"}},
	}
	for _, c := range cases {
		r := &registry{retention: 2 * time.Second}
		r.replace(start, []translator.UpstreamEntry{entry("a", 1, 1), entry("b", 1, 2)})
		c.change(r)
		r.expire(start.Add(c.after))
		if diff := cmp.Diff(c.want, names(r.upstreams())); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// fakeStore is a store whose calls do what a test says, in turn.
type fakeStore struct {
	calls      []string
	watches    []func() (*translator.Changes, error)
	manifest   uint64 // version, 0 for none
	vms        []translator.VMEntry
	reconnects int
	wait       time.Duration // of the last watch
	cancel     context.CancelFunc
}

func (s *fakeStore) ReadAll(context.Context) (*translator.Changes, error) {
	s.calls = append(s.calls, "read")
	c := &translator.Changes{Revision: 7, Upstreams: []translator.UpstreamEntry{entry("a", 1, 1)}, VMs: s.vms}
	if s.manifest > 0 {
		c.Manifest = forwarder.NewManifest(s.manifest, nil, nil, forwarder.Limits{})
	}
	return c, nil
}

func (s *fakeStore) Watch(_ context.Context, after uint64, wait time.Duration) (*translator.Changes, error) {
	s.calls = append(s.calls, "watch")
	s.wait = wait
	if len(s.watches) == 0 {
		s.cancel()
		return &translator.Changes{Revision: after}, nil
	}
	w := s.watches[0]
	s.watches = s.watches[1:]
	return w()
}

func (s *fakeStore) Reconnect() { s.reconnects++ }

// TestWatcher guards against manifests that are missed or reverted, against a reading of everything that nothing asks for, and
// against a wait on a connection that stays silent.
func TestWatcher(t *testing.T) {
	manifest := func(v uint64) *forwarder.Manifest { return forwarder.NewManifest(v, nil, nil, forwarder.Limits{}) }
	change := func(c translator.Changes, err error) func() (*translator.Changes, error) {
		return func() (*translator.Changes, error) { return &c, err }
	}
	cases := []struct {
		name       string
		manifest   uint64
		watches    []func() (*translator.Changes, error)
		calls      []string
		versions   []uint64
		reconnects int
	}{
		{"calm", 1, nil, []string{"read", "watch"}, []uint64{1}, 0},
		{"no manifest yet", 0, []func() (*translator.Changes, error){change(translator.Changes{Revision: 8, Manifest: manifest(2)}, nil)},
			[]string{"read", "watch", "watch"}, []uint64{2}, 0},
		{"history dropped", 1, []func() (*translator.Changes, error){change(translator.Changes{}, translator.ErrCompacted)},
			[]string{"read", "watch", "read", "watch"}, []uint64{1}, 0},
		{"an older manifest", 1, []func() (*translator.Changes, error){change(translator.Changes{Revision: 8, Manifest: manifest(1)}, nil)},
			[]string{"read", "watch", "watch"}, []uint64{1}, 0},
		{"the store is away", 1, []func() (*translator.Changes, error){change(translator.Changes{}, eris.New("refused"))},
			[]string{"read", "watch", "watch"}, []uint64{1}, 0},
		{"a silent connection", 1, []func() (*translator.Changes, error){change(translator.Changes{}, eris.Wrap(context.DeadlineExceeded, "call"))},
			[]string{"read", "watch", "watch"}, []uint64{1}, 1},
	}
	for _, c := range cases {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		s := &fakeStore{manifest: c.manifest, watches: c.watches, cancel: cancel}
		var versions []uint64
		var listed []string
		w := &Watcher{
			Store: s, DrainTime: 3 * time.Second, ReregisterTime: 2 * time.Second, Log: logger.New(zapcore.AddSync(io.Discard), "vm"),
			OnManifest:  func(m *forwarder.Manifest) { versions = append(versions, m.Version) },
			OnUpstreams: func(u []forwarder.Upstream) { listed = names(u) },
		}
		w.Run(ctx)
		cancel()
		if diff := cmp.Diff(c.calls, s.calls); diff != "" {
			t.Errorf("%s: calls (-want +got):\n%s", c.name, diff)
		}
		if diff := cmp.Diff(c.versions, versions); diff != "" {
			t.Errorf("%s: versions (-want +got):\n%s", c.name, diff)
		}
		if diff := cmp.Diff([]string{"a"}, listed); diff != "" || s.reconnects != c.reconnects {
			t.Errorf("%s: %d reconnects, upstreams (-want +got):\n%s", c.name, s.reconnects, diff)
		}
	}
}

// fakePeer is a peer whose responses do what a test says, in turn.
type fakePeer struct {
	asked   []string
	reports []reporter.Report
	answers []func() (*relayer.ChangesResponse, error)
}

func (p *fakePeer) ChangesSince(_ context.Context, address netip.AddrPort, q relayer.ChangesRequest) (*relayer.ChangesResponse, error) {
	p.reports = append(p.reports, q.Reports...)
	p.asked = append(p.asked, address.String())
	a := p.answers[0]
	p.answers = p.answers[1:]
	return a()
}

// TestFollow guards against changes of a peer that are not taken or not passed on to further VMs, and against a VM that goes on asking a
// peer that does not answer, or that has lost the store, instead of the store.
func TestFollow(t *testing.T) {
	rating := []reporter.Rating{{Service: "s", Upstream: "u", Errors: 0.5}}
	var rated []reporter.Rating
	config := relayer.Record{Key: translator.ManifestKey, Value: []byte(`{"version":2}`), Revision: 9}
	cases := []struct {
		name     string
		answer   *relayer.ChangesResponse
		err      error
		versions []uint64
		history  uint64
	}{
		{"a change", &relayer.ChangesResponse{Revision: 9, Records: []relayer.Record{config}, Ratings: rating}, nil, []uint64{1, 2}, 9},
		{"nothing new", &relayer.ChangesResponse{Revision: 8}, nil, []uint64{1}, 8},
		{"no response", nil, eris.New("refused"), []uint64{1}, 7},
		{"the peer has lost the store", &relayer.ChangesResponse{Revision: 9, Age: time.Minute, Records: []relayer.Record{config}}, nil, []uint64{1}, 7},
		{"the peer does not know every change", &relayer.ChangesResponse{Incomplete: true, Revision: 9}, nil, []uint64{1}, 7},
		{"a manifest that cannot be read", &relayer.ChangesResponse{Revision: 9, Records: []relayer.Record{{Key: translator.ManifestKey, Revision: 9}}}, nil, []uint64{1}, 7},
	}
	peer := translator.VMEntry{Revision: 1, Member: elector.Member{Name: "vm2", FailureDomain: "d", Address: netip.MustParseAddrPort("10.0.0.2:7741")}}
	for _, c := range cases {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		s := &fakeStore{manifest: 1, cancel: cancel, vms: []translator.VMEntry{peer}}
		p := &fakePeer{answers: []func() (*relayer.ChangesResponse, error){func() (*relayer.ChangesResponse, error) { return c.answer, c.err }, func() (*relayer.ChangesResponse, error) {
			cancel() // the second question ends the case of a peer that answers
			return &relayer.ChangesResponse{Revision: c.history}, nil
		}}}
		var versions []uint64
		w := &Watcher{
			Store: s, Peers: p, Elector: elector.Elector{Self: elector.Member{Name: "vm1", FailureDomain: "d"}, MinDomainSize: 1}, History: &relayer.History{},
			DrainTime: 3 * time.Second, ApplyTime: 3 * time.Second, Log: logger.New(zapcore.AddSync(io.Discard), "vm"), OnUpstreams: func([]forwarder.Upstream) {},
			OnManifest: func(m *forwarder.Manifest) { versions = append(versions, m.Version) }, OnFleetSize: func(int) {},
			TakeReports: func() []reporter.Report { return []reporter.Report{{Upstream: "u"}} }, OnRatings: func(r []reporter.Rating) { rated = append(rated, r...) },
		}
		w.Run(ctx)
		cancel()
		if diff := cmp.Diff(c.versions, versions); diff != "" {
			t.Errorf("%s: versions (-want +got):\n%s", c.name, diff)
		}
		if len(p.reports) == 0 || c.answer != nil && len(c.answer.Ratings) > 0 && len(rated) == 0 {
			t.Errorf("%s: reports %v, ratings %v", c.name, p.reports, rated)
		}
		failed := c.history == 7
		if asksStore := slices.Contains(s.calls, "watch"); asksStore != failed || p.asked[0] != "10.0.0.2:7741" {
			t.Errorf("%s: calls to the store %v, to peers %v", c.name, s.calls, p.asked)
		}
		if a := w.History.ChangesSince(context.Background(), relayer.ChangesRequest{After: 7, MaxAge: time.Hour}); a.Revision != c.history {
			t.Errorf("%s: tells revision %d to others, want %d", c.name, a.Revision, c.history)
		}
	}
}

// TestReportsAreTaken guards against reports that pile up in a VM that nobody follows.
func TestReportsAreTaken(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	taken := 0
	w := &Watcher{
		Store: &fakeStore{cancel: cancel}, Log: logger.New(zapcore.AddSync(io.Discard), "vm"), OnUpstreams: func([]forwarder.Upstream) {},
		TakeReports: func() []reporter.Report { taken++; return nil },
	}
	w.Run(ctx)
	if taken == 0 {
		t.Error("reports are never taken")
	}
}

// TestStoreStaysLost guards against a log that says the store is back because a peer has answered.
func TestStoreStaysLost(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	member := func(name string) translator.VMEntry {
		return translator.VMEntry{Revision: 1, Member: elector.Member{Name: name, FailureDomain: "d", Address: netip.MustParseAddrPort("10.0.0.2:7741")}}
	}
	s := &fakeStore{manifest: 1, cancel: cancel, vms: []translator.VMEntry{member("vm2"), member("vm3")}}
	s.watches = []func() (*translator.Changes, error){func() (*translator.Changes, error) { return nil, eris.New("refused") }}
	p := &fakePeer{answers: []func() (*relayer.ChangesResponse, error){
		func() (*relayer.ChangesResponse, error) { return nil, eris.New("refused") },
		func() (*relayer.ChangesResponse, error) { cancel(); return &relayer.ChangesResponse{Revision: 8}, nil },
	}}
	w := &Watcher{
		Store: s, Peers: p, Elector: elector.Elector{Self: elector.Member{Name: "vm1", FailureDomain: "d"}, MinDomainSize: 1}, DrainTime: 3 * time.Second,
		ApplyTime: 3 * time.Second, Log: logger.New(zapcore.AddSync(io.Discard), "vm"), OnUpstreams: func([]forwarder.Upstream) {},
		OnManifest: func(*forwarder.Manifest) {}, OnFleetSize: func(int) {}, TakeReports: func() []reporter.Report { return nil }, OnRatings: func([]reporter.Rating) {},
	}
	w.Run(ctx)
	if !w.backoff.lost || w.revision != 8 {
		t.Errorf("store lost %t, revision %d", w.backoff.lost, w.revision)
	}
}

// TestDropIsPublished guards against an upstream whose kept entry ends during a pause: it went on getting requests until the watch
// after the pause returned, seconds later.
func TestDropIsPublished(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var listed, atWatch []string
	s := &fakeStore{cancel: cancel}
	s.watches = []func() (*translator.Changes, error){
		func() (*translator.Changes, error) {
			return &translator.Changes{Revision: 8, Upstreams: []translator.UpstreamEntry{{Name: "a", Removed: true, Revision: 8}}, Items: make([]translator.Item, 1)}, nil
		},
		func() (*translator.Changes, error) {
			atWatch = listed
			return &translator.Changes{Revision: 8}, nil
		},
	}
	w := &Watcher{
		Store: s, DrainTime: time.Second, ApplyTime: time.Second, ReregisterTime: 50 * time.Millisecond, Log: logger.New(zapcore.AddSync(io.Discard), "vm"),
		OnUpstreams: func(u []forwarder.Upstream) { listed = names(u) },
	}
	w.Run(ctx)
	if diff := cmp.Diff([]string{}, atWatch); diff != "" {
		t.Errorf("upstreams at the watch after the pause (-want +got):\n%s", diff)
	}
}

// TestUnchangedIsNotPublished guards against all upstreams being passed on after each call, twice a second in a VM that follows another.
func TestUnchangedIsNotPublished(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	none := func() (*translator.Changes, error) { return &translator.Changes{Revision: 8}, nil }
	published := 0
	w := &Watcher{
		Store: &fakeStore{cancel: cancel, watches: []func() (*translator.Changes, error){none, none}},
		Log:   logger.New(zapcore.AddSync(io.Discard), "vm"), OnUpstreams: func([]forwarder.Upstream) { published++ },
	}
	w.Run(ctx)
	if published != 1 {
		t.Errorf("published %d times, want 1", published)
	}
}

// TestBacklogIsReadAtOnce guards against pauses between the pages of a long history: after an outage of the store a server that
// had left meanwhile got requests until the last page was read.
func TestBacklogIsReadAtOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s := &fakeStore{cancel: cancel}
	page := func() (*translator.Changes, error) {
		return &translator.Changes{Revision: 8, Upstreams: make([]translator.UpstreamEntry, 500), Items: make([]translator.Item, 500)}, nil
	}
	s.watches = []func() (*translator.Changes, error){page, page, page}
	w := &Watcher{
		Store: s, DrainTime: 20 * time.Second, ApplyTime: 20 * time.Second, Log: logger.New(zapcore.AddSync(io.Discard), "vm"), OnUpstreams: func([]forwarder.Upstream) {},
	}
	began := time.Now()
	w.Run(ctx)
	if took := time.Since(began); took > 4*time.Second || len(s.calls) != 5 {
		t.Errorf("%d calls took %v", len(s.calls), took)
	}
}

// TestWatchFitsStableWindow guards against a watch that outlasts a fault of the store by more than the stable window: a store that
// drops its history lets waiting watches hear nothing, and a response may be lost. After the window a missed manifest must be in force.
func TestWatchFitsStableWindow(t *testing.T) {
	for _, stable := range []time.Duration{4 * time.Second, 5 * time.Second} {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		s := &fakeStore{cancel: cancel}
		w := &Watcher{
			Store: s, StableWindow: stable, ApplyTime: 3 * time.Second, Log: logger.New(zapcore.AddSync(io.Discard), "vm"), OnUpstreams: func([]forwarder.Upstream) {},
		}
		w.Run(ctx)
		cancel()
		if s.wait+callTimeout >= stable {
			t.Errorf("a watch that is lost ends after %v, the stable window is %v", s.wait+callTimeout, stable)
		}
	}
}

// TestRemoved guards against a VM that others no longer find, because the store took its entry away while its lease went on.
func TestRemoved(t *testing.T) {
	self := elector.Member{Name: "vm1", FailureDomain: "d", Address: netip.MustParseAddrPort("10.0.0.1:7741")}
	cases := []struct {
		name    string
		changes []translator.VMEntry
		want    int
	}{
		{"calm", []translator.VMEntry{{Member: elector.Member{Name: "vm2"}, Revision: 9}}, 0},
		{"taken away", []translator.VMEntry{{Member: elector.Member{Name: "vm1"}, Removed: true, Revision: 9}}, 1},
		{"an older state", []translator.VMEntry{{Member: elector.Member{Name: "vm1"}, Removed: true, Revision: 3}}, 0},
	}
	for _, c := range cases {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		s := &fakeStore{cancel: cancel, vms: []translator.VMEntry{{Member: self, Revision: 5}}}
		s.watches = []func() (*translator.Changes, error){func() (*translator.Changes, error) { return &translator.Changes{Revision: 9, VMs: c.changes}, nil }}
		removed := 0
		w := &Watcher{
			Store: s, Elector: elector.Elector{Self: self}, Log: logger.New(zapcore.AddSync(io.Discard), "vm"), OnUpstreams: func([]forwarder.Upstream) {},
			OnFleetSize: func(int) {}, OnRemoved: func() { removed++ },
		}
		w.Run(ctx)
		cancel()
		if removed != c.want {
			t.Errorf("%s: told %d times, want %d", c.name, removed, c.want)
		}
	}
}
