package router

// Overview is what operators see of the routing state.
type Overview struct {
	Services   []ServiceOverview
	Suspicions int // request signatures that are linked to crashes
}

// ServiceOverview is the part of one service.
type ServiceOverview struct {
	Service  string
	Tokens   int // hedges and retries that the budget allows now
	Excluded []ExcludedUpstream
}

// ExcludedUpstream names an upstream that gets no new work, and why: weight, draining or leaving.
type ExcludedUpstream struct {
	Upstream string
	Reason   string
}

// Overview returns the present state.
func (m *Machine) Overview() Overview {
	o := Overview{Suspicions: len(m.quarantine.Suspicions())}
	for _, s := range m.services {
		if s.removed {
			continue
		}
		v := ServiceOverview{Service: s.name, Tokens: s.budget.Tokens()}
		for i := range s.set.Len() {
			u := s.set.At(i)
			why := ""
			switch {
			case u.Row.Weight == 0:
				why = "weight"
			case u.Draining:
				why = reasonDraining
			case u.Leaving:
				why = "leaving"
			default:
				continue
			}
			v.Excluded = append(v.Excluded, ExcludedUpstream{Upstream: u.Row.Upstream, Reason: why})
		}
		o.Services = append(o.Services, v)
	}
	return o
}
