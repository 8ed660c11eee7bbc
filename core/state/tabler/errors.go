package tabler

import (
	"fmt"
	"strings"
)

// FieldError is a table cell with an invalid value. Upstream is empty for a service or fleet row.
type FieldError struct {
	Service  string
	Upstream string
	Field    string
	Value    string
	Allowed  string
}

// Error returns the row, the field, the value and the allowed values.
func (f FieldError) Error() string {
	row := f.Service
	if f.Upstream != "" {
		row += "/" + f.Upstream
	}
	return fmt.Sprintf("%s.%s = %q: want %s", row, f.Field, f.Value, f.Allowed)
}

// FieldErrors lists every invalid cell of a value, so that an operator can correct them together.
type FieldErrors []FieldError

// Error returns the errors, one per line.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// err returns f as an error, or nil when f is empty.
func (f FieldErrors) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
