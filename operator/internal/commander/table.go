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
	pruning := func(f *flag.FlagSet) {
		f.BoolVar(&prune, "prune", false, "also remove services that the file does not name")
	}
	return []subcommands.Command{
		&command{name: "show", usage: "show [SERVICE]", synopsis: "print the table, or one service of it, as CSV", execute: e.show},
		&command{name: "export", usage: "export FILE", synopsis: "write the table to a CSV file for a spreadsheet or version control", execute: e.export},
		&command{name: "check", usage: "check FILE", synopsis: "check a CSV file and list every fault, without reading or writing the table", execute: e.check},
		&command{
			name: "diff", usage: "diff [-prune] FILE", synopsis: "print the cells in which a CSV file differs from the table",
			flags: pruning, execute: func(ctx context.Context, a []string) subcommands.ExitStatus { return e.apply(ctx, a, prune, true) },
		},
		&command{
			name: "apply", usage: "apply [-prune] FILE", synopsis: "bring the table to the state of a CSV file and print the difference; repeating it changes nothing",
			flags: pruning, execute: func(ctx context.Context, a []string) subcommands.ExitStatus { return e.apply(ctx, a, prune, false) },
		},
		&command{name: "edit", usage: "edit 'SERVICE[/UPSTREAM].FIELD = VALUE' ...", synopsis: "change cells of one service", execute: e.edit},
		&command{name: "history", usage: "history [SERVICE]", synopsis: "print the accepted edits with who and when", execute: e.history},
	}
}

// read returns the table, or prints why not.
func (e *environment) read(ctx context.Context) (*editor.Editor, *tabler.Snapshot, func(), subcommands.ExitStatus) {
	d, done, err := e.editor()
	if err != nil {
		return nil, nil, nil, e.fail(ExitUsage, err)
	}
	t, err := d.Table(ctx)
	if err != nil {
		done()
		return nil, nil, nil, e.fail(ExitUnavailable, err)
	}
	return d, t, done, ExitDone
}

// only returns the value of the named service, or every value when none is named.
func only(t *tabler.Snapshot, services []string) ([]*tabler.Value, error) {
	if len(services) == 0 {
		return t.AllValues(), nil
	}
	v := editor.Find(t.AllValues(), services[0])
	if v == nil {
		return nil, eris.Errorf("service %q is not in the table", services[0])
	}
	return []*tabler.Value{v}, nil
}

// values reads the value of the named service, or every value when none is named.
func (e *environment) values(ctx context.Context, services []string) ([]*tabler.Value, subcommands.ExitStatus) {
	_, t, done, code := e.read(ctx)
	if code != ExitDone {
		return nil, code
	}
	defer done()
	values, err := only(t, services)
	if err != nil {
		return nil, e.fail(ExitUsage, err)
	}
	return values, ExitDone
}

func (e *environment) show(ctx context.Context, arguments []string) subcommands.ExitStatus {
	values, code := e.values(ctx, arguments)
	if code != ExitDone {
		return code
	}
	if e.json {
		return e.printJSON(values)
	}
	if err := tabler.WriteCSV(e.out, values); err != nil {
		return e.fail(ExitUnavailable, err)
	}
	return ExitDone
}

// shown is the JSON form of one value.
type shown struct {
	Service  string          `json:"service"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

func (e *environment) printJSON(values []*tabler.Value) subcommands.ExitStatus {
	rows := []shown{}
	for _, v := range values {
		data, err := tabler.Encode(v)
		if err != nil {
			return e.fail(ExitFaults, err)
		}
		rows = append(rows, shown{Service: v.Service.Service, Revision: v.Revision, Value: data})
	}
	return e.print(rows)
}

func (e *environment) print(v any) subcommands.ExitStatus {
	if err := json.NewEncoder(e.out).Encode(v); err != nil {
		return e.fail(ExitUnavailable, err)
	}
	return ExitDone
}

func (e *environment) export(ctx context.Context, arguments []string) subcommands.ExitStatus {
	if len(arguments) != 1 {
		return e.fail(ExitUsage, eris.New("export: one file is needed"))
	}
	values, code := e.values(ctx, nil)
	if code != ExitDone {
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
	return ExitDone
}

// load reads and checks a CSV file.
func (e *environment) load(arguments []string) ([]*tabler.Value, subcommands.ExitStatus) {
	if len(arguments) != 1 {
		return nil, e.fail(ExitUsage, eris.New("one CSV file is needed"))
	}
	f, err := os.Open(arguments[0])
	if err != nil {
		return nil, e.fail(ExitUsage, eris.Wrap(err, "table file"))
	}
	defer func() { _ = f.Close() }()
	values, err := tabler.ReadCSV(f)
	if err != nil {
		return nil, e.fail(ExitFaults, eris.Wrap(err, arguments[0]))
	}
	return values, ExitDone
}

func (e *environment) check(_ context.Context, arguments []string) subcommands.ExitStatus {
	values, code := e.load(arguments)
	if code != ExitDone {
		return code
	}
	if e.json {
		return e.print(map[string]any{"valid": true, "values": len(values)})
	}
	_, _ = fmt.Fprintf(e.out, "%s is valid: %d values\n", arguments[0], len(values))
	return ExitDone
}

func (e *environment) history(ctx context.Context, arguments []string) subcommands.ExitStatus {
	values, code := e.values(ctx, arguments)
	if code != ExitDone {
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
	if e.json {
		return e.print(rows)
	}
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tWHEN\tWHO\tEDIT\tID")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.Service, r.Edit.When.UTC().Format(time.RFC3339), r.Edit.Who, r.Edit.Summary, r.Edit.ID)
	}
	_ = w.Flush()
	return ExitDone
}
