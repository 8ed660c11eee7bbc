package configloader

import (
	"fmt"
	"strings"
)

// SettingError is one invalid setting. Key is empty for an unknown section.
type SettingError struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
}

// Error returns the file, the section, the key, the value and the allowed values.
func (f SettingError) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s: [%s]: want %s", f.File, f.Section, f.Allowed)
	}
	return fmt.Sprintf("%s: [%s] %s = %q: want %s", f.File, f.Section, f.Key, f.Value, f.Allowed)
}

// SettingErrors lists every invalid setting of a file.
type SettingErrors []SettingError

// Error returns the errors, one per line.
func (f SettingErrors) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}
