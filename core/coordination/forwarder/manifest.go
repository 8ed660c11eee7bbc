package forwarder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyroute/core/coordination/authenticator"
)

// Manifest is one version of the routing configuration. It is immutable once a ManifestAdopted event carries it.
type Manifest struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits

	Customers *authenticator.Directory // nil if callers need no key

	hosts        map[string][]*Route // longest prefix first
	fingerprints map[*Route]uint64   // two VMs with the same fingerprint route requests in the same way
}

// Service limits what each upstream of a service gets from all VMs.
type Service struct {
	Name           string
	MaxConnections int
	WarmupRate     float64       // requests per second while the upstream is cold; 0 for no limit
	ColdTime       time.Duration // for which an upstream is cold after its start
}

// Limits bound the size and duration of what a caller sends. Zero means that the manifest sets no limit.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the opening of a connection until the header of the first request is complete
	IdleTimeout    time.Duration // between two requests on a connection
}

// Route maps a host and path prefix to services and sets the policy for its requests.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Idempotent    bool
	Timeout       time.Duration // longest time until a request is answered; 0 for none
	LatencyTarget time.Duration // latency within which an answer gets full credit; 0 for none
	Priority      int           // 0 is the highest
	MaxAttempts   int           // upstreams on which one request may run, per shard
	Anonymous     bool          // callers need no key
	Destination   Destination
}

// Destination is the set of services that a route forwards to.
type Destination interface{ isDestination() }

// Split forwards each request to one of its services, in proportion to their weights.
type Split struct{ Services []WeightedService }

// WeightedService is one service of a Split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Gather forwards each request to one upstream of every shard and merges the replies.
type Gather struct {
	Shards      []string // names of services
	TopK        int      // most records in the answer
	MinCoverage float64  // smallest share of the shards in an answer, 0 to 1
}

func (Split) isDestination()  {}
func (Gather) isDestination() {}

// NewManifest returns a manifest whose routes are indexed by host and path.
func NewManifest(version uint64, routes []Route, services []Service, limits Limits) *Manifest {
	m := &Manifest{
		Version: version, Routes: routes, Services: services, Limits: limits,
		hosts: map[string][]*Route{}, fingerprints: make(map[*Route]uint64, len(routes)),
	}
	for i := range m.Routes {
		r := &m.Routes[i]
		m.fingerprints[r] = xxhash.Sum64String(fmt.Sprintf("%#v", *r))
		host := strings.ToLower(r.Host)
		m.hosts[host] = append(m.hosts[host], r)
	}
	for _, routes := range m.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return m
}

// Match returns the route for a host with the longest matching path prefix, or nil.
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

// minShards returns the fewest shards that an answer must have.
func (g *Gather) minShards() int {
	n := 1
	// This is the comparison that a receiver of the answer makes, so that rounding cannot put an answer below the minimum.
	for n < len(g.Shards) && float64(n) < g.MinCoverage*float64(len(g.Shards)) {
		n++
	}
	return n
}
