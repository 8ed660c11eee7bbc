package replayer

import (
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/coordination/selector"
	"comfreyroute/core/state/settler"
)

// routerConcern is added to the seed of the settings for the generator of the router, as the entry daemon does.
const routerConcern = 1

// Machine returns a router as the entry VM with these settings and this incarnation had it at its start.
func Machine(s *settler.Settings, incarnation uint64) (*router.Machine, error) {
	for _, p := range []selector.Policy{selector.Score, selector.P2C, selector.Least, selector.Random} {
		if p.String() != s.Policy.Selection {
			continue
		}
		m := &router.Machine{}
		m.Configure(router.Config{
			FailureDomain: s.VM.FailureDomain, VM: s.VM.ID, Selection: p, HedgeOff: !s.Policy.Hedge, AdaptiveOff: !s.Policy.Adaptive,
			Random: rand.New(rand.NewPCG(s.Policy.Seed+routerConcern, incarnation)),
		})
		return m, nil
	}
	return nil, eris.Errorf("settings: selection %q is not known to the router", s.Policy.Selection)
}
