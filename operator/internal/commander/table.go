package commander

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"comfreyroute/core/coordination/adopter"
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
		return t.All(), nil
	}
	v := editor.Find(t.All(), services[0])
	if v == nil {
		return nil, eris.Errorf("service %q is not in the table", services[0])
	}
	return []*tabler.Value{v}, nil
}

func (e *environment) show(ctx context.Context, arguments []string) subcommands.ExitStatus {
	_, t, done, code := e.read(ctx)
	if code != ExitDone {
		return code
	}
	defer done()
	values, err := only(t, arguments)
	if err != nil {
		return e.fail(ExitUsage, err)
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
	_, t, done, code := e.read(ctx)
	if code != ExitDone {
		return code
	}
	defer done()
	f, err := os.Create(arguments[0])
	if err != nil {
		return e.fail(ExitUsage, eris.Wrap(err, "export"))
	}
	err = tabler.WriteCSV(f, t.All())
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

// apply prints the difference between a file and the table, and brings the table to the state of the file unless dry is set.
func (e *environment) apply(ctx context.Context, arguments []string, prune, dry bool) subcommands.ExitStatus {
	wanted, code := e.load(arguments)
	if code != ExitDone {
		return code
	}
	d, t, done, code := e.read(ctx)
	if code != ExitDone {
		return code
	}
	defer done()
	plan := editor.Plan(t, wanted, prune)
	var results []result
	for _, service := range editor.Services(plan) {
		r := result{Service: service, Changes: texts(plan[service]), Verdict: "differs"}
		if !dry {
			r.take(d.Edit(ctx, e.newEdit(plan[service]), service, editor.Find(t.All(), service), plan[service]))
		}
		results = append(results, r)
	}
	code = e.report(results)
	if dry && len(results) > 0 {
		return ExitDiffers
	}
	return code
}

func (e *environment) edit(ctx context.Context, arguments []string) subcommands.ExitStatus {
	var changes []tabler.Change
	for _, a := range arguments {
		c, err := tabler.ParseChange(a)
		if err != nil {
			return e.fail(ExitFaults, err)
		}
		if len(changes) > 0 && changes[0].Service != c.Service {
			return e.fail(ExitUsage, eris.Errorf("edit: cells of %q and %q can't be changed by one edit", changes[0].Service, c.Service))
		}
		changes = append(changes, c)
	}
	if len(changes) == 0 {
		return e.fail(ExitUsage, eris.New("edit: a cell is needed, such as 'matching.deadline = 72ms'"))
	}
	d, t, done, code := e.read(ctx)
	if code != ExitDone {
		return code
	}
	defer done()
	service := changes[0].Service
	base := editor.Find(t.All(), service)
	if base == nil {
		base = tabler.NewValue(service)
	}
	wanted, err := base.Apply(changes)
	if err != nil {
		return e.fail(ExitFaults, err)
	}
	if changes = tabler.Diff(base, wanted); len(changes) == 0 {
		return e.report(nil)
	}
	r := result{Service: service, Changes: texts(changes)}
	r.take(d.Edit(ctx, e.newEdit(changes), service, base, changes))
	return e.report([]result{r})
}

func (e *environment) newEdit(changes []tabler.Change) tabler.Edit {
	return tabler.Edit{ID: uuid.NewString(), Who: e.who, When: time.Now().UTC(), Summary: editor.Summary(changes)}
}

func texts(changes []tabler.Change) []string {
	var out []string
	for _, c := range changes {
		out = append(out, c.String())
	}
	return out
}

// result is how the edit of one service ended.
type result struct {
	Service   string            `json:"service"`
	Changes   []string          `json:"changes"`
	Verdict   string            `json:"verdict"`
	Revision  uint64            `json:"revision,omitempty"`
	Conflicts []tabler.Conflict `json:"conflicts,omitempty"`
	Error     string            `json:"error,omitempty"`
	code      subcommands.ExitStatus
}

func (r *result) take(f adopter.Finished) {
	r.Verdict, r.Revision, r.Conflicts = f.Verdict.String(), f.Revision, f.Conflicts
	if f.Err != nil {
		r.Error = f.Err.Error()
	}
	switch f.Verdict {
	case adopter.Accepted:
		r.code = ExitDone
	case adopter.Conflicting:
		r.code = ExitConflict
	case adopter.Invalid:
		r.code = ExitFaults
	case adopter.Unavailable:
		r.code = ExitUnavailable
	default:
		r.code = ExitUnknown
	}
}

// report prints the results and returns the exit code of the first one that was not accepted.
func (e *environment) report(results []result) subcommands.ExitStatus {
	code := subcommands.ExitStatus(ExitDone)
	for _, r := range results {
		if code == ExitDone {
			code = r.code
		}
	}
	if e.json {
		if results == nil {
			results = []result{}
		}
		_ = json.NewEncoder(e.out).Encode(results)
		return code
	}
	if len(results) == 0 {
		_, _ = fmt.Fprintln(e.out, "no difference")
	}
	for _, r := range results {
		_, _ = fmt.Fprint(e.out, r.text())
	}
	return code
}

func (r *result) text() string {
	var b strings.Builder
	for _, c := range r.Changes {
		fmt.Fprintf(&b, "  %s\n", c)
	}
	fmt.Fprintf(&b, "%s: %s", r.Service, r.Verdict)
	if r.Revision > 0 {
		fmt.Fprintf(&b, " at revision %d", r.Revision)
	}
	if r.Error != "" {
		fmt.Fprintf(&b, ": %s", r.Error)
	}
	b.WriteByte('\n')
	for _, c := range r.Conflicts {
		row := c.Service
		if c.Upstream != "" {
			row += "/" + c.Upstream
		}
		fmt.Fprintf(&b, "  %s was edited by someone else meanwhile\n    yours:  %s\n    theirs: %s\n", row, c.Mine, c.Theirs)
	}
	if r.Verdict == adopter.Unknown.String() {
		b.WriteString("  the key-value service gave no clear answer; look at the history, then repeat the edit\n")
	}
	return b.String()
}

func (e *environment) history(ctx context.Context, arguments []string) subcommands.ExitStatus {
	_, t, done, code := e.read(ctx)
	if code != ExitDone {
		return code
	}
	defer done()
	values, err := only(t, arguments)
	if err != nil {
		return e.fail(ExitUsage, err)
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
