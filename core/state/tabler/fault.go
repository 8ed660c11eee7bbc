package tabler

import (
	"fmt"
	"strings"
)

// FieldError names one cell of the table that holds a value that is not allowed. Upstream is empty for a service or fleet row.
type FieldError struct {
	Service  string
	Upstream string
	Field    string
	Value    string
	Allowed  string
}

// Error names the row, the field, the value and what is allowed.
func (f FieldError) Error() string {
	row := f.Service
	if f.Upstream != "" {
		row += "/" + f.Upstream
	}
	return fmt.Sprintf("%s.%s = %q: allowed is %s", row, f.Field, f.Value, f.Allowed)
}

// FieldErrors lists every fault of a value, so that an operator can correct them together.
type FieldErrors []FieldError

// Error lists the faults, one a line.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// err returns the faults as an error, or nil when there are none.
func (f FieldErrors) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
