package commander

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"comfreyroute/platform/translator"
)

// Exit codes of check for a manifest.
const (
	ExitFindings = 1 // the manifest has faults
	ExitUnusable = 2 // a file is no manifest, or the version in force cannot be read
)

// manifestCheck is the check of a manifest before it is sent.
type manifestCheck struct {
	against string // file with the version in force
	store   string // address of the store that holds it
}

func (c *manifestCheck) setFlags(e *environment, f *flag.FlagSet) {
	f.StringVar(&c.against, "against", "", "for a manifest: file with the version in force, to show what differs")
	f.StringVar(&c.store, "store", "", "for a manifest: address of the store that holds the version in force, ip:port")
	f.BoolVar(&e.printsJSON, "json", e.printsJSON, "print JSON for scripts")
}

// manifestReport is the result of a check.
type manifestReport struct {
	File        string                          `json:"file"`
	Findings    []translator.ManifestFinding    `json:"findings"`
	Differences []translator.ManifestDifference `json:"differences,omitempty"` // to the version in force
}

// checkFile checks a file that is a manifest, or else one that holds a table.
func (e *environment) checkFile(ctx context.Context, arguments []string, c *manifestCheck) subcommands.ExitStatus {
	if len(arguments) != 1 {
		return e.fail(ExitUsage, eris.New("want one file"))
	}
	data, err := os.ReadFile(arguments[0])
	compares := c.against != "" || c.store != ""
	switch {
	case err == nil && bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")):
	case compares && err == nil:
		return e.fail(ExitUnusable, eris.Errorf("%s is not a manifest: it has no JSON object", arguments[0]))
	case compares:
		return e.fail(ExitUnusable, eris.Wrap(err, "read the manifest"))
	default:
		return e.check(ctx, arguments)
	}
	report, err := c.run(ctx, arguments[0], data)
	if err != nil {
		return e.fail(ExitUnusable, err)
	}
	return e.printReport(report)
}

// run checks a manifest and compares it with the version in force, if that is given.
func (c *manifestCheck) run(ctx context.Context, file string, data []byte) (*manifestReport, error) {
	inForce, err := c.readInForce(ctx)
	if err != nil {
		return nil, err
	}
	r := &manifestReport{File: file}
	version := uint64(0)
	if inForce != nil {
		if version, err = translator.ManifestVersion(inForce); err != nil {
			return nil, eris.Wrap(err, "the version in force")
		}
		if r.Differences, err = translator.DiffManifests(inForce, data); err != nil {
			return nil, eris.Wrap(err, file)
		}
	}
	r.Findings, err = translator.CheckManifest(data, version)
	return r, eris.Wrap(err, file)
}

// readInForce returns the manifest in force, nil if none is given.
func (c *manifestCheck) readInForce(ctx context.Context) ([]byte, error) {
	switch {
	case c.against != "" && c.store != "":
		return nil, eris.New("flags -against and -store exclude each other")
	case c.against != "":
		data, err := os.ReadFile(c.against)
		return data, eris.Wrap(err, "read the version in force")
	case c.store != "":
		address, err := parseAddress("store", c.store)
		if err != nil {
			return nil, err
		}
		var s translator.Store
		s.SetAddress(address)
		data, err := s.ReadManifest(ctx)
		return data, eris.Wrap(err, "read the version in force")
	default:
		return nil, nil
	}
}

func (e *environment) printReport(r *manifestReport) subcommands.ExitStatus {
	code := subcommands.ExitStatus(ExitOK)
	if len(r.Findings) > 0 {
		code = ExitFindings
	}
	if e.printsJSON {
		if printed := e.printJSON(r); printed != ExitOK {
			return printed
		}
		return code
	}
	for _, f := range r.Findings {
		name := f.Name
		if name != "" {
			name = " (" + name + ")"
		}
		_, _ = fmt.Fprintf(e.stdout, "%s: %s%s is %s, want %s [%s]\n", f.Severity, f.Path, name, f.Value, f.Want, f.Problem)
	}
	for _, d := range r.Differences {
		_, _ = fmt.Fprintf(e.stdout, "differs: %s: %s -> %s\n", d.Path, d.Before, d.After)
	}
	_, _ = fmt.Fprintf(e.stdout, "%s: %d findings, %d differences\n", r.File, len(r.Findings), len(r.Differences))
	return code
}
