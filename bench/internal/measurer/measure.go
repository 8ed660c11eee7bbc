package measurer

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/bench/internal/loader"
	"comfreyroute/bench/internal/runner"
)

// Parameters of a measurement.
const (
	service     = "slope"
	fileMode    = 0o600
	connectTime = 3 * time.Second // the entry VM opens its connections in this time, so that their cost does not count as idle CPU
	idleTime    = 3 * time.Second
	settleTime  = 500 * time.Millisecond // after the load, so that the figures include sub-requests in flight
	maxGroups   = 1000                   // most servers that the upstreams fake allows for a deployment's only service
)

// Config describes a measurement. The fakes add no network delay.
type Config struct {
	Bin         string // directory of the binaries
	Groups      int
	SubRequests float64       // per second
	Duration    time.Duration // of the load
	ServiceTime time.Duration // constant, of every upstream
	Seed        uint64
}

// Result holds the figures for one number of groups.
type Result struct {
	Groups           int
	Report           *loader.Report
	IdleCPU          time.Duration // CPU time of the entry VM per second without load
	LoadedCPU        time.Duration // CPU time of the entry VM per second under load
	UpstreamsCPU     time.Duration // CPU time of the upstreams fake per second under load
	ResidentBefore   int64         // resident memory of the entry VM before the load, in bytes
	ResidentAfter    int64         // resident memory of the entry VM after the load, in bytes
	MaxConnections   int           // most connections at once to one upstream
	CPUPerSubRequest time.Duration // CPU time of the entry VM per sub-request that the upstreams received, without its idle CPU time
}

// Measure measures the cost at one number of groups. All started processes have exited when it returns. Settings and logs are kept
// after an error.
func Measure(ctx context.Context, c Config) (result *Result, err error) {
	if c.Groups < 1 || c.Groups > maxGroups || !(c.SubRequests > 0) || c.Duration < time.Second {
		return nil, eris.Errorf("%d groups, %v sub-requests/s for %v, allowed: 1 to %d groups, a rate above 0 and at least 1s",
			c.Groups, c.SubRequests, c.Duration, maxGroups)
	}
	directory, err := os.MkdirTemp("", "comfreyroute-slope-")
	if err != nil {
		return nil, eris.Wrap(err, "slope")
	}
	path := filepath.Join(directory, "slope.ini")
	if err := os.WriteFile(path, []byte(deploymentFile(c)), fileMode); err != nil {
		return nil, eris.Wrap(err, "slope")
	}
	s, err := runner.StartTestbed(ctx, runner.TestbedConfig{Bin: c.Bin, Directory: directory, Deployment: path, Entries: 1, Seed: c.Seed})
	if err != nil {
		return nil, eris.Wrapf(err, "settings and logs are in %s", directory)
	}
	defer func() {
		if err = errors.Join(err, s.Stop()); err == nil {
			err = eris.Wrap(os.RemoveAll(directory), "remove the log directory")
		}
	}()
	return measure(ctx, c, s)
}

// measure measures the idle cost and then the cost under load on a running testbed.
func measure(ctx context.Context, c Config, s *runner.Testbed) (*Result, error) {
	r := &Result{Groups: c.Groups}
	l := loader.New(s.Checker())
	defer l.Close()
	mix, err := loader.ParseMix(service, s.Deployment())
	if err != nil {
		return nil, err
	}
	load := loader.Config{
		Entries: s.EntryAddresses(), Rate: c.SubRequests / float64(c.Groups), Duration: c.Duration, Seed: c.Seed, Mix: mix,
	}
	warm := load
	warm.Duration, warm.Seed = time.Second, c.Seed+1
	l.Run(ctx, warm) // fills the latency distribution that the entry VM keeps
	time.Sleep(connectTime)
	idle, err := measureUsage(s, func() { time.Sleep(idleTime) })
	if err != nil {
		return nil, err
	}
	before, err := s.UpstreamsControl().TotalStats(ctx, service)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	used, err := measureUsage(s, func() {
		r.Report = l.Run(ctx, load)
		time.Sleep(settleTime)
	})
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start).Seconds()
	after, err := s.UpstreamsControl().TotalStats(ctx, service)
	if err != nil {
		return nil, err
	}
	r.Report.ReceivedSubRequests, r.Report.ShedSubRequests = after.Received-before.Received, after.Shed-before.Shed
	if r.Report.ReceivedSubRequests == 0 {
		return nil, eris.New("the upstreams received no sub-requests")
	}
	r.MaxConnections = after.MaxConnections
	r.ResidentBefore, r.ResidentAfter = idle.resident, used.resident
	r.IdleCPU = perSecond(idle.entry, idleTime.Seconds())
	r.LoadedCPU, r.UpstreamsCPU = perSecond(used.entry, elapsed), perSecond(used.upstreams, elapsed)
	r.CPUPerSubRequest = time.Duration(((r.LoadedCPU - r.IdleCPU).Seconds() * elapsed / float64(r.Report.ReceivedSubRequests)) * float64(time.Second))
	return r, nil
}

// perSecond returns the part of d per second of a measurement.
func perSecond(d time.Duration, seconds float64) time.Duration {
	return time.Duration(float64(d) / seconds)
}

// usageDelta holds the CPU times of the processes during a part of a measurement, and the resident memory of the entry VM at its
// end in bytes.
type usageDelta struct {
	entry, upstreams time.Duration
	resident         int64
}

// measureUsage measures the usage of the entry VM and the upstreams fake during a call of run.
func measureUsage(s *runner.Testbed, run func()) (usageDelta, error) {
	var u [4]Usage
	var errs [4]error
	u[0], errs[0] = ReadUsage(s.EntryPID(0))
	u[1], errs[1] = ReadUsage(s.UpstreamsPID())
	run()
	u[2], errs[2] = ReadUsage(s.EntryPID(0))
	u[3], errs[3] = ReadUsage(s.UpstreamsPID())
	return usageDelta{u[2].CPU - u[0].CPU, u[3].CPU - u[1].CPU, u[2].Resident}, errors.Join(errs[:]...)
}

// deploymentFile returns the content of a deployment file with one search service that has one replica for each group. The service
// time is constant, so that the latency added by the entry VM is the measured latency minus the service time.
func deploymentFile(c Config) string {
	return fmt.Sprintf(`[deployment]
name = slope
network = 127.30.0.0
port = 7000
fleet_max = 1
[failure_domains]
names = a
delay = 0s
[service.%s]
kind = search
prefer = coverage
groups = %d
replicas = 1
slots = 20
queue = 20
connections = 20
connect_cost = 1ms
median = %v
sigma = 0
shards = %d
`, service, c.Groups, c.ServiceTime, c.Groups)
}
