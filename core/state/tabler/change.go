package tabler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Change is an edit of one cell. Upstream is empty for a service or fleet row. The field "row" adds or removes the whole row,
// with the values "present" and "absent"; removing a service row leaves a tombstone.
type Change struct {
	Service  string
	Upstream string
	Field    string
	Old      string
	New      string
}

// The field that adds or removes a row, and its values.
const (
	FieldRow = "row"
	Present  = "present"
	Absent   = "absent"
)

// String returns the change as a cell edit, with the old value.
func (c Change) String() string {
	return fmt.Sprintf("%s.%s = %q (was %q)", c.rowPath(), c.Field, c.New, c.Old)
}

func (c Change) rowPath() string {
	if c.Upstream == "" {
		return c.Service
	}
	return c.Service + "/" + c.Upstream
}

// ParseChange parses a cell edit of the form service[/upstream].field = value.
func ParseChange(text string) (Change, error) {
	path, value, ok := strings.Cut(text, "=")
	path, value = strings.TrimSpace(path), strings.TrimSpace(value)
	// Names may contain dots but fields do not, so the last dot separates the row from the field.
	dot := strings.LastIndexByte(path, '.')
	if !ok || dot < 0 {
		return Change{}, eris.Errorf("edit %q: want the form service[/upstream].field = value", text)
	}
	c := Change{Field: path[dot+1:], New: value}
	var slash bool
	c.Service, c.Upstream, slash = strings.Cut(path[:dot], "/")
	if c.Service != FleetService && !validName(c.Service) || slash && !validName(c.Upstream) {
		return Change{}, eris.Errorf("edit %q: want service and upstream names of %s", text, nameAllowed)
	}
	return c, nil
}

// NewValue returns the value of a service that is not in the store: a tombstone, or a fleet row with the default.
func NewValue(service string) *Value {
	v := &Value{Service: NewServiceRow(service), Removed: service != FleetService}
	if service == FleetService {
		v.Fleet.Max = DefaultFleetMax
	}
	return v
}

// ApplyChanges returns a copy of the value with changes of its service applied in order. It returns FieldErrors with every
// change that names an unknown row or field, or whose value cannot be parsed. It leaves the check of ranges to Validate.
func (v *Value) ApplyChanges(changes []Change) (*Value, error) {
	next := *v
	next.Upstreams = slices.Clone(v.Upstreams)
	var errs FieldErrors
	for _, c := range changes {
		if f := next.applyChange(c); f != nil {
			errs = append(errs, *f)
		}
	}
	if err := errs.err(); err != nil {
		return nil, err
	}
	return &next, nil
}

func (v *Value) applyChange(c Change) *FieldError {
	e := &FieldError{Service: c.Service, Upstream: c.Upstream, Field: c.Field, Value: c.New}
	switch {
	case c.Service != v.Service.Service:
		e.Allowed = "an edit of service " + v.Service.Service
	case c.Field == FieldRow:
		return v.applyRowChange(c, e)
	case c.Service == FleetService && c.Upstream == "":
		return applyCellChange(&v.Fleet, fleetColumns, c, e)
	case v.Removed:
		e.Allowed = "an existing service; set its row to present first"
	case c.Upstream == "":
		return applyCellChange(&v.Service, serviceColumns, c, e)
	default:
		if u := v.upstream(c.Upstream); u != nil {
			return applyCellChange(u, upstreamColumns, c, e)
		}
		e.Allowed = "an existing upstream; set its row to present first"
	}
	return e
}

func (v *Value) applyRowChange(c Change, e *FieldError) *FieldError {
	e.Allowed = Present + " or " + Absent
	switch {
	case c.New != Present && c.New != Absent:
		return e
	case c.Service == FleetService:
		e.Allowed = "no edit, because the fleet row always exists and has no upstreams"
		return e
	case c.Upstream == "":
		if v.Removed != (c.New == Absent) {
			v.Removed, v.Service, v.Upstreams = c.New == Absent, NewServiceRow(c.Service), nil
		}
	case c.New == Absent:
		v.Upstreams = slices.DeleteFunc(v.Upstreams, func(r UpstreamRow) bool { return r.Upstream == c.Upstream })
	case v.Removed:
		e.Allowed = "an existing service; set its row to present first"
		return e
	case v.upstream(c.Upstream) == nil:
		v.Upstreams = append(v.Upstreams, UpstreamRow{Service: c.Service, Upstream: c.Upstream, Weight: DefaultWeight})
	}
	return nil
}

func applyCellChange[R any](r *R, columns []column[R], c Change, e *FieldError) *FieldError {
	for i := range columns {
		if columns[i].name != c.Field {
			continue
		}
		if columns[i].set(r, c.New) {
			return nil
		}
		e.Allowed = columns[i].allowed
		return e
	}
	names := make([]string, len(columns))
	for i := range columns {
		names[i] = columns[i].name
	}
	e.Allowed = "one of the fields " + strings.Join(names, ", ")
	return e
}

// Diff returns the cell changes that turn one value of a service into another. Either value may be nil for a service that is
// not in the table. ApplyChanges with the result turns from into to.
func Diff(from, to *Value) []Change {
	if from == nil && to == nil {
		return nil
	}
	if from == nil {
		from = NewValue(to.Service.Service)
	}
	if to == nil {
		to = NewValue(from.Service.Service)
	}
	service := to.Service.Service
	if service == FleetService {
		return cellChanges(nil, service, "", &from.Fleet, &to.Fleet, fleetColumns)
	}
	var changes []Change
	if from.Removed != to.Removed {
		changes = append(changes, presenceChange(service, "", !from.Removed))
	}
	if to.Removed {
		return changes
	}
	old := *from
	if from.Removed {
		old = Value{Service: NewServiceRow(service)}
	}
	changes = cellChanges(changes, service, "", &old.Service, &to.Service, serviceColumns)
	for _, name := range upstreamNames(&old, to) {
		a, b := old.upstream(name), to.upstream(name)
		if (a == nil) != (b == nil) {
			changes = append(changes, presenceChange(service, name, a != nil))
		}
		if b == nil {
			continue
		}
		if a == nil {
			a = &UpstreamRow{Weight: DefaultWeight}
		}
		changes = cellChanges(changes, service, name, a, b, upstreamColumns)
	}
	return changes
}

// DiffTables returns the changes that turn one table into another, ordered by service. They remove a service that only the
// first table has, but never the fleet row.
func DiffTables(from, to []*Value) []Change {
	pairs := make(map[string][2]*Value)
	for i, table := range [][]*Value{from, to} {
		for _, v := range table {
			pair := pairs[v.Service.Service]
			pair[i] = v
			pairs[v.Service.Service] = pair
		}
	}
	var changes []Change
	for _, service := range slices.Sorted(maps.Keys(pairs)) {
		pair := pairs[service]
		if service == FleetService && pair[1] == nil {
			continue
		}
		changes = append(changes, Diff(pair[0], pair[1])...)
	}
	return changes
}

// presenceChange returns the change that removes a row that existed, or adds one that did not.
func presenceChange(service, upstream string, existed bool) Change {
	if existed {
		return Change{service, upstream, FieldRow, Present, Absent}
	}
	return Change{service, upstream, FieldRow, Absent, Present}
}

func cellChanges[R any](changes []Change, service, upstream string, from, to *R, columns []column[R]) []Change {
	for i := range columns {
		if a, b := columns[i].get(from), columns[i].get(to); a != b {
			changes = append(changes, Change{service, upstream, columns[i].name, a, b})
		}
	}
	return changes
}
