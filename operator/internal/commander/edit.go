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

// applyFile prints the differences between a CSV file and the table. Unless dryRun is set, it edits the table to match the file.
func (e *environment) applyFile(ctx context.Context, arguments []string, prune, dryRun bool) subcommands.ExitStatus {
	wanted, code := e.loadCSV(arguments)
	if code != ExitOK {
		return code
	}
	ed, t, closeClient, code := e.readTable(ctx)
	if code != ExitOK {
		return code
	}
	defer closeClient()
	plan := editor.PlanChanges(t, wanted, prune)
	var results []result
	for _, service := range editor.SortedServices(plan) {
		r := result{Service: service, Changes: formatChanges(plan[service]), Verdict: "differs"}
		if !dryRun {
			r.setOutcome(ed.EditService(ctx, e.newEdit(plan[service]), service, editor.FindValue(t.AllValues(), service), plan[service]))
		}
		results = append(results, r)
	}
	code = e.printResults(results)
	if dryRun && len(results) > 0 {
		return ExitDiffers
	}
	return code
}

func (e *environment) edit(ctx context.Context, arguments []string) subcommands.ExitStatus {
	var changes []tabler.Change
	for _, a := range arguments {
		c, err := tabler.ParseChange(a)
		if err != nil {
			return e.fail(ExitInvalid, err)
		}
		if len(changes) > 0 && changes[0].Service != c.Service {
			return e.fail(ExitUsage, eris.Errorf("edit: one edit can't change two services, %q and %q", changes[0].Service, c.Service))
		}
		changes = append(changes, c)
	}
	if len(changes) == 0 {
		return e.fail(ExitUsage, eris.New("edit: missing change, for example 'matching.deadline = 72ms'"))
	}
	ed, t, closeClient, code := e.readTable(ctx)
	if code != ExitOK {
		return code
	}
	defer closeClient()
	service := changes[0].Service
	base := editor.FindValue(t.AllValues(), service)
	if base == nil {
		base = tabler.NewValue(service)
	}
	wanted, err := base.ApplyChanges(changes)
	if err != nil {
		return e.fail(ExitInvalid, err)
	}
	if changes = tabler.Diff(base, wanted); len(changes) == 0 {
		return e.printResults(nil)
	}
	r := result{Service: service, Changes: formatChanges(changes)}
	r.setOutcome(ed.EditService(ctx, e.newEdit(changes), service, base, changes))
	return e.printResults([]result{r})
}

func (e *environment) newEdit(changes []tabler.Change) tabler.Edit {
	return tabler.Edit{ID: uuid.NewString(), Who: e.who, When: time.Now().UTC(), Summary: editor.SummarizeChanges(changes)}
}

func formatChanges(changes []tabler.Change) []string {
	var out []string
	for _, c := range changes {
		out = append(out, c.String())
	}
	return out
}

// result is the result of an edit of one service. Its JSON form is the output for scripts.
type result struct {
	Service   string            `json:"service"`
	Changes   []string          `json:"changes"`
	Verdict   string            `json:"verdict"`
	Revision  uint64            `json:"revision,omitempty"`
	Conflicts []tabler.Conflict `json:"conflicts,omitempty"`
	Error     string            `json:"error,omitempty"`
	code      subcommands.ExitStatus
}

func (r *result) setOutcome(f synchronizer.EditFinished) {
	r.Verdict, r.Revision, r.Conflicts = f.Verdict.String(), f.Revision, f.Conflicts
	if f.Err != nil {
		r.Error = f.Err.Error()
	}
	switch f.Verdict {
	case synchronizer.Accepted:
		r.code = ExitOK
	case synchronizer.Conflicting:
		r.code = ExitConflict
	case synchronizer.Invalid:
		r.code = ExitInvalid
	case synchronizer.Unavailable:
		r.code = ExitUnavailable
	default:
		r.code = ExitUnknown
	}
}

// printResults prints the results. It returns the exit code of the first edit that was not accepted, or ExitOK.
func (e *environment) printResults(results []result) subcommands.ExitStatus {
	code := subcommands.ExitStatus(ExitOK)
	for _, r := range results {
		if code == ExitOK {
			code = r.code
		}
	}
	if e.printsJSON {
		if results == nil {
			results = []result{}
		}
		_ = json.NewEncoder(e.stdout).Encode(results)
		return code
	}
	if len(results) == 0 {
		_, _ = fmt.Fprintln(e.stdout, "no difference")
	}
	for _, r := range results {
		_, _ = fmt.Fprint(e.stdout, r.format())
	}
	return code
}

func (r *result) format() string {
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
		fmt.Fprintf(&b, "  %s was changed by another edit in the meantime\n    yours:  %s\n    theirs: %s\n", row, c.Mine, c.Theirs)
	}
	if r.Verdict == synchronizer.Unknown.String() {
		b.WriteString("  the key-value service did not confirm the edit, so it may or may not take effect; check the history, then repeat the edit\n")
	}
	return b.String()
}
