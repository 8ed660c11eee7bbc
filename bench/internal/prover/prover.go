// Package prover starts real processes, injects faults into them and checks that the system's guarantees hold.
//
// The fault matrix tests of the decision code run in memory. The proofs here check that the processes around that code keep the
// guarantees when they are killed, frozen, cut off or stopped. Each proof takes some seconds and stops every process it started.
package prover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/bench/internal/runner"
)

// Proof checks one guarantee under one fault.
type Proof struct {
	Name      string
	Guarantee string
	run       func(context.Context, *trial) error
	isProxied bool // VMs connect to the platform through platformProxy
	entries   int  // number of entry VMs; 0 takes defaultEntries
}

const (
	defaultEntries = 7
	proofTimeout   = 2 * time.Minute
)

// Proofs lists the proofs in the order in which they run.
var Proofs = []Proof{
	{Name: "killed", Guarantee: "a call runs at most once while entry VMs are killed or frozen", run: proveKilledEntries},
	{Name: "platform", Guarantee: "a call runs at most once while the platform is slow, down or loses answers; tickets and searches keep working", run: provePlatformFaults},
	{Name: "calm", Guarantee: "every search is whole when there is no fault", run: proveNoFault},
	{Name: "dark", Guarantee: "coverage is whole while a failure domain is unreachable and every group has a replica outside it", run: proveDarkDomain},
	{Name: "silent", Guarantee: "connections that stop responding are replaced and no search becomes partial", run: proveSilentConnections},
	{Name: "crossed", Guarantee: "a reply to another request or with a wrong request ID reaches no caller", run: proveCrossedReplies},
	{Name: "versions", Guarantee: "every answer comes from one snapshot while index versions and shard counts change", run: proveIndexChanges},
	{Name: "crasher", Guarantee: "a request that crashes upstreams takes down at most one replica of a group at a time", run: proveCrashingQuery},
	{Name: "shutdown", Guarantee: "a graceful shutdown interrupts no request in flight", run: proveShutdown},
	{Name: "drain", Guarantee: "a draining upstream receives no new work after 3 s", run: proveDrain},
	{Name: "table", Guarantee: "an accepted change is in effect on every VM within 3 s", run: proveEditPropagation},
	{Name: "cutoff", Guarantee: "an accepted change is in effect within 3 s on VMs that are cut off from the platform", run: provePlatformCutoff, isProxied: true},
	{Name: "isolated", Guarantee: "a VM that is cut off from the platform and all peers rejects new work, and recovers afterwards", run: proveIsolatedVM, isProxied: true, entries: 2},
	{Name: "operators", Guarantee: "concurrent edits by operators are either applied or reported as conflicts", run: proveConcurrentEdits},
}

// Config describes a run of a proof.
type Config struct {
	Bin        string // directory of the binaries
	Deployment string // path of the deployment file
	Seed       uint64
	Out        io.Writer // receives the results
}

// trial is the state of one run of a proof.
type trial struct {
	testbed *runner.Testbed
	proxies []*platformProxy
	random  *rand.Rand
	caller  caller
	bin     string
	figures []string // measurements, printed with the result
	faults  []string // violations of the guarantee; none means that it holds
}

// reportf adds a line of measurements to the result.
func (t *trial) reportf(format string, a ...any) {
	t.figures = append(t.figures, fmt.Sprintf(format, a...))
}

// faultf adds a violation of the guarantee.
func (t *trial) faultf(format string, a ...any) {
	t.faults = append(t.faults, fmt.Sprintf(format, a...))
}

// randomEntry returns the address for callers of a random entry VM.
func (t *trial) randomEntry() netip.AddrPort {
	e := t.testbed.EntryAddresses()
	return e[t.random.IntN(len(e))]
}

// Run runs one proof, prints its result and reports whether the guarantee held. Settings and logs are kept when it did not.
func Run(ctx context.Context, c Config, p Proof) (held bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	directory, err := os.MkdirTemp("", "comfreyroute-proof-"+p.Name+"-")
	if err != nil {
		return false, eris.Wrap(err, "proof")
	}
	t := &trial{random: rand.New(rand.NewPCG(c.Seed, 0)), bin: c.Bin} //nolint:gosec // the seed makes a run repeatable
	s := runner.TestbedConfig{Bin: c.Bin, Directory: directory, Deployment: c.Deployment, Entries: p.entries, Seed: c.Seed}
	if s.Entries == 0 {
		s.Entries = defaultEntries
	}
	if p.isProxied {
		s.PlatformAddress = t.startProxy
	}
	if t.testbed, err = runner.StartTestbed(ctx, s); err != nil {
		return false, err
	}
	err = p.run(ctx, t)
	err = errors.Join(err, t.testbed.Stop())
	for _, x := range t.proxies {
		x.close()
	}
	if err != nil {
		return false, eris.Wrapf(err, "proof %s; settings and logs are in %s", p.Name, directory)
	}
	held = len(t.faults) == 0
	t.print(c.Out, p, c.Seed)
	if !held {
		_, _ = fmt.Fprintf(c.Out, "  settings and logs are in %s\n", directory)
		return false, nil
	}
	return true, eris.Wrap(os.RemoveAll(directory), "proof")
}

func (t *trial) print(w io.Writer, p Proof, seed uint64) {
	verdict := "holds"
	if len(t.faults) > 0 {
		verdict = "BROKEN"
	}
	_, _ = fmt.Fprintf(w, "%s (seed %d): %s: %s\n", p.Name, seed, p.Guarantee, verdict)
	for _, f := range t.figures {
		_, _ = fmt.Fprintf(w, "  %s\n", f)
	}
	const maxFaults = 10
	for _, f := range t.faults[:min(len(t.faults), maxFaults)] {
		_, _ = fmt.Fprintf(w, "  FAULT %s\n", f)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
