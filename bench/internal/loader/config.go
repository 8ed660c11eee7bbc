package loader

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/upstreams/describer"
)

// RequestClass is a service and kind of request in the mix of a load.
type RequestClass struct {
	Service string
	Kind    encoder.SubKind
	Groups  int     // sub-requests that each request needs
	Weight  float64 // relative to the weights of the other classes
}

// Config describes one run of the load generator.
type Config struct {
	Entries          []netip.AddrPort // addresses of the entry VMs for callers
	Rate             float64          // requests per second over all entry VMs
	Warmup           time.Duration    // before the measured time
	Duration         time.Duration    // measured time
	ConstantArrivals bool             // requests are sent at constant intervals instead of with Poisson arrivals
	Seed             uint64
	Deadline         time.Duration // sent with each request; 0 takes the one of the service row
	LatencyObjective time.Duration // answers within it are counted; 0 takes DefaultLatencyObjective
	CallerDelay      time.Duration // one way between callers and entry VMs
	MaxInFlight      int           // further requests are not sent and count as failed; 0 takes DefaultMaxInFlight
	Mix              []RequestClass
}

// Defaults and constants of a run.
const (
	DefaultMaxInFlight      = 5000
	DefaultLatencyObjective = 72 * time.Millisecond
	// answerGrace is how long the load generator waits for an answer after the deadline of a request.
	answerGrace = 2 * time.Second
)

// ParseMix parses a mix such as "matching=1,ledger:call=0.1". Without a kind, the requests are searches of a search service or
// lookups of a point service. The default weight is 1. An empty text stands for all search services with equal weights.
func ParseMix(text string, d *describer.Deployment) ([]RequestClass, error) {
	var mix []RequestClass
	if text == "" {
		for i := range d.Services {
			if s := &d.Services[i]; s.IsSearch {
				mix = append(mix, RequestClass{Service: s.Name, Kind: encoder.SubSearch, Groups: s.Groups, Weight: 1})
			}
		}
		return mix, nil
	}
	for _, part := range strings.Split(text, ",") {
		name, weight, ok := strings.Cut(strings.TrimSpace(part), "=")
		w := 1.0
		if ok {
			var err error
			if w, err = strconv.ParseFloat(weight, 64); err != nil || !(w > 0) {
				return nil, eris.Errorf("mix: weight %q of %s, allowed: a number above 0", weight, name)
			}
		}
		service, kind, _ := strings.Cut(name, ":")
		s := d.FindService(service)
		if s == nil {
			return nil, eris.Errorf("mix: service %q, allowed: a service of deployment %s", service, d.Name)
		}
		x := RequestClass{Service: service, Kind: encoder.SubKind(kind), Groups: s.Groups, Weight: w}
		switch {
		case kind == "" && s.IsSearch:
			x.Kind = encoder.SubSearch
		case kind == "":
			x.Kind = encoder.SubLookup
		case s.IsSearch != (x.Kind == encoder.SubSearch) || (x.Kind != encoder.SubSearch && x.Kind != encoder.SubLookup && x.Kind != encoder.SubCall):
			return nil, eris.Errorf("mix: kind %q of %s, allowed: search for a search service, lookup or call for a point service", kind, service)
		}
		mix = append(mix, x)
	}
	return mix, nil
}
