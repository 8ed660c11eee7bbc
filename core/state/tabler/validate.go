package tabler

import (
	"fmt"
	"net/netip"
	"strconv"
)

// Limits of a stored value.
const (
	MaxValueBytes = 1 << 20 // the store rejects larger values
	MaxEdits      = 32      // accepted edits that are kept with a value
	maxEditBytes  = 512     // limit of each text of an edit, so that the list stays small compared with the rows
)

// Validate checks the value as a whole and returns FieldErrors with every invalid cell, or nil. It does not check the rows of a
// removed service, because nothing reads them.
func (v *Value) Validate() error {
	var errs FieldErrors
	service := v.Service.Service
	addError := func(upstream, field, value, allowed string) {
		errs = append(errs, FieldError{Service: service, Upstream: upstream, Field: field, Value: value, Allowed: allowed})
	}
	for _, f := range v.invalidEdits() {
		addError("", "edits", f, "up to 32 edits, each with an id and texts of up to 512 bytes")
	}
	if service == FleetService {
		errs = append(errs, rowErrors(service, "", &v.Fleet, fleetColumns)...)
		if len(v.Upstreams) > 0 || v.Removed {
			addError("", "upstreams", strconv.Itoa(len(v.Upstreams)), "none; the fleet row is never removed")
		}
		return errs.err()
	}
	if !validName(service) {
		addError("", "name", service, nameAllowed)
	}
	if v.Removed {
		return errs.err()
	}
	errs = append(errs, rowErrors(service, "", &v.Service, serviceColumns)...)
	names, addresses := map[string]bool{}, map[netip.AddrPort]string{}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		errs = append(errs, rowErrors(service, u.Upstream, u, upstreamColumns)...)
		if u.Service != service {
			addError(u.Upstream, "service", u.Service, service)
		}
		if !validName(u.Upstream) {
			addError(u.Upstream, "name", u.Upstream, nameAllowed)
		}
		if names[u.Upstream] {
			addError(u.Upstream, "name", u.Upstream, "a name that no other upstream of the service has")
		}
		if other, ok := addresses[u.Address]; ok {
			addError(u.Upstream, "address", formatAddress(u.Address), "an address other than that of "+other)
		}
		names[u.Upstream], addresses[u.Address] = true, u.Upstream
	}
	errs = append(errs, v.groupErrors()...)
	return errs.err()
}

// groupErrors checks that the groups of a search service have no gap, and that a point service has one group. A gap would be
// a shard group without upstreams, so that no answer could cover all shards.
func (v *Value) groupErrors() FieldErrors {
	var errs FieldErrors
	used := make(map[int]bool)
	for i := range v.Upstreams {
		used[v.Upstreams[i].Group] = true
	}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		f := FieldError{Service: v.Service.Service, Upstream: u.Upstream, Field: "group", Value: strconv.Itoa(u.Group)}
		switch {
		case v.Service.Kind == KindPoint && u.Group != 0:
			f.Allowed = "0, because the service has kind point"
		case v.Service.Kind == KindSearch && u.Group > 0 && !used[u.Group-1]:
			f.Allowed = fmt.Sprintf("consecutive groups; group %d has no upstream", u.Group-1)
		default:
			continue
		}
		errs = append(errs, f)
	}
	return errs
}

// invalidEdits returns the count of edits if there are more than MaxEdits, and the id of each edit that has no id or a text of more
// than maxEditBytes.
func (v *Value) invalidEdits() []string {
	var invalid []string
	if len(v.Edits) > MaxEdits {
		invalid = append(invalid, fmt.Sprintf("%d edits", len(v.Edits)))
	}
	for _, e := range v.Edits {
		if e.ID == "" || max(len(e.ID), len(e.Who), len(e.Summary)) > maxEditBytes {
			invalid = append(invalid, e.ID)
		}
	}
	return invalid
}

func rowErrors[R any](service, upstream string, r *R, columns []column[R]) FieldErrors {
	var errs FieldErrors
	for i := range columns {
		if c := &columns[i]; !c.valid(r) {
			errs = append(errs, FieldError{Service: service, Upstream: upstream, Field: c.name, Value: c.get(r), Allowed: c.allowed})
		}
	}
	return errs
}
