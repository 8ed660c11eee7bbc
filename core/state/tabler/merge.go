package tabler

import (
	"maps"
	"slices"
	"strings"
)

// Conflict is a row that two edits changed in different ways. Upstream is empty for the service or fleet row. Mine and Theirs
// are the formatted cells of the row, or "absent".
type Conflict struct {
	Service  string
	Upstream string
	Mine     string
	Theirs   string
}

// Merge combines two edits of base. It keeps edits of different rows; a row that both edits changed in different ways is a
// conflict. The removal of a service conflicts with every other edit, because it would discard that edit. The result has the
// revision and the list of edits of theirs. It is not validated: two edits that are valid alone can be invalid together.
func Merge(base, mine, theirs *Value) (*Value, []Conflict) {
	service := theirs.Service.Service
	b, m, t := formatRows(base), formatRows(mine), formatRows(theirs)
	if isRemoval(base, mine) && !maps.Equal(b, t) && !theirs.Removed || isRemoval(base, theirs) && !maps.Equal(b, m) && !mine.Removed {
		return nil, []Conflict{{Service: service, Mine: rowText(m, ""), Theirs: rowText(t, "")}}
	}
	merged := *theirs
	merged.Upstreams = nil
	var conflicts []Conflict
	// choose returns the value from which the merged row is copied.
	choose := func(row string) *Value {
		switch {
		case m[row] == b[row]:
			return theirs
		case t[row] == b[row] || t[row] == m[row]:
			return mine
		}
		conflicts = append(conflicts, Conflict{Service: service, Upstream: row, Mine: rowText(m, row), Theirs: rowText(t, row)})
		return mine
	}
	from := choose("")
	merged.Removed, merged.Fleet, merged.Service = from.Removed, from.Fleet, from.Service
	for _, name := range upstreamNames(theirs, mine) {
		if r := choose(name).upstream(name); r != nil {
			merged.Upstreams = append(merged.Upstreams, *r)
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	return &merged, nil
}

func isRemoval(base, v *Value) bool { return v.Removed && !base.Removed }

// formatRows returns the formatted cells of each row by upstream name. The service or fleet row has the key "".
func formatRows(v *Value) map[string]string {
	rows := make(map[string]string, len(v.Upstreams)+1)
	switch {
	case v.Removed:
		rows[""] = "removed"
	case v.Service.Service == FleetService:
		rows[""] = formatCells(&v.Fleet, fleetColumns)
	default:
		rows[""] = formatCells(&v.Service, serviceColumns)
	}
	for i := range v.Upstreams {
		rows[v.Upstreams[i].Upstream] = formatCells(&v.Upstreams[i], upstreamColumns)
	}
	return rows
}

func rowText(rows map[string]string, row string) string {
	if text, ok := rows[row]; ok {
		return text
	}
	return "absent"
}

func formatCells[R any](r *R, columns []column[R]) string {
	texts := make([]string, len(columns))
	for i := range columns {
		texts[i] = columns[i].name + "=" + columns[i].get(r)
	}
	return strings.Join(texts, ", ")
}

// upstreamNames returns the upstream names of the first value in order, followed by those that only the second value has.
func upstreamNames(first, second *Value) []string {
	var names []string
	seen := make(map[string]bool)
	for _, v := range []*Value{first, second} {
		for i := range v.Upstreams {
			if n := v.Upstreams[i].Upstream; !seen[n] {
				seen[n] = true
				names = append(names, n)
			}
		}
	}
	return names
}

func (v *Value) upstream(name string) *UpstreamRow {
	i := slices.IndexFunc(v.Upstreams, func(r UpstreamRow) bool { return r.Upstream == name })
	if i < 0 {
		return nil
	}
	return &v.Upstreams[i]
}

// HasEdit reports whether the value lists an edit with the given id.
func (v *Value) HasEdit(id string) bool {
	return slices.ContainsFunc(v.Edits, func(e Edit) bool { return e.ID == id })
}

// WithEdit returns a copy of the value with e as its newest edit. Only the last MaxEdits edits are kept.
func (v *Value) WithEdit(e Edit) *Value {
	next := *v
	next.Edits = append(slices.Clone(v.Edits), e)
	next.Edits = next.Edits[max(0, len(next.Edits)-MaxEdits):]
	return &next
}
