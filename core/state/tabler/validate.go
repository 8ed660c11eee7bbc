package tabler

import (
	"fmt"
	"net/netip"
	"strconv"
)

// Limits of a stored value.
const (
	MaxValueBytes = 1 << 20 // the store takes no larger value
	MaxEdits      = 32      // accepted edits that a value remembers
	maxEditBytes  = 512     // of each text of an edit, so that the list stays small beside the rows
)

// Validate checks the value as a whole and returns Faults with every fault, or nil. The rows of a removed service are not
// checked, because nothing reads them.
func (v *Value) Validate() error {
	var faults FieldErrors
	service := v.Service.Service
	add := func(upstream, field, value, allowed string) {
		faults = append(faults, FieldError{Service: service, Upstream: upstream, Field: field, Value: value, Allowed: allowed})
	}
	for _, f := range v.editFaults() {
		add("", "edits", f, "up to 32 edits, each with an id and texts of up to 512 bytes")
	}
	if service == FleetService {
		faults = append(faults, rowFaults(service, "", &v.Fleet, fleetColumns)...)
		if len(v.Upstreams) > 0 || v.Removed {
			add("", "upstreams", strconv.Itoa(len(v.Upstreams)), "none; the fleet row is never removed")
		}
		return faults.err()
	}
	if !validName(service) {
		add("", "name", service, nameAllowed)
	}
	if v.Removed {
		return faults.err()
	}
	faults = append(faults, rowFaults(service, "", &v.Service, serviceColumns)...)
	names, addresses := map[string]bool{}, map[netip.AddrPort]string{}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		faults = append(faults, rowFaults(service, u.Upstream, u, upstreamColumns)...)
		if u.Service != service {
			add(u.Upstream, "service", u.Service, service)
		}
		if !validName(u.Upstream) {
			add(u.Upstream, "name", u.Upstream, nameAllowed)
		}
		if names[u.Upstream] {
			add(u.Upstream, "name", u.Upstream, "a name that no other upstream of the service has")
		}
		if other, ok := addresses[u.Address]; ok {
			add(u.Upstream, "address", formatAddress(u.Address), "an address other than that of "+other)
		}
		names[u.Upstream], addresses[u.Address] = true, u.Upstream
	}
	faults = append(faults, v.groupFaults()...)
	return faults.err()
}

// groupFaults checks that the groups of a search service have no gap, and that a point service has one group. A gap would be
// a shard group without upstreams, and so an answer that never covers all shards.
func (v *Value) groupFaults() FieldErrors {
	var faults FieldErrors
	used := make(map[int]bool)
	for i := range v.Upstreams {
		used[v.Upstreams[i].Group] = true
	}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		f := FieldError{Service: v.Service.Service, Upstream: u.Upstream, Field: "group", Value: strconv.Itoa(u.Group)}
		switch {
		case v.Service.Kind == KindPoint && u.Group != 0:
			f.Allowed = "0, because the service is of kind point"
		case v.Service.Kind == KindSearch && u.Group > 0 && !used[u.Group-1]:
			f.Allowed = fmt.Sprintf("a group without gaps; group %d has no upstream", u.Group-1)
		default:
			continue
		}
		faults = append(faults, f)
	}
	return faults
}

func (v *Value) editFaults() []string {
	var faults []string
	if len(v.Edits) > MaxEdits {
		faults = append(faults, fmt.Sprintf("%d edits", len(v.Edits)))
	}
	for _, e := range v.Edits {
		if e.ID == "" || max(len(e.ID), len(e.Who), len(e.Summary)) > maxEditBytes {
			faults = append(faults, e.ID)
		}
	}
	return faults
}

func rowFaults[R any](service, upstream string, r *R, columns []column[R]) FieldErrors {
	var faults FieldErrors
	for i := range columns {
		if c := &columns[i]; !c.valid(r) {
			faults = append(faults, FieldError{Service: service, Upstream: upstream, Field: c.name, Value: c.get(r), Allowed: c.allowed})
		}
	}
	return faults
}
