package describer

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// reader reads the keys of one section and collects every fault, with the section, key, value and what is allowed.
type reader struct {
	section *ini.Section
	faults  *[]error
	used    []string
}

func (r *reader) fault(key, value, allowed string) {
	*r.faults = append(*r.faults, eris.Errorf("section %s: %s %q, allowed: %s", r.section.Name(), key, value, allowed))
}

// rest reports the keys that no other method has read.
func (r *reader) rest() {
	for _, k := range r.section.KeyStrings() {
		if !slices.Contains(r.used, k) {
			r.fault(k, r.section.Key(k).String(), "no such key")
		}
	}
}

func (r *reader) text(key, unset string) string {
	r.used = append(r.used, key)
	if !r.section.HasKey(key) {
		return unset
	}
	return r.section.Key(key).String()
}

// choice returns one of the allowed values; the first one is the default.
func (r *reader) choice(key string, allowed ...string) string {
	v := r.text(key, allowed[0])
	if !slices.Contains(allowed, v) {
		r.fault(key, v, strings.Join(allowed, ", "))
	}
	return v
}

func (r *reader) integer(key string, unset, low, high int) int {
	if r.text(key, "") == "" {
		return unset
	}
	n, err := r.section.Key(key).Int()
	if err != nil || n < low || n > high {
		r.fault(key, r.section.Key(key).String(), "a whole number within its bounds")
		return unset
	}
	return n
}

func (r *reader) float(key string, unset, low, high float64) float64 {
	if r.text(key, "") == "" {
		return unset
	}
	n, err := r.section.Key(key).Float64()
	if err != nil || !(n >= low && n <= high) {
		r.fault(key, r.section.Key(key).String(), "a number within its bounds")
		return unset
	}
	return n
}

func (r *reader) duration(key string, unset, high time.Duration) time.Duration {
	if r.text(key, "") == "" {
		return unset
	}
	v, err := r.section.Key(key).Duration()
	if err != nil || v < 0 || v > high {
		r.fault(key, r.section.Key(key).String(), "a duration from 0 to "+high.String())
		return unset
	}
	return v
}
