package runner

import (
	"fmt"
	"slices"

	"comfreyroute/bench/internal/controller"
	"comfreyroute/upstreams/describer"
)

// step is a command that is sent when a fraction of the measured time of a block has passed.
type step struct {
	fraction float64
	command  controller.Command
}

// indexVersion is an index version that the steps of a block publish.
type indexVersion struct {
	number uint64
	layout string
	shards int
}

// Parameters of the scenarios.
const (
	stragglerShare    = 0.01
	stragglerDelayMS  = 200
	faultStart        = 0.2 // fraction of a block
	faultEnd          = 0.8
	restartDowntimeMS = 200
)

// scenarioSteps returns the steps of each scenario by name. A block ends in the state in which it began, except for the index
// version.
var scenarioSteps = map[string]func(e *Experiment, block int) ([]step, *indexVersion){
	"none":      func(*Experiment, int) ([]step, *indexVersion) { return nil, nil },
	"overload":  func(*Experiment, int) ([]step, *indexVersion) { return nil, nil }, // the load of the experiment is above the capacity
	"straggler": stragglerSteps,
	"dark":      darkDomainSteps,
	"replicas":  replicaCrashSteps,
	"index":     indexChangeSteps,
	"restart":   rollingRestartSteps,
}

// Scenarios returns the sorted names of the scenarios.
func Scenarios() []string {
	var names []string
	for n := range scenarioSteps {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// stragglerSteps delays a share of the sub-requests of all servers.
func stragglerSteps(e *Experiment, _ int) ([]step, *indexVersion) {
	c := controller.Command{Target: controller.Target{Service: e.Service}, Action: "straggler", Share: stragglerShare, DelayMS: stragglerDelayMS}
	off := c
	off.Off = true
	return []step{{0, c}, {1, off}}, nil
}

// darkDomainSteps makes one failure domain unreachable, in each block the next one.
func darkDomainSteps(e *Experiment, block int) ([]step, *indexVersion) {
	domains := e.Deployment.FailureDomains
	c := controller.Command{Target: controller.Target{FailureDomain: domains[block%len(domains)]}, Action: "dark"}
	off := c
	off.Off = true
	return []step{{faultStart, c}, {faultEnd, off}}, nil
}

// replicaCrashSteps crashes one replica of each group, which stays down until faultEnd.
func replicaCrashSteps(e *Experiment, block int) ([]step, *indexVersion) {
	r := block % e.Deployment.FindService(e.Service).Replicas
	away := (faultEnd - faultStart) * float64(e.Block.Milliseconds())
	return []step{{faultStart, controller.Command{
		Target: controller.Target{Service: e.Service, Replica: &r}, Action: "crash", ForMS: int64(away),
	}}}, nil
}

// indexChangeSteps publishes a new index version with a different number of shards, replica by replica, and then drops the old
// version in the same order.
func indexChangeSteps(e *Experiment, block int) ([]step, *indexVersion) {
	s := e.Deployment.FindService(e.Service)
	v := &indexVersion{number: s.Version + uint64(block) + 1, layout: fmt.Sprintf("%s-%d", s.Layout, block+1), shards: s.Shards}
	if block%2 == 0 {
		v.shards = s.Shards * 3 / 2
	}
	var steps []step
	for r := range s.Replicas {
		part := 0.3 * float64(r) / float64(s.Replicas)
		t := controller.Target{Service: e.Service, Replica: &r}
		steps = append(steps,
			step{0.1 + part, controller.Command{Target: t, Action: "hold", Version: v.number, Layout: v.layout, Shards: v.shards}},
			step{0.6 + part, controller.Command{Target: t, Action: "drop", Version: v.number - 1}})
	}
	return sortSteps(steps), v
}

// rollingRestartSteps restarts the servers of a service one after the other, all servers of one replica number before those of the
// next one.
func rollingRestartSteps(e *Experiment, _ int) ([]step, *indexVersion) {
	servers := slices.DeleteFunc(e.Deployment.Servers(), func(s describer.Server) bool { return s.Service.Name != e.Service })
	replicas := servers[0].Service.Replicas
	var steps []step
	for r := range replicas {
		for i := r; i < len(servers); i += replicas {
			steps = append(steps, step{
				fraction: 0.05 + 0.75*float64(len(steps))/float64(len(servers)),
				command:  controller.Command{Target: controller.Target{Upstream: servers[i].Name}, Action: "restart", ForMS: restartDowntimeMS},
			})
		}
	}
	return steps, nil
}

// sortSteps sorts steps by their fraction of the block.
func sortSteps(steps []step) []step {
	slices.SortStableFunc(steps, func(a, b step) int {
		switch {
		case a.fraction < b.fraction:
			return -1
		case a.fraction > b.fraction:
			return 1
		default:
			return 0
		}
	})
	return steps
}
