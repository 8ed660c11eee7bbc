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

// RequestClass is the part of a service and kind of request in the load. Weights are relative.
type RequestClass struct {
	Service string
	Kind    encoder.SubKind
	Groups  int
	Weight  float64
}

// Config describes one run.
type Config struct {
	Entries          []netip.AddrPort
	Rate             float64 // requests per second over all entries
	Warmup           time.Duration
	Duration         time.Duration
	ConstantArrivals bool // constant instead of Poisson arrivals
	Seed             uint64
	Deadline         time.Duration // sent with each request; 0 leaves it to the service row
	LatencyObjective time.Duration // counts the answers within it
	CallerDelay      time.Duration // one way between callers and entry VMs
	MaxInFlight      int           // requests in flight at most; others count as failed. 0 takes DefaultOutstanding
	Mix              []RequestClass
}

// Defaults of a run.
const (
	DefaultMaxInFlight      = 5000
	DefaultLatencyObjective = 72 * time.Millisecond
	// grace is how long the load tool waits for an answer after the deadline.
	grace = 2 * time.Second
)

// ParseMix reads a mix such as "matching=1,ledger:call=0.1". A service without a kind is searched, or looked up in a point
// service. An empty text takes all search services equally.
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
