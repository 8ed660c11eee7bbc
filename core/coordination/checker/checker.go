package checker

import (
	"strings"

	"comfreyroute/core/coordination/forwarder"
)

// Draft is a manifest as an operator wrote it. Unlike forwarder.Manifest it keeps what the gateway reads as something else.
type Draft struct {
	Version   uint64
	InForce   uint64 // version in force; 0 if unknown
	Routes    []Route
	Services  []forwarder.Service
	Customers []Customer
	Keyed     bool // callers need a key
	Limits    forwarder.Limits
}

// Route is a route with the fields that a forwarder.Route does not keep.
type Route struct {
	forwarder.Route
	Kind         RouteKind
	Destinations int // that are named, of which Route.Destination is one
}

// RouteKind says whether the requests of a route may run more than once.
type RouteKind int

// The kinds of a route.
const (
	UnknownKind RouteKind = iota
	Idempotent
	NotIdempotent
)

// Customer is a customer with its API keys.
type Customer struct {
	Name     string
	Keys     []string
	Rate     float64
	Burst    float64
	Priority int
}

// Check returns the faults of a draft, in the order of its parts.
func Check(d *Draft) []Finding {
	c := &check{draft: d, services: map[string]int{}, used: map[string]bool{}}
	if d.Version == 0 {
		c.add(Error, Missing, Place{Field: Version, Element: -1})
	} else if d.InForce > 0 && d.Version <= d.InForce {
		c.add(Error, NotNewer, Place{Field: Version, Element: -1})
	}
	for i := range d.Services {
		if _, known := c.services[d.Services[i].Name]; !known {
			c.services[d.Services[i].Name] = i
		}
	}
	c.checkRoutes()
	c.checkServices()
	c.checkCustomers()
	c.checkLimits()
	return c.findings
}

// check is the state of one run of Check.
type check struct {
	draft    *Draft
	services map[string]int // index of the first service with a name
	used     map[string]bool
	findings []Finding
}

func (c *check) add(s Severity, p Problem, at Place) { c.addConflict(s, p, at, -1) }

func (c *check) addConflict(s Severity, p Problem, at Place, other int) {
	c.findings = append(c.findings, Finding{Severity: s, Problem: p, Place: at, Other: other})
}

// require adds a finding if a value is not allowed.
func (c *check) require(ok bool, p Problem, at Place) {
	if !ok {
		c.add(Error, p, at)
	}
}

func (c *check) checkRoutes() {
	c.require(len(c.draft.Routes) > 0, Missing, Place{Field: Routes, Element: -1})
	type match struct{ host, prefix string }
	names, matches := map[string]int{}, map[match]int{}
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		at := func(f Field) Place { return Place{Part: RoutePart, Index: i, Field: f, Element: -1} }
		c.checkName(names, r.Name, at(Name))
		c.require(r.Host != "", Missing, at(Host))
		c.require(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), Malformed, at(Prefix))
		m := match{host: strings.ToLower(r.Host), prefix: r.Prefix}
		if first, taken := matches[m]; taken {
			c.addConflict(Error, Shadowed, at(Prefix), first)
		} else {
			matches[m] = i
		}
		c.require(r.Kind != UnknownKind, Malformed, at(Kind))
		c.require(r.Timeout >= 0, OutOfRange, at(Timeout))
		c.require(r.LatencyTarget >= 0, OutOfRange, at(LatencyTarget))
		c.require(r.Priority >= 0, OutOfRange, at(Priority))
		c.require(r.MaxAttempts >= 1, OutOfRange, at(MaxAttempts))
		if r.Timeout > 0 && r.Timeout < r.LatencyTarget {
			c.add(Warning, BelowTarget, at(Timeout))
		}
		c.require(r.Destinations <= 1, SeveralTargets, at(Destination))
		c.checkDestination(i, r)
	}
}

// checkDestination checks where a route leads.
func (c *check) checkDestination(i int, r *Route) {
	at := func(f Field, element int) Place { return Place{Part: RoutePart, Index: i, Field: f, Element: element} }
	switch d := r.Destination.(type) {
	case forwarder.Gather:
		c.require(r.Kind != NotIdempotent, MustRepeat, at(Kind, -1))
		c.require(d.TopK >= 1, OutOfRange, at(TopK, -1))
		c.checkCoverage(&d, at(MinCoverage, -1))
		seen := map[string]bool{}
		for k, name := range d.Shards {
			c.require(!seen[name], Duplicate, at(Shards, k))
			seen[name] = true
			c.useService(name, at(Shards, k))
		}
	case forwarder.Split:
		total := 0.0
		for k, s := range d.Services {
			c.require(s.Weight >= 0, OutOfRange, at(Weight, k))
			total += s.Weight
			c.useService(s.Service, at(Weighted, k))
		}
		c.require(len(d.Services) == 0 || total > 0, OutOfRange, at(Weight, 0))
	}
}

