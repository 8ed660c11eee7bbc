package runner

import (
	"fmt"
	"slices"

	"comfreyroute/bench/internal/controller"
	"comfreyroute/upstreams/describer"
)

// step is a command at a part of the measured time of a block.
type step struct {
	at      float64
	command controller.Command
}

// version is an index version that the steps of a block bring.
type version struct {
	number uint64
	layout string
	shards int
}

// Constants of the scenarios.
const (
	stragglerShare   = 0.01
	stragglerDelayMS = 200
	faultStart       = 0.2 // parts of a block
	faultEnd         = 0.8
	restartMS        = 200
)

// scenarios gives the steps of each scenario. Each block ends in the state in which it began, but for the index version.
var scenarios = map[string]func(e *Experiment, block int) ([]step, *version){
	"none":      func(*Experiment, int) ([]step, *version) { return nil, nil },
	"overload":  func(*Experiment, int) ([]step, *version) { return nil, nil }, // the load makes the overload
	"straggler": straggler,
	"dark":      dark,
	"replicas":  replicas,
	"index":     index,
	"restart":   restart,
}

// Scenarios lists the names of the scenarios.
func Scenarios() []string {
	var names []string
	for n := range scenarios {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// straggler delays a share of the sub-requests of all servers.
func straggler(e *Experiment, _ int) ([]step, *version) {
	c := controller.Command{Target: controller.Target{Service: e.Service}, Action: "straggler", Share: stragglerShare, DelayMS: stragglerDelayMS}
	off := c
	off.Off = true
	return []step{{0, c}, {1, off}}, nil
}

// dark makes another failure domain unreachable in each block.
func dark(e *Experiment, block int) ([]step, *version) {
	domains := e.Deployment.FailureDomains
	c := controller.Command{Target: controller.Target{FailureDomain: domains[block%len(domains)]}, Action: "dark"}
	off := c
	off.Off = true
	return []step{{faultStart, c}, {faultEnd, off}}, nil
}

// replicas crashes one replica of each group, which stays away until the fault ends.
func replicas(e *Experiment, block int) ([]step, *version) {
	r := block % e.Deployment.FindService(e.Service).Replicas
	away := (faultEnd - faultStart) * float64(e.Block.Milliseconds())
	return []step{{faultStart, controller.Command{
		Target: controller.Target{Service: e.Service, Replica: &r}, Action: "crash", ForMS: int64(away),
	}}}, nil
}

// index brings a new index version with another number of shards, replica by replica, and then drops the old one the same way.
func index(e *Experiment, block int) ([]step, *version) {
	s := e.Deployment.FindService(e.Service)
	v := &version{number: s.Version + uint64(block) + 1, layout: fmt.Sprintf("%s-%d", s.Layout, block+1), shards: s.Shards}
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
	return ordered(steps), v
}

// restart restarts one server after the other, all servers of a replica number before those of the next one.
func restart(e *Experiment, _ int) ([]step, *version) {
	servers := slices.DeleteFunc(e.Deployment.Servers(), func(s describer.Server) bool { return s.Service.Name != e.Service })
	replicas := servers[0].Service.Replicas
	var steps []step
	for r := range replicas {
		for i := r; i < len(servers); i += replicas {
			steps = append(steps, step{
				at:      0.05 + 0.75*float64(len(steps))/float64(len(servers)),
				command: controller.Command{Target: controller.Target{Upstream: servers[i].Name}, Action: "restart", ForMS: restartMS},
			})
		}
	}
	return steps, nil
}

func ordered(steps []step) []step {
	slices.SortStableFunc(steps, func(a, b step) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		default:
			return 0
		}
	})
	return steps
}
