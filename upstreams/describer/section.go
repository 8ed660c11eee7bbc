package describer

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// sectionReader reads the keys of one section. It collects all errors, each with the section, the key, the value and the allowed
// values.
type sectionReader struct {
	section  *ini.Section
	errs     *[]error
	readKeys []string
}

func (r *sectionReader) addError(key, value, allowed string) {
	*r.errs = append(*r.errs, eris.Errorf("section %s: %s %q, allowed: %s", r.section.Name(), key, value, allowed))
}

// reportUnknownKeys adds an error for each key that was not read.
func (r *sectionReader) reportUnknownKeys() {
	for _, k := range r.section.KeyStrings() {
		if !slices.Contains(r.readKeys, k) {
			r.addError(k, r.section.Key(k).String(), "no such key")
		}
	}
}

func (r *sectionReader) getString(key, defaultValue string) string {
	r.readKeys = append(r.readKeys, key)
	if !r.section.HasKey(key) {
		return defaultValue
	}
	return r.section.Key(key).String()
}

// getChoice returns the value of a key, which must be one of the allowed values. The first one is the default.
func (r *sectionReader) getChoice(key string, allowed ...string) string {
	v := r.getString(key, allowed[0])
	if !slices.Contains(allowed, v) {
		r.addError(key, v, strings.Join(allowed, ", "))
	}
	return v
}

func (r *sectionReader) getInt(key string, defaultValue, minimum, maximum int) int {
	if r.getString(key, "") == "" {
		return defaultValue
	}
	n, err := r.section.Key(key).Int()
	if err != nil || n < minimum || n > maximum {
		r.addError(key, r.section.Key(key).String(), "a whole number within its bounds")
		return defaultValue
	}
	return n
}

func (r *sectionReader) getFloat(key string, defaultValue, minimum, maximum float64) float64 {
	if r.getString(key, "") == "" {
		return defaultValue
	}
	n, err := r.section.Key(key).Float64()
	if err != nil || !(n >= minimum && n <= maximum) {
		r.addError(key, r.section.Key(key).String(), "a number within its bounds")
		return defaultValue
	}
	return n
}

func (r *sectionReader) getDuration(key string, defaultValue, maximum time.Duration) time.Duration {
	if r.getString(key, "") == "" {
		return defaultValue
	}
	v, err := r.section.Key(key).Duration()
	if err != nil || v < 0 || v > maximum {
		r.addError(key, r.section.Key(key).String(), "a duration from 0 to "+maximum.String())
		return defaultValue
	}
	return v
}
