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

// Testbed is a complete set of fakes and entry VMs in a loopback network of its own, for proofs that disturb its processes.
type Testbed struct {
	stack   *stack
	network network
	bin     string
	ended   []int // VMs that a proof has ended
}

// TestbedConfig describes a set. Platform returns the address at which a VM finds the platform; nil takes the platform's own.
type TestbedConfig struct {
	Bin             string
	Directory       string // for settings and logs
	Deployment      string
	Entries         int
	Seed            uint64
	PlatformAddress func(vm int, platform netip.AddrPort) (netip.AddrPort, error)
}

// StartTestbed starts a set and waits until every VM is ready. After an error nothing is left running.
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
	s := &Testbed{network: n, bin: c.Bin}
	s.stack, err = startStack(ctx, c.Bin, c.Directory, e, Policy{Name: "proof"}, n.address, c.PlatformAddress)
	if err != nil {
		return nil, errors.Join(err, s.Stop())
	}
	return s, nil
}

// Stop ends every process that still runs. It returns an error for a process that did not end in order by itself.
func (s *Testbed) Stop() error {
	defer func() { _ = s.network.lock.Close() }()
	all := s.stack.processes
	s.stack.processes = nil
	for i, p := range all {
		if !slices.Contains(s.ended, i-fakes) {
			s.stack.processes = append(s.stack.processes, p)
		}
	}
	return s.stack.stop()
}

// fakes is the number of processes that are started before the entry VMs.
const fakes = 2

// EntryAddresses returns the addresses for callers.
func (s *Testbed) EntryAddresses() []netip.AddrPort { return s.stack.entries }

// UpstreamsControl returns the control client of the upstreams fake.
func (s *Testbed) UpstreamsControl() controller.Client { return s.stack.upstreams }

// PlatformControl returns the control client of the platform fake.
func (s *Testbed) PlatformControl() controller.Client { return s.stack.platform }

// PlatformAddress returns the service address of the platform fake.
func (s *Testbed) PlatformAddress() netip.AddrPort {
	return s.stack.address(fakesHost, 1, platformPort)
}

// Checker returns the checker of answers.
func (s *Testbed) Checker() *checker.Checker { return s.stack.checker }

// Deployment returns the deployment in the network of the set.
func (s *Testbed) Deployment() *describer.Deployment { return s.stack.deployment }

// SignalEntry sends a signal to an entry VM.
func (s *Testbed) SignalEntry(vm int, signal os.Signal) error {
	return eris.Wrapf(s.stack.processes[fakes+vm].cmd.Process.Signal(signal), "signal VM %d", vm)
}

// WaitForExit waits until an entry VM has ended and returns its error, nil for exit code 0. Stop passes over it afterwards.
func (s *Testbed) WaitForExit(ctx context.Context, vm int) error {
	s.ended = append(s.ended, vm)
	p := s.stack.processes[fakes+vm]
	select {
	case err := <-p.done:
		return eris.Wrapf(err, "%s; see %s", p.name, p.log.Name())
	case <-ctx.Done():
		_ = p.cmd.Process.Kill()
		return eris.Errorf("%s has not ended", p.name)
	}
}

// EntryPID returns the process id of an entry VM.
func (s *Testbed) EntryPID(vm int) int { return s.stack.processes[fakes+vm].cmd.Process.Pid }

// UpstreamsPID returns the process id of the upstreams fake.
func (s *Testbed) UpstreamsPID() int { return s.stack.processes[fakes-1].cmd.Process.Pid }
