package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"comfreyroute/core/coordination/synchronizer"
	"comfreyroute/core/state/tabler"
	"comfreyroute/operator/internal/editor"
)

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
			r.take(d.Edit(ctx, e.newEdit(plan[service]), service, editor.Find(t.AllValues(), service), plan[service]))
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
	base := editor.Find(t.AllValues(), service)
	if base == nil {
		base = tabler.NewValue(service)
	}
	wanted, err := base.ApplyChanges(changes)
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

func (r *result) take(f synchronizer.EditFinished) {
	r.Verdict, r.Revision, r.Conflicts = f.Verdict.String(), f.Revision, f.Conflicts
	if f.Err != nil {
		r.Error = f.Err.Error()
	}
	switch f.Verdict {
	case synchronizer.Accepted:
		r.code = ExitDone
	case synchronizer.Conflicting:
		r.code = ExitConflict
	case synchronizer.Invalid:
		r.code = ExitFaults
	case synchronizer.Unavailable:
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
	if r.Verdict == synchronizer.Unknown.String() {
		b.WriteString("  the key-value service gave no clear answer; look at the history, then repeat the edit\n")
	}
	return b.String()
}
