package prover

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"comfreyroute/bench/internal/controller"
)

// silent makes the open connections of one replica of each group stop responding, again and again.
func silent(ctx context.Context, t *trial) error {
	s, b := t.searches(matching), t.bookings(ledger)
	done := make(chan error, 1)
	go func() {
		var steps []at
		for i := range 6 {
			r := i % 3
			steps = append(steps, at{time.Duration(1000+700*i) * time.Millisecond, func() error {
				return errors.Join(
					t.set.UpstreamsControl().SendCommand(ctx, controller.Command{Target: controller.Target{Service: matching, Replica: &r}, Action: "silence"}),
					t.set.UpstreamsControl().SendCommand(ctx, controller.Command{Target: controller.Target{Service: ledger, Replica: &r}, Action: "silence"}))
			}})
		}
		done <- schedule(ctx, steps)
	}()
	err := s.during(ctx, func() error {
		b.run(ctx, 6*time.Second, nil)
		return <-done
	})
	if err != nil {
		return err
	}
	s.check()
	t.counters(ctx)
	if s.partial > 0 || s.none > 0 {
		t.fault("%d searches were partial and %d had no answer although every group had two replicas with working connections", s.partial, s.none)
	}
	return b.check(ctx)
}

// calm sends searches at a third of the capacity without any fault.
func calm(ctx context.Context, t *trial) error {
	const load = 0.33
	s := t.searches(matching)
	s.pause = time.Duration(float64(time.Second) / (load * t.set.Deployment().FindService(matching).Capacity()))
	if err := s.during(ctx, func() error { return sleep(ctx, 8*time.Second) }); err != nil {
		return err
	}
	s.check()
	t.counters(ctx)
	if s.partial+s.notRun+s.none > 0 {
		t.fault("%d searches were partial, %d were refused and %d had no answer", s.partial, s.notRun, s.none)
	}
	return nil
}

// crossed makes upstreams of one replica number answer with the reply to the request before, and those of another one with wrong
// request ids.
func crossed(ctx context.Context, t *trial) error {
	s := t.searches(matching)
	err := s.during(ctx, func() error {
		var steps []at
		for i, action := range []string{"swap", "wrong_id", "swap", "wrong_id"} {
			r := i % 3
			c := controller.Command{Target: controller.Target{Service: matching, Replica: &r}, Action: action, Share: 0.2}
			off := c
			off.Off = true
			steps = append(steps,
				at{time.Duration(1000+1500*i) * time.Millisecond, func() error { return t.set.UpstreamsControl().SendCommand(ctx, c) }},
				at{time.Duration(2000+1500*i) * time.Millisecond, func() error { return t.set.UpstreamsControl().SendCommand(ctx, off) }})
		}
		return schedule(ctx, steps)
	})
	if err != nil {
		return err
	}
	s.check()
	t.counters(ctx)
	return nil
}

// versions brings four index versions with changing numbers of shards to one replica of each group after the other, and drops
// the version before.
func versions(ctx context.Context, t *trial) error {
	s := t.searches(matching)
	d := t.set.Deployment().FindService(matching)
	err := s.during(ctx, func() error {
		var steps []at
		for i := range 4 {
			number, shards := d.Version+uint64(i)+1, d.Shards*(2+i%2)/2
			layout := "proof-" + string(rune('a'+i))
			t.set.Checker().AddVersion(matching, number, layout, shards)
			for r := range d.Replicas {
				target := controller.Target{Service: matching, Replica: &r}
				start := time.Duration(500+2000*i+200*r) * time.Millisecond
				steps = append(steps,
					at{start, func() error {
						return t.set.UpstreamsControl().SendCommand(ctx, controller.Command{Target: target, Action: "hold", Version: number, Layout: layout, Shards: shards})
					}},
					at{start + time.Second, func() error {
						return t.set.UpstreamsControl().SendCommand(ctx, controller.Command{Target: target, Action: "drop", Version: number - 1})
					}})
			}
		}
		slices.SortStableFunc(steps, func(a, b at) int { return cmp.Compare(a.after, b.after) })
		return schedule(ctx, steps)
	})
	if err != nil {
		return err
	}
	s.check()
	if s.partial > 0 || s.none > 0 {
		t.fault("%d searches were partial and %d had no answer although every group held a common version at all times", s.partial, s.none)
	}
	return nil
}

