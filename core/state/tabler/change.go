package tabler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Change is the change of one cell. Upstream is empty for a service or fleet row. The field "row" stands for the existence of
// the row, with the texts "present" and "absent"; removing a service row leaves a tombstone.
type Change struct {
	Service  string
	Upstream string
	Field    string
	Old      string
	New      string
}

// The field and the texts for the existence of a row.
const (
	FieldRow = "row"
	Present  = "present"
	Absent   = "absent"
)

// String returns the change as a cell edit with its old value.
func (c Change) String() string {
	return fmt.Sprintf("%s.%s = %q (was %q)", c.row(), c.Field, c.New, c.Old)
}

func (c Change) row() string {
	if c.Upstream == "" {
		return c.Service
	}
	return c.Service + "/" + c.Upstream
}

// ParseChange reads a cell edit of the form service[/upstream].field = value.
func ParseChange(text string) (Change, error) {
	path, value, ok := strings.Cut(text, "=")
	path, value = strings.TrimSpace(path), strings.TrimSpace(value)
	// Names may contain dots and fields do not, so the last dot ends the row.
	dot := strings.LastIndexByte(path, '.')
	if !ok || dot < 0 {
		return Change{}, eris.Errorf("edit %q: allowed is service[/upstream].field = value", text)
	}
	c := Change{Field: path[dot+1:], New: value}
	var slash bool
	c.Service, c.Upstream, slash = strings.Cut(path[:dot], "/")
	if c.Service != FleetService && !validName(c.Service) || slash && !validName(c.Upstream) {
		return Change{}, eris.Errorf("edit %q: service and upstream have %s", text, nameAllowed)
	}
	return c, nil
}

// NewValue returns the value of a service that the store does not have: a tombstone, or a fleet row with the default.
func NewValue(service string) *Value {
	v := &Value{Service: NewServiceRow(service), Removed: service != FleetService}
	if service == FleetService {
		v.Fleet.Max = DefaultFleetMax
	}
	return v
}

// ApplyChanges returns a copy of the value with changes of its service applied in order. It returns Faults for every change that
// names no row, no field or a text of the wrong form; ranges are left to Validate.
func (v *Value) ApplyChanges(changes []Change) (*Value, error) {
	next := *v
	next.Upstreams = slices.Clone(v.Upstreams)
	var faults FieldErrors
	for _, c := range changes {
		if f := next.applyOne(c); f != nil {
			faults = append(faults, *f)
		}
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	return &next, nil
}

func (v *Value) applyOne(c Change) *FieldError {
	fault := &FieldError{Service: c.Service, Upstream: c.Upstream, Field: c.Field, Value: c.New}
	switch {
	case c.Service != v.Service.Service:
		fault.Allowed = "an edit of service " + v.Service.Service
	case c.Field == FieldRow:
		return v.applyRow(c, fault)
	case c.Service == FleetService && c.Upstream == "":
		return applyCell(&v.Fleet, fleetColumns, c, fault)
	case v.Removed:
		fault.Allowed = "nothing, because the service does not exist; set its row to present first"
	case c.Upstream == "":
		return applyCell(&v.Service, serviceColumns, c, fault)
	default:
		if u := v.upstream(c.Upstream); u != nil {
			return applyCell(u, upstreamColumns, c, fault)
		}
		fault.Allowed = "an upstream that exists; set its row to present first"
	}
	return fault
}

func (v *Value) applyRow(c Change, fault *FieldError) *FieldError {
	fault.Allowed = Present + " or " + Absent
	switch {
	case c.New != Present && c.New != Absent:
		return fault
	case c.Service == FleetService:
		fault.Allowed = "nothing, because the fleet row always exists and has no upstreams"
		return fault
	case c.Upstream == "":
		if v.Removed != (c.New == Absent) {
			v.Removed, v.Service, v.Upstreams = c.New == Absent, NewServiceRow(c.Service), nil
		}
	case c.New == Absent:
		v.Upstreams = slices.DeleteFunc(v.Upstreams, func(r UpstreamRow) bool { return r.Upstream == c.Upstream })
	case v.Removed:
		fault.Allowed = "nothing, because the service does not exist; set its row to present first"
		return fault
	case v.upstream(c.Upstream) == nil:
		v.Upstreams = append(v.Upstreams, UpstreamRow{Service: c.Service, Upstream: c.Upstream, Weight: DefaultWeight})
	}
	return nil
}

func applyCell[R any](r *R, columns []column[R], c Change, fault *FieldError) *FieldError {
	for i := range columns {
		if columns[i].name != c.Field {
			continue
		}
		if columns[i].set(r, c.New) {
			return nil
		}
		fault.Allowed = columns[i].allowed
		return fault
	}
	names := make([]string, len(columns))
	for i := range columns {
		names[i] = columns[i].name
	}
	fault.Allowed = "one of the fields " + strings.Join(names, ", ")
	return fault
}

// Diff returns the changes that turn one value of a service into another, cell by cell. Either may be nil for a service that
// the table does not have. Apply makes the same changes.
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
		return rowChanges(nil, service, "", &from.Fleet, &to.Fleet, fleetColumns)
	}
	var changes []Change
	if from.Removed != to.Removed {
		changes = append(changes, existence(service, "", !from.Removed))
	}
	if to.Removed {
		return changes
	}
	old := *from
	if from.Removed {
		old = Value{Service: NewServiceRow(service)}
	}
	changes = rowChanges(changes, service, "", &old.Service, &to.Service, serviceColumns)
	for _, name := range namesOf(&old, to) {
		a, b := old.upstream(name), to.upstream(name)
		if (a == nil) != (b == nil) {
			changes = append(changes, existence(service, name, a != nil))
		}
		if b == nil {
			continue
		}
		if a == nil {
			a = &UpstreamRow{Weight: DefaultWeight}
		}
		changes = rowChanges(changes, service, name, a, b, upstreamColumns)
	}
	return changes
}

// DiffTables returns the changes that turn one table into another, by service. A service that only the first table has is
// removed by the changes; the fleet row is never removed.
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

func existence(service, upstream string, existed bool) Change {
	if existed {
		return Change{service, upstream, FieldRow, Present, Absent}
	}
	return Change{service, upstream, FieldRow, Absent, Present}
}

func rowChanges[R any](changes []Change, service, upstream string, from, to *R, columns []column[R]) []Change {
	for i := range columns {
		if a, b := columns[i].get(from), columns[i].get(to); a != b {
			changes = append(changes, Change{service, upstream, columns[i].name, a, b})
		}
	}
	return changes
}
