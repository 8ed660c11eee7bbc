package router

// Overview is what operators see of the routing state.
type Overview struct {
	Services   []ServiceOverview
	Suspicions int // request signatures that are linked to crashes
}

// ServiceOverview is the part of one service.
type ServiceOverview struct {
	Service string
	Tokens  int // hedges and retries that the budget allows now
	Out     []OutOfUse
}

// OutOfUse names an upstream that gets no new work, and why: weight, draining or leaving.
type OutOfUse struct {
	Upstream string
	Why      string
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
			v.Out = append(v.Out, OutOfUse{Upstream: u.Row.Upstream, Why: why})
		}
		o.Services = append(o.Services, v)
	}
	return o
}
