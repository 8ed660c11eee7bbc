package describer

import (
	"fmt"
	"math"
	"net/netip"
	"time"
)

// Deployment describes all upstream servers of one user.
type Deployment struct {
	Name           string
	Network        netip.Addr // first address; server n of service s has the address Network + s*256 + n + 1 up to n = 249
	Port           uint16
	FleetMax       int
	Seed           uint64
	FailureDomains []string
	Delay          time.Duration            // one way between two failure domains
	Delays         map[string]time.Duration // exceptions, by "a.b" with a before b
	CallerDelay    time.Duration            // one way between callers and entry VMs
	Services       []Service
}

// Service describes the servers of one service. A point service has one group.
type Service struct {
	Name        string
	Search      bool
	Prefer      string // coverage or latency
	Groups      int
	Replicas    int
	Slots       int
	Queue       int // sub-requests that wait for a slot of one server
	Connections int
	ConnectCost time.Duration

	Median    time.Duration // of the log-normal service time
	Sigma     float64
	TailShare float64 // share of sub-requests that take TailTime longer
	TailTime  time.Duration

	ColdFactor   float64 // the first ColdRequests after a restart take this many times as long
	ColdRequests int

	Version uint64
	Layout  string
	Shards  int
}

// Server is one upstream server.
type Server struct {
	Name          string
	Service       *Service
	Group         int
	Address       netip.AddrPort
	FailureDomain string
}

// Numbers of servers of one service. Servers above maxServers take the addresses of the following services, so only a service
// that is alone may have them.
const (
	maxServers = 250
	maxAlone   = 1000
)

// Servers lists the servers of all services. Replicas of one group are in different failure domains while there are enough.
func (d *Deployment) Servers() []Server {
	var servers []Server
	for i := range d.Services {
		s := &d.Services[i]
		for g := range s.Groups {
			for r := range s.Replicas {
				name := fmt.Sprintf("%s-g%02d-r%d", s.Name, g, r)
				if !s.Search {
					name = fmt.Sprintf("%s-%02d", s.Name, r)
				}
				servers = append(servers, Server{
					Name:          name,
					Service:       s,
					Group:         g,
					Address:       netip.AddrPortFrom(d.host(i, g*s.Replicas+r), d.Port),
					FailureDomain: d.FailureDomains[(g+r)%len(d.FailureDomains)],
				})
			}
		}
	}
	return servers
}

func (d *Deployment) host(service, server int) netip.Addr {
	a := d.Network.As4()
	a[2] += byte(service + server/maxServers)
	a[3] = byte(server%maxServers + 1)
	return netip.AddrFrom4(a)
}

// OneWay returns the one-way delay between two failure domains. An empty name stands for the same failure domain.
func (d *Deployment) OneWay(a, b string) time.Duration {
	if a == b || a == "" || b == "" {
		return 0
	}
	if a > b {
		a, b = b, a
	}
	if delay, ok := d.Delays[a+"."+b]; ok {
		return delay
	}
	return d.Delay
}

// Find returns a service by name, or nil.
func (d *Deployment) Find(service string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == service {
			return &d.Services[i]
		}
	}
	return nil
}

// Capacity returns the requests per second that a service can run when all its servers are equally busy: each request takes
// one slot in each group for the mean service time.
func (s *Service) Capacity() float64 {
	mean := s.Median.Seconds()*math.Exp(s.Sigma*s.Sigma/2) + s.TailShare*s.TailTime.Seconds()
	return float64(s.Replicas*s.Slots) / mean
}
