package forwarder

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Manifest is one version of the routes. It is immutable after NewManifest.
type Manifest struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits

	hosts map[string][]*Route // longest prefix first
}

// Service bounds the connections to each upstream of a service.
type Service struct {
	Name           string
	MaxConnections int // of all VMs together, for each upstream
}

// Limits bound what a caller may send, and how long it may take. Zero means that the manifest sets no limit.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the opening of a connection until the first request's header is complete
	IdleTimeout    time.Duration // between two requests on a connection
}

// Route says where requests go and what is allowed for them.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Idempotent    bool
	Timeout       time.Duration // longest time that a request is kept waiting; 0 for none
	LatencyTarget time.Duration // latency within which an answer earns its full credit; 0 for none
	Priority      int           // 0 is the highest
	MaxAttempts   int           // most upstreams on which one request may run, for each shard
	Destination   Destination
}

// Destination says to which services a route leads.
type Destination interface{ isDestination() }

// Split sends each request to one of its services, in proportion to their weights.
type Split struct{ Services []WeightedService }

// WeightedService is the part of one service in a Split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Gather sends each request to one upstream of every shard and merges the replies.
type Gather struct {
	Shards      []string // services
	TopK        int      // records in the answer
	MinCoverage float64  // least share of the shards in an answer, 0 to 1
}

func (Split) isDestination()  {}
func (Gather) isDestination() {}

// NewManifest returns a manifest that finds its routes by host and path.
func NewManifest(version uint64, routes []Route, services []Service, limits Limits) *Manifest {
	m := &Manifest{Version: version, Routes: routes, Services: services, Limits: limits, hosts: map[string][]*Route{}}
	for i := range m.Routes {
		r := &m.Routes[i]
		host := strings.ToLower(r.Host)
		m.hosts[host] = append(m.hosts[host], r)
	}
	for _, routes := range m.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return m
}

// Match returns the route with the longest prefix that begins the path, or nil.
func (m *Manifest) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := m.hosts[host]
	if !ok {
		if name, _, cut := strings.Cut(host, ":"); cut {
			routes = m.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// least returns the fewest shards of an answer.
func (g *Gather) least() int {
	n := 1
	// The comparison is the one that a reader of the answer makes, so that rounding cannot put an answer below the minimum.
	for n < len(g.Shards) && float64(n) < g.MinCoverage*float64(len(g.Shards)) {
		n++
	}
	return n
}
