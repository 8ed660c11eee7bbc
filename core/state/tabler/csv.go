package tabler

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Row types in the column "row" of the CSV form.
const (
	rowFleet    = "fleet"
	rowService  = "service"
	rowUpstream = "upstream"
)

// maxCSVBytes limits the size of a CSV file. A table with the design target of 11,000 upstreams takes about 1 MB.
const maxCSVBytes = 64 << 20

// headers returns the columns of the CSV form: the row type, the names that identify a row, and the cells of every row type.
// A row leaves the columns of other row types empty.
func headers() []string {
	list := []string{"row", "service", "upstream"}
	list = append(list, columnNames(fleetColumns)...)
	list = append(list, columnNames(serviceColumns)...)
	return append(list, columnNames(upstreamColumns)...)
}

func columnNames[R any](columns []column[R]) []string {
	names := make([]string, len(columns))
	for i := range columns {
		names[i] = columns[i].name
	}
	return names
}

// WriteCSV writes the rows of values. It omits removed services.
func WriteCSV(w io.Writer, values []*Value) error {
	names := headers()
	records := [][]string{names}
	addRecord := func(row, service, upstream string, cells map[string]string) {
		record := []string{row, service, upstream}
		for _, n := range names[3:] {
			record = append(record, cells[n])
		}
		records = append(records, record)
	}
	for _, v := range values {
		service := v.Service.Service
		if service == FleetService {
			addRecord(rowFleet, service, "", cellMap(&v.Fleet, fleetColumns))
			continue
		}
		if v.Removed {
			continue
		}
		addRecord(rowService, service, "", cellMap(&v.Service, serviceColumns))
		for i := range v.Upstreams {
			u := &v.Upstreams[i]
			addRecord(rowUpstream, service, u.Upstream, cellMap(u, upstreamColumns))
		}
	}
	c := csv.NewWriter(w)
	if err := c.WriteAll(records); err != nil {
		return eris.Wrap(err, "write CSV")
	}
	return nil
}

func cellMap[R any](r *R, columns []column[R]) map[string]string {
	m := make(map[string]string, len(columns))
	for i := range columns {
		m[columns[i].name] = columns[i].get(r)
	}
	return m
}

// ReadCSV reads a whole table. Columns may be in any order, and columns with a default may be missing; an empty cell takes the
// default. The values are sorted by service and validated. It returns FieldErrors with every invalid cell, and an error with
// the line number for a malformed file. Services that the file omits are not in the result; compare the result with the table
// to find removed services.
func ReadCSV(r io.Reader) ([]*Value, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxCSVBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read CSV")
	}
	if len(data) > maxCSVBytes {
		return nil, eris.Errorf("CSV has more than %d bytes", maxCSVBytes)
	}
	// Spreadsheet programs often write a byte order mark.
	c := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\ufeff"))))
	header, err := c.Read()
	if err != nil {
		return nil, eris.Wrap(err, "read CSV header")
	}
	if err := checkHeader(header); err != nil {
		return nil, err
	}
	t := &csvTable{values: map[string]*Value{}, rows: map[string]int{}}
	for {
		record, err := c.Read()
		if err == io.EOF {
			return t.finish()
		}
		if err != nil {
			return nil, eris.Wrap(err, "read CSV")
		}
		cells := make(map[string]string, len(header))
		for i, text := range record {
			cells[header[i]] = strings.TrimSpace(text)
		}
		line, _ := c.FieldPos(0)
		t.addRow(line, cells)
	}
}

func checkHeader(header []string) error {
	names := headers()
	for i, h := range header {
		header[i] = strings.TrimSpace(h)
		if !slices.Contains(names, header[i]) || slices.Contains(header[:i], header[i]) {
			return eris.Errorf("CSV header has unknown or repeated column %q, want columns from the list %s, each at most once", header[i], strings.Join(names, ", "))
		}
	}
	for _, n := range names[:3] {
		if !slices.Contains(header, n) {
			return eris.Errorf("CSV header has no column %q", n)
		}
	}
	return nil
}

// csvTable collects the rows of a CSV file. An upstream row may precede its service row, as after sorting in a spreadsheet.
type csvTable struct {
	values map[string]*Value
	rows   map[string]int // line number of each row
	errs   FieldErrors
}

func (t *csvTable) addRow(line int, cells map[string]string) {
	row, service, upstream := cells["row"], cells["service"], cells["upstream"]
	delete(cells, "row")
	delete(cells, "service")
	delete(cells, "upstream")
	if row == "" && service == "" && upstream == "" && !slices.ContainsFunc(headers(), func(n string) bool { return cells[n] != "" }) {
		return // spreadsheet programs leave empty lines in the file
	}
	addError := func(field, value, allowed string) {
		allowed = fmt.Sprintf("%s (line %d)", allowed, line)
		t.errs = append(t.errs, FieldError{Service: service, Upstream: upstream, Field: field, Value: value, Allowed: allowed})
	}
	if row == rowFleet && service == "" {
		service = FleetService
	}
	key := row + " " + service + " " + upstream
	if first, ok := t.rows[key]; ok {
		addError("row", row, fmt.Sprintf("each row only once; it is also on line %d", first))
		return
	}
	t.rows[key] = line
	v := t.values[service]
	if v == nil {
		v = NewValue(service)
		v.Removed = false
	}
	switch {
	case row == rowFleet && service == FleetService && upstream == "":
		t.errs = append(t.errs, fillRow(service, "", &v.Fleet, fleetColumns, cells)...)
	case row == rowService && service != FleetService && upstream == "":
		t.errs = append(t.errs, fillRow(service, "", &v.Service, serviceColumns, cells)...)
	case row == rowUpstream && service != FleetService:
		u := UpstreamRow{Service: service, Upstream: upstream, Weight: DefaultWeight}
		t.errs = append(t.errs, fillRow(service, upstream, &u, upstreamColumns, cells)...)
		v.Upstreams = append(v.Upstreams, u)
	default:
		addError("row", row, "fleet without service and upstream names, service with a service name, or upstream with both names")
		return
	}
	t.values[service] = v
}

// fillRow sets the cells of a row. A text in a column of another row type is an error, because it would be lost.
func fillRow[R any](service, upstream string, r *R, columns []column[R], cells map[string]string) FieldErrors {
	errs := setCells(service, upstream, r, columns, cells)
	ownColumns := columnNames(columns)
	for _, n := range headers() {
		if text := cells[n]; text != "" && !slices.Contains(ownColumns, n) {
			errs = append(errs, FieldError{Service: service, Upstream: upstream, Field: n, Value: text, Allowed: "an empty cell in this row type"})
		}
	}
	return errs
}

// finish returns the values sorted by service, or FieldErrors. It validates them only when every cell could be parsed.
func (t *csvTable) finish() ([]*Value, error) {
	var values []*Value
	for _, service := range slices.Sorted(maps.Keys(t.values)) {
		v := t.values[service]
		if _, ok := t.rows[rowService+" "+service+" "]; !ok && service != FleetService {
			t.errs = append(t.errs, FieldError{Service: service, Field: "row", Allowed: "a service row for these upstream rows"})
		}
		values = append(values, v)
	}
	if len(t.errs) == 0 {
		for _, v := range values {
			if f, ok := v.Validate().(FieldErrors); ok {
				t.errs = append(t.errs, f...)
			}
		}
	}
	if err := t.errs.err(); err != nil {
		return nil, err
	}
	return values, nil
}
