package commander

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"comfreyroute/core/state/tabler"
	"comfreyroute/operator/internal/editor"
)

func (e *environment) tableCommands() []subcommands.Command {
	var prune bool
	var manifest manifestCheck
	addPruneFlag := func(f *flag.FlagSet) {
		f.BoolVar(&prune, "prune", false, "also remove services that are not in the file")
	}
	return []subcommands.Command{
		&command{name: "show", usage: "show [SERVICE]", synopsis: "print the table, or one service of it, as CSV", execute: e.show},
		&command{name: "export", usage: "export FILE", synopsis: "write the table to a CSV file for a spreadsheet or version control", execute: e.export},
		&command{
			name: "check", usage: "check [-against FILE | -store IP:PORT] [-json] FILE",
			synopsis: "validate a CSV file, or a manifest of the platform, and list all errors, without writing anything",
			flags:    func(f *flag.FlagSet) { manifest.setFlags(e, f) },
			execute:  func(ctx context.Context, a []string) subcommands.ExitStatus { return e.checkFile(ctx, a, &manifest) },
		},
		&command{
			name: "diff", usage: "diff [-prune] FILE", synopsis: "print the cells that differ between a CSV file and the table",
			flags: addPruneFlag, execute: func(ctx context.Context, a []string) subcommands.ExitStatus { return e.applyFile(ctx, a, prune, true) },
		},
		&command{
			name: "apply", usage: "apply [-prune] FILE", synopsis: "edit the table to match a CSV file and print the differences; idempotent",
			flags: addPruneFlag, execute: func(ctx context.Context, a []string) subcommands.ExitStatus { return e.applyFile(ctx, a, prune, false) },
		},
		&command{name: "edit", usage: "edit 'SERVICE[/UPSTREAM].FIELD = VALUE' ...", synopsis: "change cells of one service", execute: e.edit},
		&command{name: "history", usage: "history [SERVICE]", synopsis: "print the accepted edits with their time and operator", execute: e.history},
	}
}

// readTable reads the table and returns it with its editor and a function that closes the connection. On failure it prints the error
// and returns the exit code.
func (e *environment) readTable(ctx context.Context) (*editor.Editor, *tabler.Snapshot, func(), subcommands.ExitStatus) {
	ed, closeClient, err := e.newEditor()
	if err != nil {
		return nil, nil, nil, e.fail(ExitUsage, err)
	}
	t, err := ed.ReadTable(ctx)
	if err != nil {
		closeClient()
		return nil, nil, nil, e.fail(ExitUnavailable, err)
	}
	return ed, t, closeClient, ExitOK
}

// selectValues returns the value of the first service in services, or all values if services is empty.
func selectValues(t *tabler.Snapshot, services []string) ([]*tabler.Value, error) {
	if len(services) == 0 {
		return t.AllValues(), nil
	}
	v := editor.FindValue(t.AllValues(), services[0])
	if v == nil {
		return nil, eris.Errorf("service %q is not in the table", services[0])
	}
	return []*tabler.Value{v}, nil
}

// readValues reads the table and returns the value of the first service in services, or all values if services is empty.
func (e *environment) readValues(ctx context.Context, services []string) ([]*tabler.Value, subcommands.ExitStatus) {
	_, t, closeClient, code := e.readTable(ctx)
	if code != ExitOK {
		return nil, code
	}
	defer closeClient()
	values, err := selectValues(t, services)
	if err != nil {
		return nil, e.fail(ExitUsage, err)
	}
	return values, ExitOK
}

func (e *environment) show(ctx context.Context, arguments []string) subcommands.ExitStatus {
	values, code := e.readValues(ctx, arguments)
	if code != ExitOK {
		return code
	}
	if e.printsJSON {
		return e.printValues(values)
	}
	if err := tabler.WriteCSV(e.stdout, values); err != nil {
		return e.fail(ExitUnavailable, err)
	}
	return ExitOK
}

// valueJSON is the JSON form of the value of one service.
type valueJSON struct {
	Service  string          `json:"service"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

func (e *environment) printValues(values []*tabler.Value) subcommands.ExitStatus {
	rows := []valueJSON{}
	for _, v := range values {
		data, err := tabler.Encode(v)
		if err != nil {
			return e.fail(ExitInvalid, err)
		}
		rows = append(rows, valueJSON{Service: v.Service.Service, Revision: v.Revision, Value: data})
	}
	return e.printJSON(rows)
}

func (e *environment) printJSON(v any) subcommands.ExitStatus {
	if err := json.NewEncoder(e.stdout).Encode(v); err != nil {
		return e.fail(ExitUnavailable, err)
	}
	return ExitOK
}

func (e *environment) export(ctx context.Context, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 1 {
		return e.fail(ExitUsage, eris.New("export: exactly one file is required"))
	}
	values, code := e.readValues(ctx, nil)
	if code != ExitOK {
		return code
	}
	f, err := os.Create(arguments[0])
	if err != nil {
		return e.fail(ExitUsage, eris.Wrap(err, "export"))
	}
	err = tabler.WriteCSV(f, values)
	if err = errors.Join(err, f.Close()); err != nil {
		return e.fail(ExitUsage, eris.Wrap(err, "export"))
	}
	return ExitOK
}

// loadCSV reads and validates a CSV file. On failure it prints the error and returns the exit code.
func (e *environment) loadCSV(arguments []string) ([]*tabler.Value, subcommands.ExitStatus) {
	if len(arguments) != 1 {
		return nil, e.fail(ExitUsage, eris.New("exactly one CSV file is required"))
	}
	f, err := os.Open(arguments[0])
	if err != nil {
		return nil, e.fail(ExitUsage, eris.Wrap(err, "open CSV file"))
	}
	defer func() { _ = f.Close() }()
	values, err := tabler.ReadCSV(f)
	if err != nil {
		return nil, e.fail(ExitInvalid, eris.Wrap(err, arguments[0]))
	}
	return values, ExitOK
}

func (e *environment) check(_ context.Context, arguments []string) subcommands.ExitStatus {
	values, code := e.loadCSV(arguments)
	if code != ExitOK {
		return code
	}
	if e.printsJSON {
		return e.printJSON(map[string]any{"valid": true, "values": len(values)})
	}
	_, _ = fmt.Fprintf(e.stdout, "%s is valid: %d values\n", arguments[0], len(values))
	return ExitOK
}

func (e *environment) history(ctx context.Context, arguments []string) subcommands.ExitStatus {
	values, code := e.readValues(ctx, arguments)
	if code != ExitOK {
		return code
	}
	type row struct {
		Service string      `json:"service"`
		Edit    tabler.Edit `json:"edit"`
	}
	rows := []row{}
	for _, v := range values {
		for _, x := range v.Edits {
			rows = append(rows, row{v.Service.Service, x})
		}
	}
	if e.printsJSON {
		return e.printJSON(rows)
	}
	w := tabwriter.NewWriter(e.stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tWHEN\tWHO\tEDIT\tID")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.Service, r.Edit.When.UTC().Format(time.RFC3339), r.Edit.Who, r.Edit.Summary, r.Edit.ID)
	}
	_ = w.Flush()
	return ExitOK
}
