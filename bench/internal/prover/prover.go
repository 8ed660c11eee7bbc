// Package prover runs a complete set of real processes, produces a fault in it and checks that a promise of the system holds.
//
// The decision code has its own fault matrix in memory; the proofs here show that the processes around it keep the promises when
// they are killed, frozen, cut off or stopped. Each proof takes some seconds and ends every process that it started.
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

// Proof is one promise under one fault.
type Proof struct {
	Name      string
	Guarantee string
	run       func(context.Context, *trial) error
	gated     bool // VMs reach the platform through gates
	entries   int  // 0 takes defaultEntries
}

const (
	defaultEntries = 7
	proofTimeout   = 2 * time.Minute
)

// Proofs lists the proofs in the order in which they run.
var Proofs = []Proof{
	{Name: "killed", Guarantee: "a call runs at most once while entry VMs are killed and frozen", run: killed},
	{Name: "platform", Guarantee: "a call runs at most once while the platform is slow, down and loses answers; tickets and searches go on", run: platform},
	{Name: "calm", Guarantee: "without a fault every search is whole", run: calm},
	{Name: "dark", Guarantee: "coverage is whole while a failure domain is dark and every group has a replica outside it", run: dark},
	{Name: "silent", Guarantee: "connections that stop responding are replaced and cost no whole answer", run: silent},
	{Name: "crossed", Guarantee: "replies that are crossed or carry a wrong id reach no caller", run: crossed},
	{Name: "versions", Guarantee: "every answer comes from one snapshot while versions change and data is repartitioned", run: versions},
	{Name: "crasher", Guarantee: "no group loses more than one replica at once to a request that crashes upstreams", run: crasher},
	{Name: "shutdown", Guarantee: "a graceful shutdown cuts no request in flight", run: shutdown},
	{Name: "drain", Guarantee: "an upstream that drains gets no new work after 3 s", run: drain},
	{Name: "table", Guarantee: "an accepted change is in effect on every VM within 3 s", run: table},
	{Name: "cutoff", Guarantee: "an accepted change is in effect within 3 s on VMs that are cut off from the platform", run: cutoff, gated: true},
	{Name: "isolated", Guarantee: "a VM cut off from the platform and all peers refuses new work and recovers", run: isolated, gated: true, entries: 2},
	{Name: "operators", Guarantee: "edits of operators that race are all kept or reported as conflicts", run: operators},
}

// Config says where programs and files are.
type Config struct {
	Bin        string
	Deployment string
	Seed       uint64
	Out        io.Writer
}

// trial is one run of a proof.
type trial struct {
	set     *runner.Testbed
	gates   []*gate
	random  *rand.Rand
	caller  caller
	bin     string
	figures []string
	faults  []string
}

func (t *trial) figure(format string, a ...any) {
	t.figures = append(t.figures, fmt.Sprintf(format, a...))
}
func (t *trial) fault(format string, a ...any) {
	t.faults = append(t.faults, fmt.Sprintf(format, a...))
}

// entry returns a random entry VM.
func (t *trial) entry() netip.AddrPort {
	e := t.set.EntryAddresses()
	return e[t.random.IntN(len(e))]
}

// Run runs one proof and prints what it found. It reports whether the promise held.
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
	if p.gated {
		s.PlatformAddress = t.openGate
	}
	if t.set, err = runner.StartTestbed(ctx, s); err != nil {
		return false, err
	}
	err = p.run(ctx, t)
	err = errors.Join(err, t.set.Stop())
	for _, g := range t.gates {
		g.close()
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
