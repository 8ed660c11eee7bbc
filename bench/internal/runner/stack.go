package runner

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"comfreyroute/bench/internal/checker"
	"comfreyroute/bench/internal/controller"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/upstreams/describer"
	"comfreyroute/upstreams/publisher"
)

// Hosts and ports of a set, inside the network of its deployment.
const (
	fakesHost         = 250 // third byte of the address
	entriesHost       = 251
	platformPort      = 7400
	platformControl   = 7401
	upstreamsControl  = 7410
	callersPort       = 8000
	peersPort         = 8001
	directoryMode     = 0o755
	settingsMode      = 0o600
	balancerWait      = "100ms"
	shutdownHardLimit = "5s"
)

// stack is a complete set of fakes and entry VMs under one policy.
type stack struct {
	policy     Policy
	directory  string
	deployment *describer.Deployment
	checker    *checker.Checker
	upstreams  controller.Client
	platform   controller.Client
	entries    []netip.AddrPort // for callers
	processes  []*process
	platformOf platformOf
}

// The programs of a set, each named after its module in the workspace.
const (
	platformProgram  = "keystore"
	upstreamsProgram = "upstreams"
	entryProgram     = "entry"
)

// platformOf returns the address at which a VM finds the platform. Nil takes the platform's own.
type platformOf func(vm int, platform netip.AddrPort) (netip.AddrPort, error)

// startStack starts a set in a network. After an error, the caller still has to stop the set.
func startStack(ctx context.Context, bin, directory string, e *Experiment, p Policy, network netip.Addr, platforms platformOf) (*stack, error) {
	s := &stack{policy: p, directory: filepath.Join(directory, p.Name), platformOf: platforms}
	if err := os.MkdirAll(s.directory, directoryMode); err != nil {
		return s, eris.Wrap(err, "start set")
	}
	path, err := s.prepare(e, network)
	if err != nil {
		return s, err
	}
	s.checker = checker.New(s.deployment)
	s.upstreams.Address, s.platform.Address = s.address(fakesHost, 1, upstreamsControl), s.address(fakesHost, 1, platformControl)
	platform := s.address(fakesHost, 1, platformPort)
	if err := s.run(ctx, bin, "platform", platformProgram, s.platform.Address.String()+encoder.PathCalls,
		"-address", platform.String(), "-control", s.platform.Address.String()); err != nil {
		return s, err
	}
	if err := s.run(ctx, bin, "upstreams", upstreamsProgram, s.upstreams.Address.String()+"/control/stats",
		"-deployment", path, "-control", s.upstreams.Address.String(),
		"-publish", platform.String(), "-list", s.platform.Address.String()); err != nil {
		return s, err
	}
	return s, s.startEntries(ctx, bin, e, platform)
}

// prepare writes the deployment file of the set, in its own network.
func (s *stack) prepare(e *Experiment, network netip.Addr) (string, error) {
	f, err := ini.Load(e.DeploymentPath)
	if err != nil {
		return "", eris.Wrap(err, "start set")
	}
	f.Section("deployment").Key("network").SetValue(network.String())
	path := filepath.Join(s.directory, "deployment.ini")
	if err := f.SaveTo(path); err != nil {
		return "", eris.Wrap(err, "start set")
	}
	s.deployment, err = describer.ReadFile(path)
	return path, err
}

func (s *stack) startEntries(ctx context.Context, bin string, e *Experiment, platform netip.AddrPort) error {
	var listed []encoder.ListedVM
	domains := s.deployment.FailureDomains
	for i := range e.Entries {
		listed = append(listed, encoder.ListedVM{
			Name: fmt.Sprintf("vm%02d", i), Role: "entry", Address: s.address(entriesHost, i+1, peersPort).String(),
			FailureDomain: domains[i%len(domains)], State: encoder.VMLive,
		})
		s.entries = append(s.entries, s.address(entriesHost, i+1, callersPort))
	}
	if err := publisher.AddVMs(ctx, s.platform.Address, listed); err != nil {
		return err
	}
	errs := make([]error, e.Entries)
	var wait sync.WaitGroup
	for i, vm := range listed {
		path := filepath.Join(s.directory, vm.Name+".ini")
		at := platform
		if s.platformOf != nil {
			var err error
			if at, err = s.platformOf(i, platform); err != nil {
				return err
			}
		}
		if err := os.WriteFile(path, []byte(s.settings(vm, s.entries[i], at, e.Seed)), settingsMode); err != nil {
			return eris.Wrap(err, "start set")
		}
		p, err := startProcess(bin, s.directory, vm.Name, entryProgram, "-settings", path)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		wait.Go(func() { errs[i] = p.ready(ctx, "http://"+s.entries[i].String()+"/readyz") })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// settings returns the settings file of an entry VM.
func (s *stack) settings(vm encoder.ListedVM, callers, platform netip.AddrPort, seed uint64) string {
	text := fmt.Sprintf("[vm]\nid = %s\ndomain = %s\ncallers = %s\npeers = %s\nconnect = %s\n[platform]\naddress = %s\n"+
		"[shutdown]\nwait = %s\nlimit = %s\n[log]\nlevel = warn\n[policy]\nseed = %d\n",
		vm.Name, vm.FailureDomain, callers, vm.Address, callers.Addr(), platform, balancerWait, shutdownHardLimit, seed)
	for k, v := range s.policy.Keys {
		text += k + " = " + v + "\n"
	}
	return text
}

func (s *stack) run(ctx context.Context, bin, name, program, ready string, arguments ...string) error {
	p, err := startProcess(bin, s.directory, name, program, arguments...)
	if err != nil {
		return err
	}
	s.processes = append(s.processes, p)
	return p.ready(ctx, "http://"+ready)
}

func (s *stack) address(host, number, port int) netip.AddrPort {
	a := s.deployment.Network.As4()
	a[2], a[3] = byte(host), byte(number)
	return netip.AddrPortFrom(netip.AddrFrom4(a), uint16(port))
}

// stop stops the processes, the last started first, and those of one kind together.
func (s *stack) stop() error {
	errs := make([]error, len(s.processes))
	var wait sync.WaitGroup
	for i := len(s.processes) - 1; i >= 0; i-- {
		if i == 1 {
			wait.Wait() // the entry VMs still need the fakes while they shut down
		}
		wait.Go(func() { errs[i] = s.processes[i].stop() })
	}
	wait.Wait()
	return errors.Join(errs...)
}