// crashDowntime is how long a crashed server of the fake refuses connections.
const crashDowntime = 2 * time.Second

// crasher sends a request that crashes each upstream that runs it, again and again through changing VMs, beside other searches.
func crasher(ctx context.Context, t *trial) error {
	const poison = "poison"
	u := t.set.UpstreamsControl()
	if err := u.SendCommand(ctx, controller.Command{Target: controller.Target{Service: matching}, Action: "crash_on", Query: poison}); err != nil {
		return err
	}
	s := t.searches(matching)
	sent, refused := 0, 0
	crashes, worst := 0, 0
	err := s.during(ctx, func() error {
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		end := time.Now().Add(12 * time.Second)
		seen := map[string]uint64{}
		down := map[int]map[string]time.Time{} // by group and upstream: the time of the last crash
		for n := 0; time.Now().Before(end); n++ {
			a, err := t.caller.search(ctx, t.entry(), matching, poison)
			if sent++; err == nil && a.Outcome == "not_run" {
				refused++
			}
			all, err := u.Stats(ctx)
			if err != nil {
				return err
			}
			for _, x := range all {
				if x.Crashes <= seen[x.Upstream] {
					continue
				}
				crashes += int(x.Crashes - seen[x.Upstream])
				seen[x.Upstream] = x.Crashes
				if down[x.Group] == nil {
					down[x.Group] = map[string]time.Time{}
				}
				down[x.Group][x.Upstream] = time.Now()
				atOnce := 0
				for _, at := range down[x.Group] {
					if time.Since(at) < crashDowntime {
						atOnce++
					}
				}
				worst = max(worst, atOnce)
			}
			if err := sleep(ctx, 40*time.Millisecond); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	t.figure("the request was sent %d times through changing VMs and refused %d times; %d upstream crashes in all, at most %d replicas of one group at once", sent, refused, crashes, worst)
	if worst > 1 {
		t.fault("a group lost %d replicas at once", worst)
	}
	s.check()
	return nil
}

// shutdown stops VMs by SIGTERM, one after the other, while each gets searches of its own.
func shutdown(ctx context.Context, t *trial) error {
	for vm := range 4 {
		s := t.searches(matching)
		var sent atomic.Int64
		entry := t.set.EntryAddresses()[vm]
		s.entry = func(int) netip.AddrPort { sent.Add(1); return entry }
		s.pause = 3 * time.Millisecond
		err := s.during(ctx, func() error {
			if err := sleep(ctx, 500*time.Millisecond+time.Duration(t.random.IntN(20))*time.Millisecond); err != nil {
				return err
			}
			if err := t.set.SignalEntry(vm, syscall.SIGTERM); err != nil {
				return err
			}
			return t.set.WaitForExit(ctx, vm)
		})
		if err != nil {
			return err
		}
		s.check()
		t.figure("VM %d: %d requests cut, %d refused connections after the listener was closed", vm, s.cut, s.none-s.cut)
		if s.cut > 0 {
			t.fault("VM %d cut %d requests in flight", vm, s.cut)
		}
	}
	return nil
}

// drain makes one upstream drain and looks when it last received a sub-request.
func drain(ctx context.Context, t *trial) error {
	u := t.set.UpstreamsControl()
	s := t.searches(matching)
	var last time.Duration
	var after uint64
	err := s.during(ctx, func() error {
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		all, err := u.Stats(ctx)
		if err != nil {
			return err
		}
		name := ""
		for _, x := range all {
			if x.Service == matching {
				name = x.Upstream
				break
			}
		}
		start := time.Now()
		if err := u.SendCommand(ctx, controller.Command{Target: controller.Target{Upstream: name}, Action: "drain"}); err != nil {
			return err
		}
		received := uint64(0)
		for first := true; time.Since(start) < 6*time.Second; first = false {
			if all, err = u.Stats(ctx); err != nil {
				return err
			}
			for _, x := range all {
				if x.Upstream != name || x.Received == received {
					continue
				}
				if !first {
					last, after = time.Since(start), after+x.Received-received
				}
				received = x.Received
			}
			if err := sleep(ctx, 10*time.Millisecond); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	t.figure("the last new sub-request came %v after the drain, %d in all after it", last.Round(time.Millisecond), after)
	if last > 3*time.Second {
		t.fault("the upstream got new work %v after the drain", last)
	}
	s.check()
	return nil
}
