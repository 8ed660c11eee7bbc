package settler

import (
	"fmt"
	"strings"
)

// Fault names one setting that is not allowed.
type Fault struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
}

// Error names the file, the section, the key, the value and what is allowed.
func (f Fault) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s: [%s]: allowed is %s", f.File, f.Section, f.Allowed)
	}
	return fmt.Sprintf("%s: [%s] %s = %q: allowed is %s", f.File, f.Section, f.Key, f.Value, f.Allowed)
}

// Faults lists every fault of a settings file.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}
