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

// ReadFile reads and validates a deployment file. The returned error lists all errors of the file.
func ReadFile(path string) (*Deployment, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read deployment %s", path)
	}
	d, err := decode(f)
	if err != nil {
		return nil, eris.Wrapf(err, "deployment %s", path)
	}
	return d, nil
}

// Parse parses and validates the contents of a deployment file. The returned error lists all errors.
func Parse(data []byte) (*Deployment, error) {
	f, err := ini.Load(data)
	if err != nil {
		return nil, eris.Wrap(err, "read deployment")
	}
	return decode(f)
}

func decode(f *ini.File) (*Deployment, error) {
	var errs []error
	d := &Deployment{}
	for _, s := range f.Sections() {
		r := &sectionReader{section: s, errs: &errs}
		switch name := s.Name(); {
		case name == "deployment":
			readDeployment(r, d)
		case name == "failure_domains":
			readFailureDomains(r, d)
		case strings.HasPrefix(name, servicePrefix):
			d.Services = append(d.Services, readService(r, strings.TrimPrefix(name, servicePrefix)))
		case name != ini.DefaultSection || len(s.Keys()) > 0:
			r.addError("", name, "sections deployment, failure_domains and service.NAME")
		}
		r.reportUnknownKeys()
	}
	if len(d.FailureDomains) == 0 {
		errs = append(errs, eris.New("section failure_domains: names is empty, allowed: at least one name"))
	}
	if len(d.Services) == 0 || len(d.Services) > 16 {
		errs = append(errs, eris.Errorf("%d services, allowed: 1 to 16", len(d.Services)))
	}
	for i := range d.Services {
		if s := &d.Services[i]; len(d.Services) > 1 && s.Groups*s.Replicas > maxServers {
			errs = append(errs, eris.Errorf("section service.%s: %d servers, allowed: up to 250 beside other services", s.Name, s.Groups*s.Replicas))
		}
	}
	if !d.Network.Is4() || !d.Network.IsLoopback() || d.Network.As4()[2] > 240 {
		errs = append(errs, eris.Errorf("section deployment: network %s, allowed: 127.x.y.z with y up to 240", d.Network))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return d, nil
}

func readDeployment(r *sectionReader, d *Deployment) {
	d.Name = r.getString("name", "deployment")
	d.Network, _ = netip.ParseAddr(r.getString("network", "127.20.0.0")) // decode rejects the zero address
	d.Port = uint16(r.getInt("port", 7000, 1, 65535))
	d.FleetMax = r.getInt("fleet_max", 12, 1, 10000)
	d.Seed = uint64(r.getInt("seed", 1, 0, 1<<31))
	d.CallerDelay = r.getDuration("caller_delay", 0, time.Second)
}

func readFailureDomains(r *sectionReader, d *Deployment) {
	for _, n := range strings.Split(r.getString("names", ""), ",") {
		if n = strings.TrimSpace(n); n != "" {
			d.FailureDomains = append(d.FailureDomains, n)
		}
	}
	d.InterDomainDelay = r.getDuration("delay", 0, time.Second)
	d.DomainPairDelays = make(map[string]time.Duration)
	for _, k := range r.section.Keys() {
		pair, ok := strings.CutPrefix(k.Name(), "delay.")
		if !ok {
			continue
		}
		a, b, _ := strings.Cut(pair, ".")
		if a >= b || !slices.Contains(d.FailureDomains, a) || !slices.Contains(d.FailureDomains, b) {
			r.addError(k.Name(), pair, "delay.A.B with two names of failure domains in order")
			continue
		}
		d.DomainPairDelays[pair] = r.getDuration(k.Name(), 0, time.Second)
	}
}

func readService(r *sectionReader, name string) Service {
	s := Service{
		Name:              name,
		IsSearch:          r.getChoice("kind", "search", "point") == "search",
		Prefer:            r.getChoice("prefer", "coverage", "latency"),
		Groups:            r.getInt("groups", 1, 1, maxServersAlone),
		Replicas:          r.getInt("replicas", 1, 1, maxServers),
		Slots:             r.getInt("slots", 2, 1, 1000),
		Queue:             r.getInt("queue", 4, 0, 1000),
		Connections:       r.getInt("connections", 25, 1, 100000),
		ConnectCost:       r.getDuration("connect_cost", 0, time.Second),
		ServiceTimeMedian: r.getDuration("median", 5*time.Millisecond, time.Minute),
		ServiceTimeSigma:  r.getFloat("sigma", 0.4, 0, 3),
		TailShare:         r.getFloat("tail_share", 0, 0, 1),
		TailDelay:         r.getDuration("tail_time", 0, time.Minute),
		ColdFactor:        r.getFloat("cold_factor", 4, 1, 1000),
		ColdRequests:      r.getInt("cold_requests", 50, 0, 1000000),
		Version:           uint64(r.getInt("version", 1, 1, 1<<31)),
		Layout:            r.getString("layout", "l1"),
		Shards:            r.getInt("shards", 1, 1, 100000),
	}
	if name == "" || s.Groups*s.Replicas > maxServersAlone {
		r.addError("groups", name, "a service name, and at most 250 servers in one service, or 1000 if it is the only one")
	}
	if !s.IsSearch && s.Groups != 1 {
		r.addError("groups", name, "one group in a point service")
	}
	if s.IsSearch && s.Shards < s.Groups {
		r.addError("shards", name, "at least as many shards as groups")
	}
	return s
}
