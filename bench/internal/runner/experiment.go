package runner

import (
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"comfreyroute/bench/internal/loader"
	"comfreyroute/upstreams/describer"
)

// Experiment describes one experiment.
type Experiment struct {
	Name           string
	DeploymentPath string
	Deployment     *describer.Deployment
	Scenario       string
	Service        string // the service that the load reaches and the scenario disturbs
	Entries        int
	Rate           float64 // requests per second
	Blocks         int     // of each policy
	Block          time.Duration
	Warmup         time.Duration // at the start of each block, not measured
	Seed           uint64
	Policies       [2]Policy // the one under test and the baseline
}

// Policy is a name and the keys of the section [policy] of an entry VM's settings.
type Policy struct {
	Name string
	Keys map[string]string
}

// Bounds of an experiment, so that a faulty file cannot occupy the machine.
const (
	maxEntries  = 40
	maxDuration = 20 * time.Minute
	maxRate     = 20000
)

const policyPrefix = "policy."

// ReadExperiment reads and validates an experiment file. The error lists every fault. A deployment path is relative to the file.
func ReadExperiment(path string) (*Experiment, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read experiment %s", path)
	}
	e, err := convert(f, func(p string) (*describer.Deployment, string, error) {
		if !filepath.IsAbs(p) {
			p = filepath.Join(filepath.Dir(path), p)
		}
		d, err := describer.ReadFile(p)
		return d, p, err
	})
	return e, eris.Wrapf(err, "experiment %s", path)
}

func convert(f *ini.File, deployment func(string) (*describer.Deployment, string, error)) (*Experiment, error) {
	var faults []error
	fault := func(section, key, allowed string) {
		value := f.Section(section).Key(key).String()
		faults = append(faults, eris.Errorf("section %s: %s %q, allowed: %s", section, key, value, allowed))
	}
	s := f.Section("experiment")
	known := []string{"name", "deployment", "scenario", "service", "entries", "load", "rate", "blocks", "block", "warmup", "seed"}
	for _, k := range s.KeyStrings() {
		if !slices.Contains(known, k) {
			fault("experiment", k, "one of "+strings.Join(known, ", "))
		}
	}
	e := &Experiment{
		Name:     s.Key("name").String(),
		Scenario: s.Key("scenario").In("", Scenarios()),
		Service:  s.Key("service").String(),
		Entries:  value(s, "entries", 7, (*ini.Key).Int, fault),
		Blocks:   value(s, "blocks", 4, (*ini.Key).Int, fault),
		Block:    value(s, "block", 5*time.Second, (*ini.Key).Duration, fault),
		Warmup:   value(s, "warmup", 2*time.Second, (*ini.Key).Duration, fault),
		Seed:     value(s, "seed", 1, (*ini.Key).Uint64, fault),
		Rate:     value(s, "rate", 0, (*ini.Key).Float64, fault),
	}
	if e.Name == "" || e.Name != filepath.Base(e.Name) {
		fault("experiment", "name", "a name without slashes")
	}
	if e.Scenario == "" {
		fault("experiment", "scenario", strings.Join(Scenarios(), ", "))
	}
	if e.Entries < 1 || e.Entries > maxEntries {
		fault("experiment", "entries", "1 to 40")
	}
	if e.Blocks < 1 || e.Block < time.Second || e.Warmup < 0 || 2*time.Duration(min(e.Blocks, 1000))*(e.Block+e.Warmup) > maxDuration {
		fault("experiment", "blocks", "blocks of at least 1s that take 20 minutes in all at most")
	}
	var err error
	if e.Deployment, e.DeploymentPath, err = deployment(s.Key("deployment").String()); err != nil {
		faults = append(faults, err)
	} else if v := e.Deployment.FindService(e.Service); v == nil || !v.IsSearch {
		fault("experiment", "service", "a search service of the deployment")
	} else if e.Entries > e.Deployment.FleetMax {
		fault("experiment", "entries", "fleet_max of the deployment at most; further VMs never become ready")
	} else if load := value(s, "load", 0, (*ini.Key).Float64, fault); load > 0 {
		e.Rate = load * v.Capacity()
	}
	if !(e.Rate > 0 && e.Rate <= maxRate) {
		fault("experiment", "rate", "requests per second above 0, or load as a share of the capacity")
	}
	faults = append(faults, e.readPolicies(f)...)
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	return e, nil
}

// value reads a key of any type. A key that is not set has a default.
func value[T any](s *ini.Section, key string, unset T, read func(*ini.Key) (T, error), fault func(section, key, allowed string)) T {
	if !s.HasKey(key) {
		return unset
	}
	v, err := read(s.Key(key))
	if err != nil {
		fault(s.Name(), key, "a value of its type")
		return unset
	}
	return v
}

func (e *Experiment) readPolicies(f *ini.File) []error {
	var policies []Policy
	for _, s := range f.Sections() {
		if name, ok := strings.CutPrefix(s.Name(), policyPrefix); ok {
			policies = append(policies, Policy{Name: name, Keys: s.KeysHash()})
		}
	}
	if len(policies) != len(e.Policies) || policies[0].Name == policies[1].Name {
		return []error{eris.Errorf("%d sections policy.NAME, allowed: two with different names", len(policies))}
	}
	e.Policies = [2]Policy(policies)
	return nil
}

// load returns the load of one block.
func (e *Experiment) load(block int) loader.Config {
	mix, _ := loader.ParseMix(e.Service, e.Deployment) // the service was checked
	return loader.Config{
		Rate: e.Rate, Warmup: e.Warmup, Duration: e.Block, Seed: e.Seed + uint64(block), CallerDelay: e.Deployment.CallerDelay, Mix: mix,
	}
}
