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

// maxPropagationTime is the time within which an accepted edit must be in effect on every VM.
const maxPropagationTime = 3 * time.Second

// runEdit runs the operator program's edit command and returns its output and exit code. The deadline of ctx bounds its time.
func (t *trial) runEdit(ctx context.Context, who string, changes ...string) (string, int, error) {
	arguments := append([]string{"-platform", t.testbed.PlatformAddress().String(), "-who", who, "edit"}, changes...)
	out, err := exec.CommandContext(ctx, filepath.Join(t.bin, "operator"), arguments...).CombinedOutput() //nolint:gosec // a program of this repository
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode(), nil
	}
	return string(out), 0, eris.Wrap(err, "operator")
}

// waitForRevision waits until a revision of a service, or a later one, is in effect on all given VMs. It returns the longest time
// that a VM took, measured from the call, and false if a VM did not have the revision within twice maxPropagationTime.
func (t *trial) waitForRevision(ctx context.Context, entries []netip.AddrPort, service string, revision uint64) (time.Duration, bool) {
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
			for time.Since(start) < 2*maxPropagationTime && !ok {
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

// parseAcceptedRevision returns the revision in the output of the operator program's edit command.
func parseAcceptedRevision(output string) (uint64, error) {
	_, rest, ok := strings.Cut(output, "accepted at revision ")
	var revision uint64
	if _, err := fmt.Sscan(rest, &revision); !ok || err != nil {
		return 0, eris.Errorf("unexpected output of operator: %q", output)
	}
	return revision, nil
}

// checkEditPropagation makes n edits, one after the other, and reports each that is not in effect on the given VMs in time.
func (t *trial) checkEditPropagation(ctx context.Context, n int, entries []netip.AddrPort) error {
	var longest time.Duration
	for i := range n {
		out, _, err := t.runEdit(ctx, "prover", fmt.Sprintf("%s.queue = %d", matching, 200+i))
		if err != nil {
			return err
		}
		revision, err := parseAcceptedRevision(out)
		if err != nil {
			return err
		}
		d, ok := t.waitForRevision(ctx, entries, matching, revision)
		longest = max(longest, d)
		if !ok || d > maxPropagationTime {
			t.faultf("revision %d was in effect after %v on the slowest VM (in effect on all VMs: %v)", revision, d.Round(time.Millisecond), ok)
		}
	}
	t.reportf("%d edits, in effect on all %d VMs at the latest %v after the command returned", n, len(entries), longest.Round(time.Millisecond))
	return nil
}

// proveEditPropagation measures how long edits take to reach all VMs without a fault.
func proveEditPropagation(ctx context.Context, t *trial) error {
	return t.checkEditPropagation(ctx, 20, t.testbed.EntryAddresses())
}

// provePlatformCutoff cuts all VMs but one off from the platform and makes edits, for three choices of the connected VM.
func provePlatformCutoff(ctx context.Context, t *trial) error {
	for connected := range 3 {
		for i, p := range t.proxies {
			p.setCut(i != connected)
		}
		t.reportf("only VM %d is connected to the platform:", connected)
		if err := t.checkEditPropagation(ctx, 5, t.testbed.EntryAddresses()); err != nil {
			return err
		}
	}
	for _, p := range t.proxies {
		p.setCut(false)
	}
	return nil
}

// proveIsolatedVM isolates one of two VMs: it freezes the other one and cuts the connections to the platform. It then restores
// both.
func proveIsolatedVM(ctx context.Context, t *trial) error {
	if err := t.testbed.SignalEntry(1, syscall.SIGSTOP); err != nil {
		return err
	}
	t.proxies[0].setCut(true)
	start := time.Now()
	d, ok := t.waitForReadiness(ctx, 0, false, 2*maxPropagationTime)
	t.reportf("the VM became not ready %v after its last contact was cut", d.Round(time.Millisecond))
	if !ok || d > maxPropagationTime {
		t.faultf("the isolated VM was still ready after %v", d)
	}
	a, err := t.caller.search(ctx, t.testbed.EntryAddresses()[0], matching, "isolated")
	if err != nil {
		return err
	}
	t.reportf("a search is answered with outcome %s, reason %q", a.Outcome, a.Reason)
	if a.Outcome != "not_run" {
		t.faultf("the isolated VM answered a search with outcome %s %v after the cut", a.Outcome, time.Since(start))
	}
	t.proxies[0].setCut(false)
	err = t.testbed.SignalEntry(1, syscall.SIGCONT)
	d, ok = t.waitForReadiness(ctx, 0, true, 10*time.Second)
	t.reportf("the VM was ready again %v after the connections were restored", d.Round(time.Millisecond))
	if !ok {
		t.faultf("the VM did not become ready again")
	}
	return err
}

// waitForReadiness waits until the readiness of a VM equals ready. It returns the time it took, and false after the limit.
func (t *trial) waitForReadiness(ctx context.Context, vm int, ready bool, limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		if s, err := t.caller.status(ctx, t.testbed.EntryAddresses()[vm]); err == nil && s.Ready == ready {
			return time.Since(start), true
		}
		if sleep(ctx, 20*time.Millisecond) != nil {
			break
		}
	}
	return time.Since(start), false
}

// proveConcurrentEdits runs edits by several operators at once, of different rows and of one shared cell, while the platform loses
// answers. The history must list every accepted edit and no rejected one. An edit whose outcome is unknown, which the operator
// program reports with exit code 5, may be listed or not.
func proveConcurrentEdits(ctx context.Context, t *trial) error {
	lostAnswers := int64(4)
	if err := t.testbed.PlatformControl().SendPlatformCommand(ctx, controller.PlatformCommand{LoseAnswers: &lostAnswers}); err != nil {
		return err
	}
	var rowEdits, cellEdits []string
	for _, s := range t.testbed.Deployment().Servers() {
		if s.Service.Name == ledger {
			rowEdits = append(rowEdits, fmt.Sprintf("%s/%s.weight = %d", ledger, s.Name, 10+len(rowEdits)))
		}
	}
	for i := range 6 {
		cellEdits = append(cellEdits, fmt.Sprintf("%s.queue = %d", ledger, 300+i))
	}
	codes := t.runConcurrentEdits(ctx, append(rowEdits, cellEdits...))
	n := len(rowEdits)
	codeCounts := map[int]int{}
	for i, c := range codes {
		if i < n && c != 0 {
			t.faultf("the edit of a separate row (%s) ended with exit code %d", rowEdits[i], c)
		}
		if i >= n {
			codeCounts[c]++
		}
	}
	t.reportf("%d edits of different rows; %d edits of one cell: accepted %d, conflict %d, unknown %d", n, len(cellEdits), codeCounts[0], codeCounts[4], codeCounts[5])
	out, err := exec.CommandContext(ctx, filepath.Join(t.bin, "operator"), "-platform", t.testbed.PlatformAddress().String(), "history", ledger).Output() //nolint:gosec // a program of this repository
	if err != nil {
		return eris.Wrap(err, "history")
	}
	for i, c := range codes {
		listed := strings.Contains(string(out), fmt.Sprintf("racer-%d ", i))
		if (c == 0) != listed && c != 5 {
			t.faultf("edit %d ended with exit code %d; listed in the history: %v", i, c, listed)
		}
	}
	return nil
}

// runConcurrentEdits runs edits at the same time and returns their exit codes, -1 for an edit that could not be run.
func (t *trial) runConcurrentEdits(ctx context.Context, changes []string) []int {
	codes := make([]int, len(changes))
	var wait sync.WaitGroup
	for i, c := range changes {
		wait.Go(func() {
			_, code, err := t.runEdit(ctx, fmt.Sprintf("racer-%d", i), c)
			if codes[i] = code; err != nil {
				codes[i] = -1
			}
		})
	}
	wait.Wait()
	return codes
}
