package watcher

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap/zapcore"

	"comfreyroute/core/coordination/elector"
	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/reporter"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/gateway/internal/relayer"
	"comfreyroute/platform/translator"
)

// entry returns a usable entry with an address that depends on host.
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

// TestRegistry guards against upstreams that disappear while the store is unavailable, and against upstreams that are kept too long,
// under an address that another upstream has registered, or in an outdated state.
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
		{"no changes", func(*registry) {}, time.Hour, []string{"a", "b"}},
		{"removed entry within the retention time", func(r *registry) { r.apply(start, removed) }, time.Second, []string{"a", "b"}},
		{"removed entry after the retention time", func(r *registry) { r.apply(start, removed) }, 2 * time.Second, []string{"b"}},
		{"removed entry written again", func(r *registry) { r.apply(start, removed); r.apply(start, entry("a", 10, 1)) }, time.Hour, []string{"a", "b"}},
		{"entry missing in a listing, within the retention time", func(r *registry) { r.replace(start, []translator.UpstreamEntry{entry("b", 1, 2)}) }, time.Second, []string{"a", "b"}},
		{"entry missing in a listing, after the retention time", func(r *registry) { r.replace(start, []translator.UpstreamEntry{entry("b", 1, 2)}) }, 2 * time.Second, []string{"b"}},
		{"address of a removed entry registered by another upstream", func(r *registry) { r.apply(start, removed); r.apply(start, entry("c", 10, 1)) }, 0, []string{"b", "c"}},
		{"outdated removal", func(r *registry) {
			r.apply(start, entry("a", 5, 1))
			r.apply(start, translator.UpstreamEntry{Name: "a", Removed: true, Revision: 4})
		},
			time.Hour, []string{"a", "b"}},
		{"earlier write after a removal", func(r *registry) { r.apply(start, removed); r.apply(start, entry("a", 5, 1)) }, 2 * time.Second, []string{"b"}},
		{"unusable entry", func(r *registry) { r.apply(start, unusable) }, 0, []string{"b"}},
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

