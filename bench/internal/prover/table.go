package prover

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/bench/internal/controller"
)

// inEffect is the time within which an accepted change is in effect everywhere.
const inEffect = 3 * time.Second

// edit runs the operators' command and returns its output and exit code. The command gets bounded time.
func (t *trial) edit(ctx context.Context, who string, changes ...string) (string, int, error) {
	arguments := append([]string{"-platform", t.set.PlatformAddress().String(), "-who", who, "edit"}, changes...)
	out, err := exec.CommandContext(ctx, filepath.Join(t.bin, "operator"), arguments...).CombinedOutput() //nolint:gosec // a program of this repository
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode(), nil
	}
	return string(out), 0, eris.Wrap(err, "operator")
}

// spread waits until every given VM has at least a revision of a service in effect, and returns the longest time since the edit
// was accepted. It reports false when a VM does not have it within twice the promised time, or shows a lower one afterwards.
func (t *trial) spread(ctx context.Context, entries []netip.AddrPort, service string, revision uint64) (time.Duration, bool) {
	start := time.Now()
	var (
		wait    sync.WaitGroup
		mu      sync.Mutex
		longest time.Duration
		all     = true
	)
	for _, e := range entries {
		wait.Go(func() {
			ok := false
			for time.Since(start) < 2*inEffect && !ok {
				if s, err := t.caller.status(ctx, e); err == nil && s.Revisions[service] >= revision {
					ok = true
					break
				}
				if sleep(ctx, 5*time.Millisecond) != nil {
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, time.Since(start))
			all = all && ok
		})
	}
	wait.Wait()
	return longest, all
}

// accepted returns the revision that the operators' command printed.
func accepted(output string) (uint64, error) {
	_, rest, ok := strings.Cut(output, "accepted at revision ")
	var revision uint64
	if _, err := fmt.Sscan(rest, &revision); !ok || err != nil {
		return 0, eris.Errorf("operator printed %q", output)
	}
	return revision, nil
}

// edits makes some edits and measures when each is in effect on the given VMs.
func (t *trial) edits(ctx context.Context, n int, entries []netip.AddrPort) error {
	var longest time.Duration
	for i := range n {
		out, _, err := t.edit(ctx, "prover", fmt.Sprintf("%s.queue = %d", matching, 200+i))
		if err != nil {
			return err
		}
		revision, err := accepted(out)
		if err != nil {
			return err
		}
		d, ok := t.spread(ctx, entries, matching, revision)
		longest = max(longest, d)
		if !ok || d > inEffect {
			t.fault("revision %d was in effect everywhere after %v (reached all: %v)", revision, d.Round(time.Millisecond), ok)
		}
	}
	t.figure("%d edits, in effect on %d VMs at the latest %v after the command returned", n, len(entries), longest.Round(time.Millisecond))
	return nil
}

func table(ctx context.Context, t *trial) error { return t.edits(ctx, 20, t.set.EntryAddresses()) }

// cutoff cuts the VMs off from the platform, all but one, and then opens the way again.
func cutoff(ctx context.Context, t *trial) error {
	for kept := range 3 {
		for i, g := range t.gates {
			g.set(i != kept)
		}
		t.figure("only VM %d reaches the platform:", kept)
		if err := t.edits(ctx, 5, t.set.EntryAddresses()); err != nil {
			return err
		}
	}
	for _, g := range t.gates {
		g.set(false)
	}
	return nil
}

// isolated cuts one of two VMs off from the platform and freezes the other one.
func isolated(ctx context.Context, t *trial) error {
	if err := t.set.SignalEntry(1, syscall.SIGSTOP); err != nil {
		return err
	}
	t.gates[0].set(true)
	start := time.Now()
	d, ok := t.until(ctx, 0, false, 2*inEffect)
	t.figure("not ready %v after the last contact was cut", d.Round(time.Millisecond))
	if !ok || d > inEffect {
		t.fault("the isolated VM was still ready after %v", d)
	}
	a, err := t.caller.search(ctx, t.set.EntryAddresses()[0], matching, "isolated")
	if err != nil {
		return err
	}
	t.figure("a search is answered %s, reason %q", a.Outcome, a.Reason)
	if a.Outcome != "not_run" {
		t.fault("the isolated VM answered a search with outcome %s %v after the cut", a.Outcome, time.Since(start))
	}
	t.gates[0].set(false)
	err = t.set.SignalEntry(1, syscall.SIGCONT)
	d, ok = t.until(ctx, 0, true, 10*time.Second)
	t.figure("ready again %v after the way was open", d.Round(time.Millisecond))
	if !ok {
		t.fault("the VM did not become ready again")
	}
	return err
}

// until waits until a VM is or is not ready.
func (t *trial) until(ctx context.Context, vm int, ready bool, limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		if s, err := t.caller.status(ctx, t.set.EntryAddresses()[vm]); err == nil && s.Ready == ready {
			return time.Since(start), true
		}
		if sleep(ctx, 20*time.Millisecond) != nil {
			break
		}
	}
	return time.Since(start), false
}

// operators lets operators race, first on different rows and then on one cell, while the platform loses answers.
func operators(ctx context.Context, t *trial) error {
	lost := int64(4)
	if err := t.set.PlatformControl().SendPlatformCommand(ctx, controller.PlatformCommand{LoseAnswers: &lost}); err != nil {
		return err
	}
	var rows, same []string
	for _, s := range t.set.Deployment().Servers() {
		if s.Service.Name == ledger {
			rows = append(rows, fmt.Sprintf("%s/%s.weight = %d", ledger, s.Name, 10+len(rows)))
		}
	}
	for i := range 6 {
		same = append(same, fmt.Sprintf("%s.queue = %d", ledger, 300+i))
	}
	codes := t.race(ctx, append(rows, same...))
	n := len(rows)
	counts := map[int]int{}
	for i, c := range codes {
		if i < n && c != 0 {
			t.fault("the edit of a row of its own (%s) ended with exit code %d", rows[i], c)
		}
		if i >= n {
			counts[c]++
		}
	}
	t.figure("%d edits of different rows; %d edits of one cell: accepted %d, conflict %d, unknown %d", n, len(same), counts[0], counts[4], counts[5])
	out, err := exec.CommandContext(ctx, filepath.Join(t.bin, "operator"), "-platform", t.set.PlatformAddress().String(), "history", ledger).Output() //nolint:gosec // a program of this repository
	if err != nil {
		return eris.Wrap(err, "history")
	}
	for i, c := range codes {
		listed := strings.Contains(string(out), fmt.Sprintf("racer-%d ", i))
		if (c == 0) != listed && c != 5 {
			t.fault("edit %d ended with exit code %d, and the history lists it: %v", i, c, listed)
		}
	}
	return nil
}

// race runs edits at the same time and returns their exit codes.
func (t *trial) race(ctx context.Context, changes []string) []int {
	codes := make([]int, len(changes))
	var wait sync.WaitGroup
	for i, c := range changes {
		wait.Go(func() {
			_, code, err := t.edit(ctx, fmt.Sprintf("racer-%d", i), c)
			if codes[i] = code; err != nil {
				codes[i] = -1
			}
		})
	}
	wait.Wait()
	return codes
}
