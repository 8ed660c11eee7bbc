package checker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/forwarder"
)

// draft returns a manifest without faults.
func draft() *Draft {
	route := func(name, prefix string, to forwarder.Destination) Route {
		return Route{Kind: Idempotent, Destinations: 1, Route: forwarder.Route{
			Name: name, Host: "h.example", Prefix: prefix, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, MaxAttempts: 2, Destination: to,
		}}
	}
	return &Draft{
		Version: 7, InForce: 6, Keyed: true,
		Routes: []Route{
			route("all", "/all/", forwarder.Gather{Shards: []string{"s0", "s1", "s2"}, TopK: 5, MinCoverage: 0.66}),
			route("one", "/one/", forwarder.Split{Services: []forwarder.WeightedService{{Service: "s0", Weight: 3}, {Service: "s1"}}}),
		},
		Services: []forwarder.Service{{Name: "s0", MaxConnections: 1}, {Name: "s1", MaxConnections: 1}, {Name: "s2", MaxConnections: 1, ColdTime: time.Second, WarmupRate: 1}},
		Customers: []Customer{
			{Name: "a", Keys: []string{"k1", "k2"}, Rate: 10, Burst: 1}, {Name: "b", Keys: []string{"k3"}},
		},
	}
}

// TestCheck guards against faults that are not found or are found elsewhere, and against faults found in a manifest without any.
func TestCheck(t *testing.T) {
	route := func(i int, f Field, element int) Place { return Place{RoutePart, i, f, element} }
	service := func(i int, f Field) Place { return Place{ServicePart, i, f, -1} }
	customer := func(i int, f Field, element int) Place { return Place{CustomerPart, i, f, element} }
	found := func(s Severity, p Problem, at Place) Finding {
		return Finding{Severity: s, Problem: p, Place: at, Other: -1}
	}
	shards := func(d *Draft, coverage float64, names ...string) {
		d.Routes[0].Destination = forwarder.Gather{Shards: names, TopK: 5, MinCoverage: coverage}
	}
	cases := []struct {
		name   string
		change func(d *Draft)
		want   []Finding
	}{
		{"no faults", func(*Draft) {}, nil},
		{"no customers at all", func(d *Draft) { d.Keyed, d.Customers = false, nil }, nil},
		{"no version", func(d *Draft) { d.Version = 0 }, []Finding{found(Error, Missing, Place{Field: Version, Element: -1})}},
		{"version in force", func(d *Draft) { d.InForce = 7 }, []Finding{found(Error, NotNewer, Place{Field: Version, Element: -1})}},
		{"no host", func(d *Draft) { d.Routes[0].Host = "" }, []Finding{found(Error, Missing, route(0, Host, -1))}},
		{"prefix without a slash at its end", func(d *Draft) { d.Routes[0].Prefix = "/all" }, []Finding{found(Error, Malformed, route(0, Prefix, -1))}},
		{"route that another shadows", func(d *Draft) { d.Routes[1].Prefix, d.Routes[1].Host = "/all/", "H.example" },
			[]Finding{{Error, Shadowed, route(1, Prefix, -1), 0, 0}}},
		{"longer prefix", func(d *Draft) { d.Routes[1].Prefix = "/all/x/" }, nil},
		{"two routes of one name", func(d *Draft) { d.Routes[1].Name = "all" }, []Finding{{Error, Elsewhere, route(1, Name, -1), 0, 0}}},
		{"unknown kind", func(d *Draft) { d.Routes[1].Kind = UnknownKind }, []Finding{found(Error, Malformed, route(1, Kind, -1))}},
		{"gathered requests that run once", func(d *Draft) { d.Routes[0].Kind = NotIdempotent }, []Finding{found(Error, MustRepeat, route(0, Kind, -1))}},
		{"no attempts", func(d *Draft) { d.Routes[1].MaxAttempts = 0 }, []Finding{found(Error, OutOfRange, route(1, MaxAttempts, -1))}},
		{"timeout below the target", func(d *Draft) { d.Routes[1].Timeout = time.Millisecond }, []Finding{found(Warning, BelowTarget, route(1, Timeout, -1))}},
		{"no timeout", func(d *Draft) { d.Routes[1].Timeout = 0 }, nil},
		{"two destinations", func(d *Draft) { d.Routes[1].Destinations = 2 }, []Finding{found(Error, SeveralTargets, route(1, Destination, -1))}},
		{"negative weight", func(d *Draft) {
			d.Routes[1].Destination = forwarder.Split{Services: []forwarder.WeightedService{{Service: "s0", Weight: 3}, {Service: "s1", Weight: -1}}}
		}, []Finding{found(Error, OutOfRange, route(1, Weight, 1))}},
		{"shard that is no service", func(d *Draft) { shards(d, 0.66, "s0", "s1", "s2", "s9") }, []Finding{found(Error, UnknownService, route(0, Shards, 3))}},
		{"shard named twice", func(d *Draft) { shards(d, 0.66, "s0", "s1", "s2", "s1") }, []Finding{found(Error, Duplicate, route(0, Shards, 3))}},
		{"every shard is needed", func(d *Draft) { shards(d, 0.67, "s0", "s1", "s2") }, []Finding{{Warning, NeedsEveryShard, route(0, MinCoverage, -1), -1, 2.0 / 3}}},
		{"coverage above all", func(d *Draft) { shards(d, 1.5, "s0", "s1", "s2") }, []Finding{found(Error, OutOfRange, route(0, MinCoverage, -1))}},
		{"unused service", func(d *Draft) { shards(d, 0.5, "s0", "s1") }, []Finding{found(Warning, Unused, service(2, Name))}},
		{"no connections", func(d *Draft) { d.Services[1].MaxConnections = 0 }, []Finding{found(Error, OutOfRange, service(1, MaxConnections))}},
		{"rate of cold upstreams that are never cold", func(d *Draft) { d.Services[2].ColdTime = 0 }, []Finding{found(Warning, WarmupWithoutTime, service(2, WarmupRate))}},
		{"customer without keys", func(d *Draft) { d.Customers[1].Keys = nil }, []Finding{found(Error, Missing, customer(1, Keys, -1))}},
		{"key of two customers", func(d *Draft) { d.Customers[1].Keys = []string{"k2"} }, []Finding{{Error, Elsewhere, customer(1, Keys, 0), 0, 0}}},
		{"key named twice", func(d *Draft) { d.Customers[0].Keys[1] = "k1" }, []Finding{found(Error, Duplicate, customer(0, Keys, 1))}},
		{"key with a space at its end", func(d *Draft) { d.Customers[1].Keys[0] = "k3 " }, []Finding{found(Error, KeyCannotBePresent, customer(1, Keys, 0))}},
		{"nobody has a key", func(d *Draft) { d.Customers = nil }, []Finding{found(Error, NobodyHasKey, Place{Field: Customers, Element: -1})}},
		{"nobody needs a key", func(d *Draft) { d.Customers, d.Routes[0].Anonymous, d.Routes[1].Anonymous = nil, true, true }, nil},
		{"burst below one request", func(d *Draft) { d.Customers[0].Burst = 0.5 }, []Finding{found(Warning, BurstBelowRequest, customer(0, Burst, -1))}},
		{"burst without a rate", func(d *Draft) { d.Customers[1].Burst = 5 }, []Finding{found(Warning, BurstWithoutRate, customer(1, Burst, -1))}},
		{"negative limit", func(d *Draft) { d.Limits.MaxBodyBytes = -1 }, []Finding{found(Error, OutOfRange, Place{LimitsPart, 0, MaxBodyBytes, -1})}},
	}
	for _, c := range cases {
		d := draft()
		c.change(d)
		if diff := cmp.Diff(c.want, Check(d)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}
