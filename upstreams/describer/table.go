package describer

import (
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

// Objectives in the service rows of the table: the project's targets in docs/design.md, section 1.3.
const (
	objectiveLatencyShare  = 0.99
	objectiveCoverageShare = 0.999
)

// Table returns the values of the operators' table of the deployment: the fleet row and one value for each service.
func (d *Deployment) Table() []*tabler.Value {
	fleet := &tabler.Value{Fleet: tabler.Fleet{Max: d.FleetMax}}
	fleet.Service.Service = tabler.FleetService
	values := []*tabler.Value{fleet}
	byName := make(map[string]*tabler.Value)
	for i := range d.Services {
		s := &d.Services[i]
		v := &tabler.Value{Service: tabler.NewServiceRow(s.Name)}
		if !s.IsSearch {
			v.Service.Kind = tabler.KindPoint
		}
		if s.Prefer == "latency" {
			v.Service.Prefer = tabler.PreferLatency
		}
		v.Service.Objective = tabler.Objective{Latency: v.Service.Deadline, LatencyShare: objectiveLatencyShare, CoverageShare: objectiveCoverageShare}
		values, byName[s.Name] = append(values, v), v
	}
	for _, s := range d.Servers() {
		v := byName[s.Service.Name]
		v.Upstreams = append(v.Upstreams, tabler.UpstreamRow{
			Service: s.Service.Name, Group: s.Group, Upstream: s.Name, Address: s.Address, FailureDomain: s.FailureDomain,
			Weight: tabler.DefaultWeight, Connections: s.Service.Connections, Slots: s.Service.Slots, ConnectCost: s.Service.ConnectCost,
		})
	}
	return values
}

// ListedVMs returns the entries of the upstream servers in the platform's VM list.
func (d *Deployment) ListedVMs() []encoder.ListedVM {
	var vms []encoder.ListedVM
	for _, s := range d.Servers() {
		vms = append(vms, encoder.ListedVM{
			Name: s.Name, Role: "upstream", Address: s.Address.String(), FailureDomain: s.FailureDomain, State: encoder.VMLive,
		})
	}
	return vms
}
