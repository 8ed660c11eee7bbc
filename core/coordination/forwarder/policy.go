package forwarder

import (
	"time"

	"comfreyroute/core/coordination/budgeter"
)

// policy is what a VM has learned about a route.
type policy struct {
	latencies budgeter.Latencies
	delay     time.Duration
	delayAt   time.Time
	current   []float64 // of the shares of a Split: how much each is behind its part
	used      time.Time
}

func (m *Machine) policy(now time.Time, r *Route) *policy {
	if m.policies == nil {
		m.policies = map[string]*policy{}
	}
	p := m.policies[r.Name]
	if p == nil {
		p = &policy{}
		m.policies[r.Name] = p
	}
	p.used = now
	return p
}

// keepPolicies forgets the routes that left the manifest some time ago.
func (m *Machine) keepPolicies(now time.Time, manifest *Manifest) {
	present := make(map[string]bool, len(manifest.Routes))
	for i := range manifest.Routes {
		present[manifest.Routes[i].Name] = true
	}
	for name, p := range m.policies {
		if !present[name] && now.Sub(p.used) > idleForget {
			delete(m.policies, name)
		}
	}
}

// hedgeDelay returns after which time a sub-request is sent to a second upstream.
func (p *policy) hedgeDelay(now time.Time, r *Route, timeout time.Duration) time.Duration {
	if !p.delayAt.IsZero() && now.Sub(p.delayAt) < delayLife {
		return p.delay
	}
	target := r.LatencyTarget
	if target <= 0 {
		target = timeout / 2
	}
	most := time.Duration(float64(target) * hedgeMost)
	p.delay, p.delayAt = most, now
	if p.latencies.Count() >= minSamples {
		least := time.Duration(float64(target) * hedgeLeast)
		p.delay = min(max(p.latencies.Quantile(hedgeQuantile), least), most)
	}
	return p.delay
}

// choose returns the share whose turn it is: smooth weighted round robin, which keeps each share's part in any short run too.
func (p *policy) choose(s *Split) string {
	if len(p.current) != len(s.Services) {
		p.current = make([]float64, len(s.Services))
	}
	best, total := -1, 0.0
	for i := range s.Services {
		w := max(0, s.Services[i].Weight)
		total += w
		p.current[i] += w
		if w > 0 && (best < 0 || p.current[i] > p.current[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	p.current[best] -= total
	return s.Services[best].Service
}
