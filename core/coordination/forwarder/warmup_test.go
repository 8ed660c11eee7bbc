package forwarder

import (
	"testing"
	"time"
)

const (
	// A cold upstream may get warmupExcess times its rate and warmupSlack requests more in warmupWindow.
	warmupWindow = time.Second
	warmupExcess = 1.5
	warmupSlack  = 5
	coldTime     = 3 * time.Second
)

// TestColdUpstreams guards against a cold upstream that gets more from all VMs together than it bears, and against one that gets nothing or never its full
// share.
func TestColdUpstreams(t *testing.T) {
	listing := func(change func(u *Upstream)) []Upstream {
		all := upstreams("point")
		change(&all[0])
		return all
	}
	cases := []struct {
		name   string
		vms    int
		rate   float64 // while an upstream is cold
		demand float64
		start  func(f *rateFleet) // point-0 starts
	}{
		{"new", 82, 20, 200, func(f *rateFleet) {
			f.list(upstreams("point")[1:])
			f.run(time.Second)
			f.list(listing(func(u *Upstream) { u.ColdFor = coldTime }))
		}},
		{"again under its name", 7, 20, 200, func(f *rateFleet) {
			f.list(listing(func(u *Upstream) { u.ColdFor, u.StartTime = coldTime, time.Unix(1000, 0) }))
		}},
		{"cold again", 82, 5, 200, func(f *rateFleet) { f.list(listing(func(u *Upstream) { u.ColdFor = coldTime })) }},
		{"back after an evacuation", 82, 20, 200, func(f *rateFleet) {
			for _, h := range f.vms {
				h.step(EvacuationsListed{FailureDomains: []string{"d0"}})
			}
			f.run(time.Second)
			f.list(listing(func(u *Upstream) { u.ColdFor = coldTime }))
			for _, h := range f.vms {
				h.step(EvacuationsListed{})
			}
		}},
		{"back after a failure, before its entry says so", 30, 10, 600, func(f *rateFleet) {
			f.down["point-0"] = true
			f.run(4 * time.Second)
			f.down["point-0"] = false
		}},
		{"idle fleet", 82, 50, 400, func(f *rateFleet) {
			f.setDemand(0)
			f.list(listing(func(u *Upstream) { u.ColdFor = coldTime }))
			f.run(time.Second)
			f.setDemand(400)
		}},
		{"more than is asked for", 7, 500, 60, func(f *rateFleet) { f.list(listing(func(u *Upstream) { u.ColdFor = coldTime })) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newRateFleet(t, c.vms)
			m := testManifest(2, 0)
			m.Services[0].WarmupRate, m.Services[0].ColdTime = c.rate, coldTime
			for _, h := range f.vms {
				h.step(ManifestAdopted{Manifest: m})
			}
			f.setDemand(c.demand)
			f.run(2 * time.Second)
			c.start(f)
			since := f.now
			f.run(coldTime - time.Second) // of which an idle fleet has used one second already
			most, allowed := f.mostArrivals("point-0", since, warmupWindow), c.rate*warmupExcess+warmupSlack
			if float64(most) > allowed || most == 0 {
				t.Errorf("%d requests in %v, want 1 to %.0f", most, warmupWindow, allowed)
			}
			f.run(15 * time.Second)
			last := f.mostArrivals("point-0", f.now.Add(-time.Second), time.Second)
			if usual := c.demand / 3 / 2; float64(last) < usual {
				t.Errorf("%d requests in a second after the warm-up, want half of its share at least, which is %.0f", last, usual)
			}
		})
	}
}

// TestColdUpstreamGetsNoHedges guards against hedges that use up what a cold upstream takes.
func TestColdUpstreamGetsNoHedges(t *testing.T) {
	h := newReadyHarness(t, 4)
	m, all := testManifest(2, 4), upstreams("point")
	m.Services[0].WarmupRate = 1000
	h.step(FleetResized{VMs: 1})
	h.step(ManifestAdopted{Manifest: m})
	for i := range all {
		all[i].ColdFor = time.Minute
	}
	h.step(UpstreamsListed{Upstreams: all})
	h.advance(time.Second)
	h.request("/one/x", 0)
	h.advance(200 * time.Millisecond)
	if len(h.sent) != 1 {
		t.Errorf("%d sends, want 1", len(h.sent))
	}
}
