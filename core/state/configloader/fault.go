package configloader

import (
	"fmt"
	"strings"
)

// SettingError names one setting that is not allowed.
type SettingError struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
}

// Error names the file, the section, the key, the value and what is allowed.
func (f SettingError) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s: [%s]: allowed is %s", f.File, f.Section, f.Allowed)
	}
	return fmt.Sprintf("%s: [%s] %s = %q: allowed is %s", f.File, f.Section, f.Key, f.Value, f.Allowed)
}

// SettingErrors lists every fault of a settings file.
type SettingErrors []SettingError

// Error lists the faults, one a line.
func (f SettingErrors) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}
