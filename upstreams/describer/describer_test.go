package describer

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/state/tabler"
)

// TestDeployments guards against deployment files whose sizes differ from docs/design.md, section 1.6, or whose servers share an
// address.
func TestDeployments(t *testing.T) {
	cases := []struct {
		file    string
		domains int
		servers map[string]int
	}{
		{"haven.ini", 4, map[string]int{"matching": 30, "roster": 45, "profiles": 16, "ledger": 8}},
		{"magnolia.ini", 3, map[string]int{"booth": 30, "logs": 45, "prizes": 40, "traffic": 20}},
		{"quickstart.ini", 3, map[string]int{"catalog": 12, "orders": 4}},
		{"narrow.ini", 3, map[string]int{"catalog": 12}},
	}
	for _, c := range cases {
		d, err := ReadFile(filepath.Join("..", "..", "deployments", c.file))
		if err != nil {
			t.Fatal(err)
		}
		got, addresses, domains := map[string]int{}, map[string]bool{}, map[string]bool{}
		for _, s := range d.Servers() {
			got[s.Service.Name]++
			addresses[s.Address.String()] = true
			domains[s.FailureDomain] = true
		}
		if diff := cmp.Diff(c.servers, got); diff != "" {
			t.Errorf("%s: servers (-want +got):\n%s", c.file, diff)
		}
		for _, v := range d.Table() {
			if _, err := tabler.Encode(v); err != nil {
				t.Errorf("%s: table: %v", c.file, err)
			}
		}
		if len(addresses) != len(d.Servers()) || len(domains) != c.domains {
			t.Errorf("%s: %d addresses of %d servers, %d failure domains", c.file, len(addresses), len(d.Servers()), len(domains))
		}
	}
}

// TestParseErrors guards against an error in a file that is accepted, or that hides another error.
func TestParseErrors(t *testing.T) {
	const file = `
[deployment]
network = 10.0.0.0
ports = 7000
[failure_domains]
names = a, b
delay.b.a = 1ms
[service.x]
kind = lookup
slots = 0
median = -1ms
sigma = NaN
groups = 4
shards = 3
[servers]
`
	_, err := Parse([]byte(file))
	if err == nil {
		t.Fatal("no error for a faulty file")
	}
	for _, want := range []string{"network 10.0.0.0", "ports", "delay.b.a", `kind "lookup"`, `slots "0"`, `median "-1ms"`, `sigma "NaN"`, "one group", "servers"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not contain %s:\n%v", want, err)
		}
	}
}

// TestLargeService guards against servers that share an address when a service has more than 250 servers.
func TestLargeService(t *testing.T) {
	const service = "[service.%s]\nkind = search\ngroups = 500\nshards = 500\n"
	base := "[deployment]\nnetwork = 127.20.0.0\n[failure_domains]\nnames = a\n" + fmt.Sprintf(service, "x")
	d, err := Parse([]byte(base))
	if err != nil {
		t.Fatal(err)
	}
	addresses := map[string]bool{}
	for _, s := range d.Servers() {
		addresses[s.Address.String()] = true
	}
	if len(addresses) != 500 {
		t.Errorf("%d distinct addresses for 500 servers", len(addresses))
	}
	if _, err := Parse([]byte(base + fmt.Sprintf(service, "y"))); err == nil {
		t.Error("two services with 500 servers each are accepted, although their addresses overlap")
	}
}

// FuzzParse guards against a file that makes Parse panic, or that is accepted although it has no servers.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"quickstart.ini", "haven.ini"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "deployments", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse(data)
		if err == nil && len(d.Servers()) == 0 {
			t.Fatal("no servers")
		}
	})
}