// TestColdEntries guards against a listing for each heartbeat of a cold upstream, and against one that becomes cold again unnoticed.
func TestColdEntries(t *testing.T) {
	var r registry
	cold := func(revision uint64, d time.Duration) string {
		e := entry("a", revision, 1)
		e.Upstream.ColdFor = d
		r.apply(time.Unix(100, 0), e)
		return r.takeChanges()
	}
	got := []string{cold(1, 3*time.Second), cold(2, 2*time.Second), cold(3, 0), cold(4, 0), cold(5, time.Second)}
	if diff := cmp.Diff([]string{"+s/a", "", "", "", "~s/a"}, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// fakeStore runs the given watches in turn and cancels the context after the last one. It records the calls.
type fakeStore struct {
	calls      []string
	watches    []func() (*translator.Changes, error)
	manifest   uint64 // version, 0 for none
	era        uint64
	vms        []translator.VMEntry
	evidence   []quarantiner.Publication
	reconnects int
	wait       time.Duration // of the last watch
	cancel     context.CancelFunc
}

func (s *fakeStore) ReadAll(context.Context) (*translator.Changes, error) {
	s.calls = append(s.calls, "read")
	c := &translator.Changes{Revision: 7, Era: s.era, Upstreams: []translator.UpstreamEntry{entry("a", 1, 1)}, VMs: s.vms, Evidence: s.evidence}
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

// TestWatcher guards against manifests that are missed or reverted, against unnecessary full reads, and against waiting on a connection
// that never carries a response again.
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
		{"no changes", 1, nil, []string{"read", "watch"}, []uint64{1}, 0},
		{"no manifest yet", 0, []func() (*translator.Changes, error){change(translator.Changes{Revision: 8, Manifest: manifest(2)}, nil)},
			[]string{"read", "watch", "watch"}, []uint64{2}, 0},
		{"history compacted", 1, []func() (*translator.Changes, error){change(translator.Changes{}, translator.ErrCompacted)},
			[]string{"read", "watch", "read", "watch"}, []uint64{1}, 0},
		{"too many changes", 1, []func() (*translator.Changes, error){change(translator.Changes{}, eris.Wrap(translator.ErrTooLong, "call"))},
			[]string{"read", "watch", "read", "watch"}, []uint64{1}, 0},
		{"manifest not newer", 1, []func() (*translator.Changes, error){change(translator.Changes{Revision: 8, Manifest: manifest(1)}, nil)},
			[]string{"read", "watch", "watch"}, []uint64{1}, 0},
		{"store unavailable", 1, []func() (*translator.Changes, error){change(translator.Changes{}, eris.New("refused"))},
			[]string{"read", "watch", "watch"}, []uint64{1}, 0},
		{"silent connection", 1, []func() (*translator.Changes, error){change(translator.Changes{}, eris.Wrap(context.DeadlineExceeded, "call"))},
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

// fakePeer returns the given responses in turn. It records the addresses and reports of the requests.
type fakePeer struct {
	addresses []string
	reports   []reporter.Report
	responses []func() (*relayer.ChangesResponse, error)
}

func (p *fakePeer) ChangesSince(_ context.Context, address netip.AddrPort, q relayer.ChangesRequest) (*relayer.ChangesResponse, error) {
	p.reports = append(p.reports, q.Reports...)
	p.addresses = append(p.addresses, address.String())
	r := p.responses[0]
	p.responses = p.responses[1:]
	return r()
}

// TestFollowPeer guards against changes of a peer that are not applied or not passed on to other VMs, and against a VM
// that keeps following a peer that does not answer or has lost the store, instead of turning to the store.
func TestFollowPeer(t *testing.T) {
	rating := []reporter.Rating{{Service: "s", Upstream: "u", Errors: 0.5}}
	var rated []reporter.Rating
	manifest := relayer.Record{Key: translator.ManifestKey, Value: []byte(`{"version":2}`), Revision: 9}
	cases := []struct {
		name     string
		response *relayer.ChangesResponse
		err      error
		versions []uint64
		revision uint64 // of the history
	}{
		{"changes", &relayer.ChangesResponse{Revision: 9, Records: []relayer.Record{manifest}, Ratings: rating}, nil, []uint64{1, 2}, 9},
		{"no changes", &relayer.ChangesResponse{Revision: 8}, nil, []uint64{1}, 8},
		{"peer unreachable", nil, eris.New("refused"), []uint64{1}, 7},
		{"peer without contact to the store", &relayer.ChangesResponse{Revision: 9, Age: time.Minute, Records: []relayer.Record{manifest}}, nil, []uint64{1}, 7},
		{"incomplete history of the peer", &relayer.ChangesResponse{Incomplete: true, Revision: 9}, nil, []uint64{1}, 7},
		{"malformed manifest", &relayer.ChangesResponse{Revision: 9, Records: []relayer.Record{{Key: translator.ManifestKey, Revision: 9}}}, nil, []uint64{1}, 7},
	}
	peer := translator.VMEntry{Revision: 1, Member: elector.Member{Name: "vm2", FailureDomain: "d", Address: netip.MustParseAddrPort("10.0.0.2:7741")}}
	for _, c := range cases {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		s := &fakeStore{manifest: 1, cancel: cancel, vms: []translator.VMEntry{peer}}
		p := &fakePeer{responses: []func() (*relayer.ChangesResponse, error){func() (*relayer.ChangesResponse, error) { return c.response, c.err }, func() (*relayer.ChangesResponse, error) {
			cancel() // a second request is made only after a valid response
			return &relayer.ChangesResponse{Revision: c.revision}, nil
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
		if len(p.reports) == 0 || c.response != nil && len(c.response.Ratings) > 0 && len(rated) == 0 {
			t.Errorf("%s: reports %v, ratings %v", c.name, p.reports, rated)
		}
		failed := c.revision == 7
		if watchesStore := slices.Contains(s.calls, "watch"); watchesStore != failed || p.addresses[0] != "10.0.0.2:7741" {
			t.Errorf("%s: calls to the store %v, to peers %v", c.name, s.calls, p.addresses)
		}
		if r := w.History.ChangesSince(context.Background(), relayer.ChangesRequest{After: 7, MaxAge: time.Hour}); r.Revision != c.revision {
			t.Errorf("%s: history has revision %d, want %d", c.name, r.Revision, c.revision)
		}
	}
}

// TestReportsTakenWithoutFollowers guards against reports that accumulate in a VM without followers.
func TestReportsTakenWithoutFollowers(t *testing.T) {
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

// TestStoreUnavailableWhileFollowing guards against logging that the store is available again when only a peer has answered.
func TestStoreUnavailableWhileFollowing(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	member := func(name string) translator.VMEntry {
		return translator.VMEntry{Revision: 1, Member: elector.Member{Name: name, FailureDomain: "d", Address: netip.MustParseAddrPort("10.0.0.2:7741")}}
	}
	s := &fakeStore{manifest: 1, cancel: cancel, vms: []translator.VMEntry{member("vm2"), member("vm3")}}
	s.watches = []func() (*translator.Changes, error){func() (*translator.Changes, error) { return nil, eris.New("refused") }}
	p := &fakePeer{responses: []func() (*relayer.ChangesResponse, error){
		func() (*relayer.ChangesResponse, error) { return nil, eris.New("refused") },
		func() (*relayer.ChangesResponse, error) { cancel(); return &relayer.ChangesResponse{Revision: 8}, nil },
	}}
	w := &Watcher{
		Store: s, Peers: p, Elector: elector.Elector{Self: elector.Member{Name: "vm1", FailureDomain: "d"}, MinDomainSize: 1}, DrainTime: 3 * time.Second,
		ApplyTime: 3 * time.Second, Log: logger.New(zapcore.AddSync(io.Discard), "vm"), OnUpstreams: func([]forwarder.Upstream) {},
		OnManifest: func(*forwarder.Manifest) {}, OnFleetSize: func(int) {}, TakeReports: func() []reporter.Report { return nil }, OnRatings: func([]reporter.Rating) {},
	}
	w.Run(ctx)
	if !w.backoff.unavailable || w.revision != 8 {
		t.Errorf("store unavailable %t, revision %d", w.backoff.unavailable, w.revision)
	}
}

// TestExpiryDuringPause guards against an upstream whose retained entry expires during a pause: it received requests until the watch after
// the pause returned, seconds later.
func TestExpiryDuringPause(t *testing.T) {
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

// TestExpiryWithinPause guards against an upstream that gets requests until the end of a pause in which its entry expires. The sum of the
// pauses before and after and of the retention time was longer than the drain time (maomao-slots mix --seed 467099466438).
func TestExpiryWithinPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drain = 4 * time.Second // the pause after changes is a quarter of it
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var removed, dropped time.Time
		s := &fakeStore{cancel: cancel}
		s.watches = []func() (*translator.Changes, error){
			func() (*translator.Changes, error) {
				removed = time.Now()
				return &translator.Changes{Revision: 8, Upstreams: []translator.UpstreamEntry{{Name: "a", Removed: true, Revision: 8}}, Items: make([]translator.Item, 1)}, nil
			},
		}
		log := logger.New(zapcore.AddSync(io.Discard), "vm")
		defer func() { _ = log.Close() }()
		w := &Watcher{
			Store: s, DrainTime: drain, ApplyTime: drain, ReregisterTime: 300 * time.Millisecond, Log: log,
			OnUpstreams: func(u []forwarder.Upstream) {
				if !removed.IsZero() && len(u) == 0 {
					dropped = time.Now()
				}
			},
		}
		w.Run(ctx)
		if diff := cmp.Diff(300*time.Millisecond, dropped.Sub(removed)); diff != "" {
			t.Errorf("time until the upstream is dropped (-want +got):\n%s", diff)
		}
	})
}

// TestUnchangedUpstreams guards against passing on all upstreams after each call, which is twice a second in a VM that follows another.
func TestUnchangedUpstreams(t *testing.T) {
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

// TestNoPauseInBacklog guards against pauses between the pages of a long history: after an outage of the store, an upstream that had left
// in the meantime received requests until the last page was read.
func TestNoPauseInBacklog(t *testing.T) {
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
	start := time.Now()
	w.Run(ctx)
	if elapsed := time.Since(start); elapsed > 4*time.Second || len(s.calls) != 5 {
		t.Errorf("%d calls took %v", len(s.calls), elapsed)
	}
}

// TestWatchFitsStableWindow guards against a watch that outlasts a fault of the store by more than the stable window. A store that
// compacts its history does not answer waiting watches, and a response may be lost. After the window, a missed manifest must be in force.
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
			t.Errorf("a lost watch times out after %v, the stable window is %v", s.wait+callTimeout, stable)
		}
	}
}

// TestOnRemoved guards against a VM that others no longer find, because the store deleted its entry while the lease was still valid.
func TestOnRemoved(t *testing.T) {
	self := elector.Member{Name: "vm1", FailureDomain: "d", Address: netip.MustParseAddrPort("10.0.0.1:7741")}
	cases := []struct {
		name    string
		changes []translator.VMEntry
		want    int
	}{
		{"change of another VM", []translator.VMEntry{{Member: elector.Member{Name: "vm2"}, Revision: 9}}, 0},
		{"entry removed", []translator.VMEntry{{Member: elector.Member{Name: "vm1"}, Removed: true, Revision: 9}}, 1},
		{"outdated removal", []translator.VMEntry{{Member: elector.Member{Name: "vm1"}, Removed: true, Revision: 3}}, 0},
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
			t.Errorf("%s: OnRemoved called %d times, want %d", c.name, removed, c.want)
		}
	}
}

// TestEvidenceComesBeforeTheManifest guards against a VM that has started again and serves requests before it knows which of them crash upstreams.
func TestEvidenceComesBeforeTheManifest(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	known := quarantiner.Publication{VM: "vm2", Evidence: []quarantiner.Evidence{{Signature: 1, Confirmed: true}}}
	changed := quarantiner.Publication{VM: "vm3"}
	s := &fakeStore{manifest: 1, evidence: []quarantiner.Publication{known}, cancel: cancel, watches: []func() (*translator.Changes, error){
		func() (*translator.Changes, error) {
			return &translator.Changes{Revision: 8, Evidence: []quarantiner.Publication{changed}}, nil
		},
	}}
	var events []string
	w := &Watcher{
		Store: s, DrainTime: 3 * time.Second, ReregisterTime: 2 * time.Second, Log: logger.New(io.Discard, "vm"),
		OnManifest:  func(*forwarder.Manifest) { events = append(events, "manifest") },
		OnUpstreams: func([]forwarder.Upstream) {},
		OnEvidence: func(all []quarantiner.Publication, complete bool) {
			for _, p := range all {
				events = append(events, fmt.Sprint(p.VM, " ", complete))
			}
		},
	}
	w.Run(ctx)
	if diff := cmp.Diff([]string{"vm2 true", "manifest", "vm3 false"}, events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}
