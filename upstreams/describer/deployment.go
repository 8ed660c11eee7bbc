package describer

import (
	"fmt"
	"math"
	"net/netip"
	"time"
)

// Deployment describes all upstream servers of one user of comfreyroute.
type Deployment struct {
	Name             string
	Network          netip.Addr // first address; server n of service s has the address Network + s*256 + n + 1 up to n = 249
	Port             uint16
	FleetMax         int // maximum number of entry VMs at once
	Seed             uint64
	FailureDomains   []string
	InterDomainDelay time.Duration            // one-way network delay between two failure domains
	DomainPairDelays map[string]time.Duration // exceptions to InterDomainDelay by "a.b", where a sorts before b
	CallerDelay      time.Duration            // one-way network delay between callers and entry VMs
	Services         []Service
}

// Service describes the servers of one service. A point service has one group.
type Service struct {
	Name        string
	IsSearch    bool
	Prefer      string // coverage or latency
	Groups      int
	Replicas    int
	Slots       int
	Queue       int // maximum number of sub-requests that wait for a slot of one server
	Connections int
	ConnectCost time.Duration

	ServiceTimeMedian time.Duration // of the log-normal distribution of service times
	ServiceTimeSigma  float64
	TailShare         float64 // share of sub-requests whose service time is TailDelay longer
	TailDelay         time.Duration

	ColdFactor   float64 // factor on the service time of the first ColdRequests sub-requests after a restart
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

// Limits of the number of servers of a service. Servers beyond maxServers use the addresses of the following services, so only the
// single service of a deployment may have more.
const (
	maxServers      = 250
	maxServersAlone = 1000
)

// Servers returns the servers of all services. The replicas of a group are in different failure domains as long as there are
// enough of them.
func (d *Deployment) Servers() []Server {
	var servers []Server
	for i := range d.Services {
		s := &d.Services[i]
		for g := range s.Groups {
			for r := range s.Replicas {
				name := fmt.Sprintf("%s-g%02d-r%d", s.Name, g, r)
				if !s.IsSearch {
					name = fmt.Sprintf("%s-%02d", s.Name, r)
				}
				servers = append(servers, Server{
					Name:          name,
					Service:       s,
					Group:         g,
					Address:       netip.AddrPortFrom(d.serverAddress(i, g*s.Replicas+r), d.Port),
					FailureDomain: d.FailureDomains[(g+r)%len(d.FailureDomains)],
				})
			}
		}
	}
	return servers
}

func (d *Deployment) serverAddress(service, server int) netip.Addr {
	a := d.Network.As4()
	a[2] += byte(service + server/maxServers)
	a[3] = byte(server%maxServers + 1)
	return netip.AddrFrom4(a)
}

// OneWayDelay returns the one-way network delay between two failure domains. It is 0 if they are equal or if one of the names is
// empty.
func (d *Deployment) OneWayDelay(a, b string) time.Duration {
	if a == b || a == "" || b == "" {
		return 0
	}
	if a > b {
		a, b = b, a
	}
	if delay, ok := d.DomainPairDelays[a+"."+b]; ok {
		return delay
	}
	return d.InterDomainDelay
}

// FindService returns the service with a name, or nil if there is none.
func (d *Deployment) FindService(service string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == service {
			return &d.Services[i]
		}
	}
	return nil
}

// Capacity returns the number of requests per second that a service can handle if the load is equal on all its servers: each
// request occupies one slot in each group for the mean service time.
func (s *Service) Capacity() float64 {
	mean := s.ServiceTimeMedian.Seconds()*math.Exp(s.ServiceTimeSigma*s.ServiceTimeSigma/2) + s.TailShare*s.TailDelay.Seconds()
	return float64(s.Replicas*s.Slots) / mean
}
