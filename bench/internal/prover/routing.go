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

// proveSilentConnections repeatedly makes the open connections of one replica of each group stop responding while searches and
// calls are sent.
func proveSilentConnections(ctx context.Context, t *trial) error {
	s, calls := t.newSearchLoad(matching), t.newCallLoad(ledger)
	done := make(chan error, 1)
	go func() {
		var steps []timedStep
		for i := range 6 {
			r := i % 3
			steps = append(steps, timedStep{time.Duration(1000+700*i) * time.Millisecond, func() error {
				return errors.Join(
					t.testbed.UpstreamsControl().SendCommand(ctx, controller.Command{Target: controller.Target{Service: matching, Replica: &r}, Action: "silence"}),
					t.testbed.UpstreamsControl().SendCommand(ctx, controller.Command{Target: controller.Target{Service: ledger, Replica: &r}, Action: "silence"}))
			}})
		}
		done <- runSteps(ctx, steps)
	}()
	err := s.runDuring(ctx, func() error {
		calls.run(ctx, 6*time.Second, nil)
		return <-done
	})
	if err != nil {
		return err
	}
	s.reportAndCheck()
	t.reportCounters(ctx)
	if s.partial > 0 || s.noAnswer > 0 {
		t.faultf("%d searches were partial and %d had no answer although every group had two replicas with working connections", s.partial, s.noAnswer)
	}
	return calls.reportAndCheck(ctx)
}

// proveNoFault sends searches at a third of the capacity of the upstreams without a fault.
func proveNoFault(ctx context.Context, t *trial) error {
	const load = 0.33
	s := t.newSearchLoad(matching)
	s.interval = time.Duration(float64(time.Second) / (load * t.testbed.Deployment().FindService(matching).Capacity()))
	if err := s.runDuring(ctx, func() error { return sleep(ctx, 8*time.Second) }); err != nil {
		return err
	}
	s.reportAndCheck()
	t.reportCounters(ctx)
	if s.partial+s.notRun+s.noAnswer > 0 {
		t.faultf("%d searches were partial, %d were rejected and %d had no answer", s.partial, s.notRun, s.noAnswer)
	}
	return nil
}

// proveCrossedReplies applies two faults in turn, for one second each and to one replica of each group: replying with the reply to
// the previous request, and replying with a wrong request ID.
func proveCrossedReplies(ctx context.Context, t *trial) error {
	s := t.newSearchLoad(matching)
	err := s.runDuring(ctx, func() error {
		var steps []timedStep
		for i, action := range []string{"swap", "wrong_id", "swap", "wrong_id"} {
			r := i % 3
			c := controller.Command{Target: controller.Target{Service: matching, Replica: &r}, Action: action, Share: 0.2}
			off := c
			off.Off = true
			steps = append(steps,
				timedStep{time.Duration(1000+1500*i) * time.Millisecond, func() error { return t.testbed.UpstreamsControl().SendCommand(ctx, c) }},
				timedStep{time.Duration(2000+1500*i) * time.Millisecond, func() error { return t.testbed.UpstreamsControl().SendCommand(ctx, off) }})
		}
		return runSteps(ctx, steps)
	})
	if err != nil {
		return err
	}
	s.reportAndCheck()
	t.reportCounters(ctx)
	return nil
}

// proveIndexChanges publishes four index versions with changing shard counts, one replica of each group at a time, and drops the
// previous version of a replica one second later.
func proveIndexChanges(ctx context.Context, t *trial) error {
	s := t.newSearchLoad(matching)
	d := t.testbed.Deployment().FindService(matching)
	err := s.runDuring(ctx, func() error {
		var steps []timedStep
		for i := range 4 {
			number, shards := d.Version+uint64(i)+1, d.Shards*(2+i%2)/2
			layout := "proof-" + string(rune('a'+i))
			t.testbed.Checker().AddVersion(matching, number, layout, shards)
			for r := range d.Replicas {
				target := controller.Target{Service: matching, Replica: &r}
				start := time.Duration(500+2000*i+200*r) * time.Millisecond
				steps = append(steps,
					timedStep{start, func() error {
						return t.testbed.UpstreamsControl().SendCommand(ctx, controller.Command{Target: target, Action: "hold", Version: number, Layout: layout, Shards: shards})
					}},
					timedStep{start + time.Second, func() error {
						return t.testbed.UpstreamsControl().SendCommand(ctx, controller.Command{Target: target, Action: "drop", Version: number - 1})
					}})
			}
		}
		slices.SortStableFunc(steps, func(a, b timedStep) int { return cmp.Compare(a.offset, b.offset) })
		return runSteps(ctx, steps)
	})
	if err != nil {
		return err
	}
	s.reportAndCheck()
	if s.partial > 0 || s.noAnswer > 0 {
		t.faultf("%d searches were partial and %d had no answer although all groups had a common version at all times", s.partial, s.noAnswer)
	}
	return nil
}

