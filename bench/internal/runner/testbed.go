package runner

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"comfreyroute/bench/internal/checker"
	"comfreyroute/bench/internal/controller"
	"comfreyroute/upstreams/describer"
)

// Testbed is a cluster in its own loopback network, for proofs that inject faults into its processes.
type Testbed struct {
	cluster       *cluster
	network       network
	bin           string
	exitedEntries []int // indexes of the VMs that WaitForExit has waited for
}

// TestbedConfig describes a testbed. PlatformAddress returns the address at which a VM connects to the platform; nil stands for
// the platform's own address.
type TestbedConfig struct {
	Bin             string
	Directory       string // receives settings and logs
	Deployment      string
	Entries         int
	Seed            uint64
	PlatformAddress func(vm int, platform netip.AddrPort) (netip.AddrPort, error)
}

// StartTestbed starts a testbed and waits until every VM is ready. After an error, no process is left running.
func StartTestbed(ctx context.Context, c TestbedConfig) (*Testbed, error) {
	d, err := describer.ReadFile(c.Deployment)
	if err != nil {
		return nil, err
	}
	n, err := claimNetwork()
	if err != nil {
		return nil, err
	}
	e := &Experiment{Name: "proof", DeploymentPath: c.Deployment, Deployment: d, Entries: c.Entries, Seed: c.Seed}
	t := &Testbed{network: n, bin: c.Bin}
	t.cluster, err = startCluster(ctx, c.Bin, c.Directory, e, Policy{Name: "proof"}, n.address, c.PlatformAddress)
	if err != nil {
		return nil, errors.Join(err, t.Stop())
	}
	return t, nil
}

// Stop stops every process that still runs. It returns an error if one had an exit code other than 0 or had to be killed.
func (t *Testbed) Stop() error {
	defer func() { _ = t.network.lock.Close() }()
	all := t.cluster.processes
	t.cluster.processes = nil
	for i, p := range all {
		if !slices.Contains(t.exitedEntries, i-fakeProcesses) {
			t.cluster.processes = append(t.cluster.processes, p)
		}
	}
	return t.cluster.stop()
}

// fakeProcesses is the number of fakes, which are started before the entry VMs.
const fakeProcesses = 2

// EntryAddresses returns the addresses of the entry VMs for callers.
func (t *Testbed) EntryAddresses() []netip.AddrPort { return t.cluster.entryAddresses }

// UpstreamsControl returns the control client of the upstreams fake.
func (t *Testbed) UpstreamsControl() controller.Client { return t.cluster.upstreams }

// PlatformControl returns the control client of the platform fake.
func (t *Testbed) PlatformControl() controller.Client { return t.cluster.platform }

// PlatformAddress returns the address at which the platform fake serves the platform's interface.
func (t *Testbed) PlatformAddress() netip.AddrPort {
	return t.cluster.address(fakesSubnet, 1, platformPort)
}

// Checker returns the checker of the entry VMs' answers.
func (t *Testbed) Checker() *checker.Checker { return t.cluster.checker }

// Deployment returns the deployment, with the network of the testbed.
func (t *Testbed) Deployment() *describer.Deployment { return t.cluster.deployment }

// SignalEntry sends a signal to an entry VM.
func (t *Testbed) SignalEntry(vm int, signal os.Signal) error {
	return eris.Wrapf(t.cluster.processes[fakeProcesses+vm].cmd.Process.Signal(signal), "signal VM %d", vm)
}

// WaitForExit waits until an entry VM has exited and returns its error, nil for exit code 0. If the context ends first, it kills
// the VM and returns an error. Stop ignores the VM afterwards.
func (t *Testbed) WaitForExit(ctx context.Context, vm int) error {
	t.exitedEntries = append(t.exitedEntries, vm)
	p := t.cluster.processes[fakeProcesses+vm]
	select {
	case err := <-p.exit:
		return eris.Wrapf(err, "%s exited with an error; see %s", p.name, p.log.Name())
	case <-ctx.Done():
		_ = p.cmd.Process.Kill()
		return eris.Errorf("%s has not exited", p.name)
	}
}

// EntryPID returns the process id of an entry VM.
func (t *Testbed) EntryPID(vm int) int { return t.cluster.processes[fakeProcesses+vm].cmd.Process.Pid }

// UpstreamsPID returns the process id of the upstreams fake.
func (t *Testbed) UpstreamsPID() int { return t.cluster.processes[fakeProcesses-1].cmd.Process.Pid }
