package describer

import (
	"errors"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

const servicePrefix = "service."

// ReadFile reads and validates a deployment file. The error lists every fault of the file.
func ReadFile(path string) (*Deployment, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read deployment %s", path)
	}
	d, err := convert(f)
	if err != nil {
		return nil, eris.Wrapf(err, "deployment %s", path)
	}
	return d, nil
}

// Parse is Read for the content of a file.
func Parse(data []byte) (*Deployment, error) {
	f, err := ini.Load(data)
	if err != nil {
		return nil, eris.Wrap(err, "read deployment")
	}
	return convert(f)
}

func convert(f *ini.File) (*Deployment, error) {
	var faults []error
	d := &Deployment{}
	for _, s := range f.Sections() {
		r := &reader{section: s, faults: &faults}
		switch name := s.Name(); {
		case name == "deployment":
			readDeployment(r, d)
		case name == "failure_domains":
			readDomains(r, d)
		case strings.HasPrefix(name, servicePrefix):
			d.Services = append(d.Services, readService(r, strings.TrimPrefix(name, servicePrefix)))
		case name != ini.DefaultSection || len(s.Keys()) > 0:
			r.fault("", name, "sections deployment, failure_domains and service.NAME")
		}
		r.rest()
	}
	if len(d.FailureDomains) == 0 {
		faults = append(faults, eris.New("section failure_domains: names is empty, allowed: at least one name"))
	}
	if len(d.Services) == 0 || len(d.Services) > 16 {
		faults = append(faults, eris.Errorf("%d services, allowed: 1 to 16", len(d.Services)))
	}
	for i := range d.Services {
		if s := &d.Services[i]; len(d.Services) > 1 && s.Groups*s.Replicas > maxServers {
			faults = append(faults, eris.Errorf("section service.%s: %d servers, allowed: up to 250 beside other services", s.Name, s.Groups*s.Replicas))
		}
	}
	if !d.Network.Is4() || !d.Network.IsLoopback() || d.Network.As4()[2] > 240 {
		faults = append(faults, eris.Errorf("section deployment: network %s, allowed: 127.x.y.z with y up to 240", d.Network))
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	return d, nil
}

func readDeployment(r *reader, d *Deployment) {
	d.Name = r.text("name", "deployment")
	d.Network, _ = netip.ParseAddr(r.text("network", "127.20.0.0")) // convert rejects the zero address
	d.Port = uint16(r.integer("port", 7000, 1, 65535))
	d.FleetMax = r.integer("fleet_max", 12, 1, 10000)
	d.Seed = uint64(r.integer("seed", 1, 0, 1<<31))
	d.CallerDelay = r.duration("caller_delay", 0, time.Second)
}

func readDomains(r *reader, d *Deployment) {
	for _, n := range strings.Split(r.text("names", ""), ",") {
		if n = strings.TrimSpace(n); n != "" {
			d.FailureDomains = append(d.FailureDomains, n)
		}
	}
	d.InterDomainDelay = r.duration("delay", 0, time.Second)
	d.DomainPairDelays = make(map[string]time.Duration)
	for _, k := range r.section.Keys() {
		pair, ok := strings.CutPrefix(k.Name(), "delay.")
		if !ok {
			continue
		}
		a, b, _ := strings.Cut(pair, ".")
		if a >= b || !slices.Contains(d.FailureDomains, a) || !slices.Contains(d.FailureDomains, b) {
			r.fault(k.Name(), pair, "delay.A.B with two names of failure domains in order")
			continue
		}
		d.DomainPairDelays[pair] = r.duration(k.Name(), 0, time.Second)
	}
}

func readService(r *reader, name string) Service {
	s := Service{
		Name:              name,
		IsSearch:          r.choice("kind", "search", "point") == "search",
		Prefer:            r.choice("prefer", "coverage", "latency"),
		Groups:            r.integer("groups", 1, 1, maxAlone),
		Replicas:          r.integer("replicas", 1, 1, maxServers),
		Slots:             r.integer("slots", 2, 1, 1000),
		Queue:             r.integer("queue", 4, 0, 1000),
		Connections:       r.integer("connections", 25, 1, 100000),
		ConnectCost:       r.duration("connect_cost", 0, time.Second),
		ServiceTimeMedian: r.duration("median", 5*time.Millisecond, time.Minute),
		ServiceTimeSigma:  r.float("sigma", 0.4, 0, 3),
		TailShare:         r.float("tail_share", 0, 0, 1),
		TailDelay:         r.duration("tail_time", 0, time.Minute),
		ColdFactor:        r.float("cold_factor", 4, 1, 1000),
		ColdRequests:      r.integer("cold_requests", 50, 0, 1000000),
		Version:           uint64(r.integer("version", 1, 1, 1<<31)),
		Layout:            r.text("layout", "l1"),
		Shards:            r.integer("shards", 1, 1, 100000),
	}
	if name == "" || s.Groups*s.Replicas > maxAlone {
		r.fault("groups", name, "a service name, and at most 250 servers in one service, or 1000 if it is the only one")
	}
	if !s.IsSearch && s.Groups != 1 {
		r.fault("groups", name, "one group in a point service")
	}
	if s.IsSearch && s.Shards < s.Groups {
		r.fault("shards", name, "at least as many shards as groups")
	}
	return s
}