// crashDowntime is how long a crashed upstream of the fake refuses connections.
const crashDowntime = 2 * time.Second

// proveCrashingQuery repeatedly sends a query that crashes every upstream that runs it, each time through a random VM and next to
// other searches. It counts the replicas of a group that are down at once.
func proveCrashingQuery(ctx context.Context, t *trial) error {
	const poison = "poison"
	u := t.testbed.UpstreamsControl()
	if err := u.SendCommand(ctx, controller.Command{Target: controller.Target{Service: matching}, Action: "crash_on", Query: poison}); err != nil {
		return err
	}
	s := t.newSearchLoad(matching)
	sent, refused := 0, 0
	crashes, maxDown := 0, 0
	err := s.runDuring(ctx, func() error {
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		end := time.Now().Add(12 * time.Second)
		seenCrashes := map[string]uint64{}
		crashTimes := map[int]map[string]time.Time{} // time of the last crash by group and upstream
		for n := 0; time.Now().Before(end); n++ {
			a, err := t.caller.search(ctx, t.randomEntry(), matching, poison)
			if sent++; err == nil && a.Outcome == "not_run" {
				refused++
			}
			all, err := u.Stats(ctx)
			if err != nil {
				return err
			}
			for _, x := range all {
				if x.Crashes <= seenCrashes[x.Upstream] {
					continue
				}
				crashes += int(x.Crashes - seenCrashes[x.Upstream])
				seenCrashes[x.Upstream] = x.Crashes
				if crashTimes[x.Group] == nil {
					crashTimes[x.Group] = map[string]time.Time{}
				}
				crashTimes[x.Group][x.Upstream] = time.Now()
				downNow := 0
				for _, at := range crashTimes[x.Group] {
					if time.Since(at) < crashDowntime {
						downNow++
					}
				}
				maxDown = max(maxDown, downNow)
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
	t.reportf("the request was sent %d times through random VMs and rejected %d times; %d upstream crashes in total, at most %d replicas of one group at once", sent, refused, crashes, maxDown)
	if maxDown > 1 {
		t.faultf("%d replicas of a group were down at once", maxDown)
	}
	s.reportAndCheck()
	return nil
}

// proveShutdown stops four VMs by SIGTERM, one after the other, while searches are sent to the VM that stops.
func proveShutdown(ctx context.Context, t *trial) error {
	for vm := range 4 {
		s := t.newSearchLoad(matching)
		var sent atomic.Int64
		entry := t.testbed.EntryAddresses()[vm]
		s.entry = func(int) netip.AddrPort { sent.Add(1); return entry }
		s.interval = 3 * time.Millisecond
		err := s.runDuring(ctx, func() error {
			if err := sleep(ctx, 500*time.Millisecond+time.Duration(t.random.IntN(20))*time.Millisecond); err != nil {
				return err
			}
			if err := t.testbed.SignalEntry(vm, syscall.SIGTERM); err != nil {
				return err
			}
			return t.testbed.WaitForExit(ctx, vm)
		})
		if err != nil {
			return err
		}
		s.reportAndCheck()
		t.reportf("VM %d: %d requests interrupted, %d connections refused after the listener was closed", vm, s.interrupted, s.noAnswer-s.interrupted)
		if s.interrupted > 0 {
			t.faultf("VM %d interrupted %d requests in flight", vm, s.interrupted)
		}
	}
	return nil
}

// proveDrain drains one upstream and measures when it last receives a sub-request.
func proveDrain(ctx context.Context, t *trial) error {
	u := t.testbed.UpstreamsControl()
	s := t.newSearchLoad(matching)
	var lastReceived time.Duration
	var receivedAfter uint64
	err := s.runDuring(ctx, func() error {
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
					lastReceived, receivedAfter = time.Since(start), receivedAfter+x.Received-received
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
	t.reportf("the last new sub-request arrived %v after the start of the drain, %d in total after it", lastReceived.Round(time.Millisecond), receivedAfter)
	if lastReceived > 3*time.Second {
		t.faultf("the upstream received new work %v after the start of the drain", lastReceived)
	}
	s.reportAndCheck()
	return nil
}
