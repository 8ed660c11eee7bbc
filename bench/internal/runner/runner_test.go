package runner

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gopkg.in/ini.v1"

	"comfreyroute/upstreams/describer"
)

// TestExperimentFiles guards against experiment files that cannot be read, against scenarios whose steps are out of order or
// outside the block, and against scenarios without an experiment.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "..", "experiments", "*.ini"))
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for _, f := range files {
		e, err := ReadExperiment(f)
		if err != nil {
			t.Error(err)
			continue
		}
		if e.Name+".ini" != filepath.Base(f) {
			t.Errorf("%s has the name %q", f, e.Name)
		}
		seen[e.Scenario] = true
		for b := range e.Blocks {
			steps, _ := scenarioSteps[e.Scenario](e, b)
			for i, s := range steps {
				if s.fraction < 0 || s.fraction > 1 || (i > 0 && s.fraction < steps[i-1].fraction) {
					t.Errorf("%s: step %d is at %v", e.Name, i, s.fraction)
				}
			}
		}
	}
	for _, s := range Scenarios() {
		if !seen[s] {
			t.Errorf("no experiment has scenario %q", s)
		}
	}
}

// TestRestartOrder guards against a rolling restart that restarts several replicas of one group at a time. It must restart a
// server of every group before it returns to the first group.
func TestRestartOrder(t *testing.T) {
	e, err := ReadExperiment(filepath.Join("..", "..", "..", "experiments", "magnolia-restart.ini"))
	if err != nil {
		t.Fatal(err)
	}
	groups := make(map[string]int)
	for _, s := range e.Deployment.Servers() {
		groups[s.Name] = s.Group
	}
	steps, _ := rollingRestartSteps(e, 0)
	n := e.Deployment.FindService(e.Service).Groups
	if len(steps) != n*e.Deployment.FindService(e.Service).Replicas {
		t.Fatalf("%d steps", len(steps))
	}
	for i, s := range steps {
		if got := groups[s.command.Target.Upstream]; got != i%n {
			t.Errorf("step %d restarts a server of group %d, want %d", i, got, i%n)
		}
	}
}

// TestIndexSteps guards against an index change that leaves a replica without a version, and against one that does not end with
// only the new version.
func TestIndexSteps(t *testing.T) {
	e, err := ReadExperiment(filepath.Join("..", "..", "..", "experiments", "haven-index.ini"))
	if err != nil {
		t.Fatal(err)
	}
	steps, v := indexChangeSteps(e, 0)
	held := make([][]uint64, e.Deployment.FindService(e.Service).Replicas) // versions by replica; all groups change at the same time
	for r := range held {
		held[r] = []uint64{v.number - 1}
	}
	for i, s := range steps {
		r := *s.command.Target.Replica
		if s.command.Action == "hold" {
			held[r] = append(held[r], s.command.Version)
		} else {
			held[r] = slices.DeleteFunc(held[r], func(n uint64) bool { return n == s.command.Version })
		}
		if len(held[r]) == 0 {
			t.Errorf("step %d leaves replica %d without a version", i, r)
		}
	}
	for r := range held {
		if !slices.Equal(held[r], []uint64{v.number}) {
			t.Errorf("replica %d holds %v at the end", r, held[r])
		}
	}
}

// TestClaimNetwork guards against two clusters in one network, which would send load to each other's upstreams.
func TestClaimNetwork(t *testing.T) {
	a, err := claimNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.lock.Close() }()
	b, err := claimNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = b.lock.Close() }()
	if a.address == b.address {
		t.Errorf("both clusters have network %v", a.address)
	}
}

// TestInvalidExperiment guards against an error in an experiment file that is accepted, and against one that hides another error.
func TestInvalidExperiment(t *testing.T) {
	const file = `
[experiment]
name = a/b
deployment = missing.ini
scenario = storm
entries = 1000
blocks = 1000000
rates = 5
block = 5
[policy.default]
`
	f, err := ini.Load([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	_, err = parseExperiment(f, func(string) (*describer.Deployment, string, error) {
		return nil, "", errors.New("no deployment")
	})
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{`name "a/b"`, "no deployment", `scenario "storm"`, `entries "1000"`, `blocks "1000000"`, `rates "5"`, `block "5"`, `rate ""`, "policy"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not name %s:\n%v", want, err)
		}
	}
}

// TestFleetMax guards against an experiment with more entry VMs than fleet_max: the last ones never become ready, and its start
// times out.
func TestFleetMax(t *testing.T) {
	cases := []struct {
		entries string
		ok      bool
	}{{"6", true}, {"7", false}}
	for _, c := range cases {
		f, err := ini.Load([]byte("[experiment]\nname = a\nscenario = none\nservice = catalog\nload = 0.1\nentries = " + c.entries + "\n[policy.a]\n[policy.b]\n"))
		if err != nil {
			t.Fatal(err)
		}
		_, err = parseExperiment(f, func(string) (*describer.Deployment, string, error) {
			d, err := describer.ReadFile(filepath.Join("..", "..", "..", "deployments", "quickstart.ini"))
			return d, "", err
		})
		if (err == nil) != c.ok || (err != nil && !strings.Contains(err.Error(), "fleet_max")) {
			t.Errorf("%s entries: error %v", c.entries, err)
		}
	}
}

// FuzzExperiment guards against an experiment file that makes parseExperiment panic.
func FuzzExperiment(f *testing.F) {
	d, err := describer.ReadFile(filepath.Join("..", "..", "..", "deployments", "quickstart.ini"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte("[experiment]\nname = a\nscenario = none\nservice = catalog\nload = 0.5\n[policy.a]\n[policy.b]\nhedge = off\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		file, err := ini.Load(data)
		if err != nil {
			return
		}
		_, _ = parseExperiment(file, func(string) (*describer.Deployment, string, error) { return d, "", nil })
	})
}

// TestProgramsExist guards against a cluster that cannot start because one of its programs was moved or renamed.
func TestProgramsExist(t *testing.T) {
	for _, program := range []string{platformProgram, upstreamsProgram, entryProgram} {
		if _, err := os.Stat(filepath.Join("..", "..", "..", program, "main.go")); err != nil {
			t.Errorf("program %s: %v", program, err)
		}
	}
}
