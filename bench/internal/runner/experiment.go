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
	Service        string        // receives the load and the faults of the scenario
	Entries        int           // number of entry VMs
	Rate           float64       // requests per second
	Blocks         int           // number of blocks for each policy
	Block          time.Duration // measured time of a block
	Warmup         time.Duration // at the start of each block, not measured
	Seed           uint64
	Policies       [2]Policy // the policy under test and the baseline
}

// Policy is a named set of keys for the section [policy] of an entry VM's settings.
type Policy struct {
	Name string
	Keys map[string]string
}

// Bounds of an experiment, so that a wrong file cannot take up the host for long.
const (
	maxEntries  = 40
	maxDuration = 20 * time.Minute
	maxRate     = 20000
)

const policyPrefix = "policy."

// ReadExperiment reads and validates an experiment file. The error lists everything that is wrong with the file. A relative
// deployment path is resolved against the directory of the file.
func ReadExperiment(path string) (*Experiment, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read experiment %s", path)
	}
	e, err := parseExperiment(f, func(p string) (*describer.Deployment, string, error) {
		if !filepath.IsAbs(p) {
			p = filepath.Join(filepath.Dir(path), p)
		}
		d, err := describer.ReadFile(p)
		return d, p, err
	})
	return e, eris.Wrapf(err, "experiment %s", path)
}

// parseExperiment converts and validates the content of an experiment file. The func deployment reads a deployment and returns it
// with its resolved path.
func parseExperiment(f *ini.File, deployment func(string) (*describer.Deployment, string, error)) (*Experiment, error) {
	var errs []error
	addError := func(section, key, allowed string) {
		value := f.Section(section).Key(key).String()
		errs = append(errs, eris.Errorf("section %s: %s %q, allowed: %s", section, key, value, allowed))
	}
	s := f.Section("experiment")
	known := []string{"name", "deployment", "scenario", "service", "entries", "load", "rate", "blocks", "block", "warmup", "seed"}
	for _, k := range s.KeyStrings() {
		if !slices.Contains(known, k) {
			addError("experiment", k, "one of "+strings.Join(known, ", "))
		}
	}
	e := &Experiment{
		Name:     s.Key("name").String(),
		Scenario: s.Key("scenario").In("", Scenarios()),
		Service:  s.Key("service").String(),
		Entries:  parseKey(s, "entries", 7, (*ini.Key).Int, addError),
		Blocks:   parseKey(s, "blocks", 4, (*ini.Key).Int, addError),
		Block:    parseKey(s, "block", 5*time.Second, (*ini.Key).Duration, addError),
		Warmup:   parseKey(s, "warmup", 2*time.Second, (*ini.Key).Duration, addError),
		Seed:     parseKey(s, "seed", 1, (*ini.Key).Uint64, addError),
		Rate:     parseKey(s, "rate", 0, (*ini.Key).Float64, addError),
	}
	if e.Name == "" || e.Name != filepath.Base(e.Name) {
		addError("experiment", "name", "a file name without directories")
	}
	if e.Scenario == "" {
		addError("experiment", "scenario", strings.Join(Scenarios(), ", "))
	}
	if e.Entries < 1 || e.Entries > maxEntries {
		addError("experiment", "entries", "1 to 40")
	}
	if e.Blocks < 1 || e.Block < time.Second || e.Warmup < 0 || 2*time.Duration(min(e.Blocks, 1000))*(e.Block+e.Warmup) > maxDuration {
		addError("experiment", "blocks", "1 or more blocks of at least 1s, and at most 20 minutes for all blocks of both policies")
	}
	var err error
	if e.Deployment, e.DeploymentPath, err = deployment(s.Key("deployment").String()); err != nil {
		errs = append(errs, err)
	} else if v := e.Deployment.FindService(e.Service); v == nil || !v.IsSearch {
		addError("experiment", "service", "a search service of the deployment")
	} else if e.Entries > e.Deployment.FleetMax {
		addError("experiment", "entries", "at most fleet_max of the deployment; further VMs never become ready")
	} else if load := parseKey(s, "load", 0, (*ini.Key).Float64, addError); load > 0 {
		e.Rate = load * v.Capacity()
	}
	if !(e.Rate > 0 && e.Rate <= maxRate) {
		addError("experiment", "rate", "requests per second above 0 and at most 20000, or load as a share of the capacity")
	}
	errs = append(errs, e.readPolicies(f)...)
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return e, nil
}

// parseKey parses a key with the given func. A key that is not set or is invalid gets a default value.
func parseKey[T any](s *ini.Section, key string, defaultValue T, parse func(*ini.Key) (T, error), addError func(section, key, allowed string)) T {
	if !s.HasKey(key) {
		return defaultValue
	}
	v, err := parse(s.Key(key))
	if err != nil {
		addError(s.Name(), key, "a value of the type of the key")
		return defaultValue
	}
	return v
}

// readPolicies sets the policies from the sections policy.NAME.
func (e *Experiment) readPolicies(f *ini.File) []error {
	var policies []Policy
	for _, s := range f.Sections() {
		if name, ok := strings.CutPrefix(s.Name(), policyPrefix); ok {
			policies = append(policies, Policy{Name: name, Keys: s.KeysHash()})
		}
	}
	if len(policies) != len(e.Policies) || policies[0].Name == policies[1].Name {
		return []error{eris.Errorf("%d sections policy.NAME, allowed: two sections with different names", len(policies))}
	}
	e.Policies = [2]Policy(policies)
	return nil
}

// loadConfig returns the configuration of the load of one block.
func (e *Experiment) loadConfig(block int) loader.Config {
	mix, _ := loader.ParseMix(e.Service, e.Deployment) // the service has been validated
	return loader.Config{
		Rate: e.Rate, Warmup: e.Warmup, Duration: e.Block, Seed: e.Seed + uint64(block), CallerDelay: e.Deployment.CallerDelay, Mix: mix,
	}
}