// checkCoverage checks the smallest share of the shards in an answer.
func (c *check) checkCoverage(g *forwarder.Gather, at Place) {
	n := float64(len(g.Shards))
	if g.MinCoverage <= 0 || g.MinCoverage > 1 {
		c.add(Error, OutOfRange, at)
		return
	}
	if n > 1 && n-1 < g.MinCoverage*n {
		c.findings = append(c.findings, Finding{Severity: Warning, Problem: NeedsEveryShard, Place: at, Other: -1, Most: (n - 1) / n})
	}
}

// useService records that a route leads to a service.
func (c *check) useService(name string, at Place) {
	_, known := c.services[name]
	switch {
	case name == "":
		c.add(Error, Missing, at)
	case !known:
		c.add(Error, UnknownService, at)
	default:
		c.used[name] = true
	}
}

func (c *check) checkServices() {
	names := map[string]int{}
	for i := range c.draft.Services {
		s := &c.draft.Services[i]
		at := func(f Field) Place { return Place{Part: ServicePart, Index: i, Field: f, Element: -1} }
		c.checkName(names, s.Name, at(Name))
		c.require(s.MaxConnections >= 1, OutOfRange, at(MaxConnections))
		c.require(s.ColdTime >= 0, OutOfRange, at(ColdTime))
		c.require(s.WarmupRate >= 0, OutOfRange, at(WarmupRate))
		if s.WarmupRate > 0 && s.ColdTime == 0 {
			c.add(Warning, WarmupWithoutTime, at(WarmupRate))
		}
		if s.Name != "" && !c.used[s.Name] {
			c.add(Warning, Unused, at(Name))
		}
	}
}

func (c *check) checkCustomers() {
	d := c.draft
	names, holders := map[string]int{}, map[string]int{}
	for i := range d.Customers {
		customer := &d.Customers[i]
		at := func(f Field, element int) Place {
			return Place{Part: CustomerPart, Index: i, Field: f, Element: element}
		}
		c.checkName(names, customer.Name, at(Name, -1))
		c.require(customer.Priority >= 0, OutOfRange, at(Priority, -1))
		c.require(customer.Rate >= 0, OutOfRange, at(Rate, -1))
		c.require(customer.Burst >= 0, OutOfRange, at(Burst, -1))
		switch {
		case customer.Burst > 0 && customer.Rate == 0:
			c.add(Warning, BurstWithoutRate, at(Burst, -1))
		case customer.Rate > 0 && customer.Burst >= 0 && customer.Burst < 1:
			c.add(Warning, BurstBelowRequest, at(Burst, -1))
		}
		c.require(len(customer.Keys) > 0, Missing, at(Keys, -1))
		for k, key := range customer.Keys {
			c.require(isPresentable(key), KeyCannotBePresent, at(Keys, k))
			switch holder, taken := holders[key]; {
			case taken && holder == i:
				c.add(Error, Duplicate, at(Keys, k))
			case taken:
				c.addConflict(Error, Elsewhere, at(Keys, k), holder)
			default:
				holders[key] = i
			}
		}
	}
	if d.Keyed && len(holders) == 0 {
		for i := range d.Routes {
			if !d.Routes[i].Anonymous {
				c.add(Error, NobodyHasKey, Place{Field: Customers, Element: -1})
				return
			}
		}
	}
}

// isPresentable reports whether a caller can send a key as the value of a header, which has no spaces at its ends and no control characters.
func isPresentable(key string) bool {
	control := func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
	return key != "" && strings.Trim(key, " \t") == key && !strings.ContainsFunc(key, control)
}

func (c *check) checkLimits() {
	l := &c.draft.Limits
	for _, limit := range []struct {
		field Field
		ok    bool
	}{
		{MaxHeaderBytes, l.MaxHeaderBytes >= 0},
		{MaxBodyBytes, l.MaxBodyBytes >= 0},
		{HeaderTimeout, l.HeaderTimeout >= 0},
		{IdleTimeout, l.IdleTimeout >= 0},
	} {
		c.require(limit.ok, OutOfRange, Place{Part: LimitsPart, Field: limit.field, Element: -1})
	}
}

// checkName checks that a name is present and that no other part of the same kind has it.
func (c *check) checkName(seen map[string]int, name string, at Place) {
	first, taken := seen[name]
	switch {
	case name == "":
		c.add(Error, Missing, at)
	case taken:
		c.addConflict(Error, Elsewhere, at, first)
	default:
		seen[name] = at.Index
	}
}
