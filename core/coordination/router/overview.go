package router

// Overview is a summary of the routing state for operators.
type Overview struct {
	Services   []ServiceOverview
	Suspicions int // request signatures linked to crashes
}

// ServiceOverview is the summary of one service.
type ServiceOverview struct {
	Service  string
	Tokens   int // hedges and retries that the budget currently allows
	Excluded []ExcludedUpstream
}

// ExcludedUpstream is an upstream that receives no new work. Reason is "weight", "draining" or "leaving".
type ExcludedUpstream struct {
	Upstream string
	Reason   string
}

// Overview returns a summary of the current state.
func (m *Machine) Overview() Overview {
	o := Overview{Suspicions: len(m.quarantine.Suspicions())}
	for _, s := range m.services {
		if s.removed {
			continue
		}
		v := ServiceOverview{Service: s.name, Tokens: s.budget.Tokens()}
		for i := range s.set.Len() {
			u := s.set.At(i)
			reason := ""
			switch {
			case u.Row.Weight == 0:
				reason = "weight"
			case u.Draining:
				reason = reasonDraining
			case u.Leaving:
				reason = "leaving"
			default:
				continue
			}
			v.Excluded = append(v.Excluded, ExcludedUpstream{Upstream: u.Row.Upstream, Reason: reason})
		}
		o.Services = append(o.Services, v)
	}
	return o
}
