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

// Subnets, ports and settings of a cluster, whose network is that of its deployment.
const (
	fakesSubnet      = 250 // third byte of the addresses
	entriesSubnet    = 251
	platformPort     = 7400
	platformControl  = 7401
	upstreamsControl = 7410
	callersPort      = 8000
	peersPort        = 8001
	directoryMode    = 0o755
	fileMode         = 0o600
	shutdownWait     = "100ms"
	shutdownLimit    = "5s"
)

// cluster is the processes of a platform fake, an upstreams fake and entry VMs under one policy.
type cluster struct {
	policy          Policy
	directory       string
	deployment      *describer.Deployment
	checker         *checker.Checker
	upstreams       controller.Client
	platform        controller.Client
	entryAddresses  []netip.AddrPort // addresses for callers, by VM
	processes       []*process
	platformAddress platformAddressFunc
}

// Programs of a cluster. Each has the name of its module in the workspace.
const (
	platformProgram  = "keystore"
	upstreamsProgram = "upstreams"
	entryProgram     = "entry"
)

// platformAddressFunc returns the address at which a VM connects to the platform. A nil func stands for the platform's own
// address.
type platformAddressFunc func(vm int, platform netip.AddrPort) (netip.AddrPort, error)

// startCluster starts a cluster in a network and waits until all its processes are ready. It returns the cluster also with an
// error, and it must be stopped in both cases.
func startCluster(ctx context.Context, bin, directory string, e *Experiment, p Policy, network netip.Addr, platformAddress platformAddressFunc) (*cluster, error) {
	c := &cluster{policy: p, directory: filepath.Join(directory, p.Name), platformAddress: platformAddress}
	if err := os.MkdirAll(c.directory, directoryMode); err != nil {
		return c, eris.Wrap(err, "start cluster")
	}
	path, err := c.writeDeployment(e, network)
	if err != nil {
		return c, err
	}
	c.checker = checker.New(c.deployment)
	c.upstreams.Address, c.platform.Address = c.address(fakesSubnet, 1, upstreamsControl), c.address(fakesSubnet, 1, platformControl)
	platform := c.address(fakesSubnet, 1, platformPort)
	if err := c.startFake(ctx, bin, "platform", platformProgram, c.platform.Address.String()+encoder.PathCalls,
		"-address", platform.String(), "-control", c.platform.Address.String()); err != nil {
		return c, err
	}
	if err := c.startFake(ctx, bin, "upstreams", upstreamsProgram, c.upstreams.Address.String()+"/control/stats",
		"-deployment", path, "-control", c.upstreams.Address.String(),
		"-publish", platform.String(), "-list", c.platform.Address.String()); err != nil {
		return c, err
	}
	return c, c.startEntries(ctx, bin, e, platform)
}

// writeDeployment writes a copy of the experiment's deployment file with the network of the cluster, and returns its path.
func (c *cluster) writeDeployment(e *Experiment, network netip.Addr) (string, error) {
	f, err := ini.Load(e.DeploymentPath)
	if err != nil {
		return "", eris.Wrap(err, "start cluster")
	}
	f.Section("deployment").Key("network").SetValue(network.String())
	path := filepath.Join(c.directory, "deployment.ini")
	if err := f.SaveTo(path); err != nil {
		return "", eris.Wrap(err, "start cluster")
	}
	c.deployment, err = describer.ReadFile(path)
	return path, err
}

// startEntries publishes the VM list, starts the entry VMs and waits until all are ready.
func (c *cluster) startEntries(ctx context.Context, bin string, e *Experiment, platform netip.AddrPort) error {
	var listed []encoder.ListedVM
	domains := c.deployment.FailureDomains
	for i := range e.Entries {
		listed = append(listed, encoder.ListedVM{
			Name: fmt.Sprintf("vm%02d", i), Role: "entry", Address: c.address(entriesSubnet, i+1, peersPort).String(),
			FailureDomain: domains[i%len(domains)], State: encoder.VMLive,
		})
		c.entryAddresses = append(c.entryAddresses, c.address(entriesSubnet, i+1, callersPort))
	}
	if err := publisher.AddVMs(ctx, c.platform.Address, listed); err != nil {
		return err
	}
	errs := make([]error, e.Entries)
	var wait sync.WaitGroup
	for i, vm := range listed {
		path := filepath.Join(c.directory, vm.Name+".ini")
		at := platform
		if c.platformAddress != nil {
			var err error
			if at, err = c.platformAddress(i, platform); err != nil {
				return err
			}
		}
		if err := os.WriteFile(path, []byte(c.settings(vm, c.entryAddresses[i], at, e.Seed)), fileMode); err != nil {
			return eris.Wrap(err, "start cluster")
		}
		p, err := startProcess(bin, c.directory, vm.Name, entryProgram, "-settings", path)
		if err != nil {
			return err
		}
		c.processes = append(c.processes, p)
		wait.Go(func() { errs[i] = p.waitReady(ctx, "http://"+c.entryAddresses[i].String()+"/readyz") })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// settings returns the content of the settings file of an entry VM.
func (c *cluster) settings(vm encoder.ListedVM, callers, platform netip.AddrPort, seed uint64) string {
	text := fmt.Sprintf("[vm]\nid = %s\ndomain = %s\ncallers = %s\npeers = %s\nconnect = %s\n[platform]\naddress = %s\n"+
		"[shutdown]\nwait = %s\nlimit = %s\n[log]\nlevel = warn\n[policy]\nseed = %d\n",
		vm.Name, vm.FailureDomain, callers, vm.Address, callers.Addr(), platform, shutdownWait, shutdownLimit, seed)
	for k, v := range c.policy.Keys {
		text += k + " = " + v + "\n"
	}
	return text
}

// startFake starts a program and waits until the given address and path answer with HTTP status 200.
func (c *cluster) startFake(ctx context.Context, bin, name, program, ready string, arguments ...string) error {
	p, err := startProcess(bin, c.directory, name, program, arguments...)
	if err != nil {
		return err
	}
	c.processes = append(c.processes, p)
	return p.waitReady(ctx, "http://"+ready)
}

// address returns an address in the network of the cluster, by subnet and number in it.
func (c *cluster) address(subnet, number, port int) netip.AddrPort {
	a := c.deployment.Network.As4()
	a[2], a[3] = byte(subnet), byte(number)
	return netip.AddrPortFrom(netip.AddrFrom4(a), uint16(port))
}

// stop stops the entry VMs at the same time, then both fakes at the same time.
func (c *cluster) stop() error {
	errs := make([]error, len(c.processes))
	var wait sync.WaitGroup
	for i := len(c.processes) - 1; i >= 0; i-- {
		if i == 1 {
			wait.Wait() // the entry VMs use the fakes during their shutdown
		}
		wait.Go(func() { errs[i] = c.processes[i].stop() })
	}
	wait.Wait()
	return errors.Join(errs...)
}
