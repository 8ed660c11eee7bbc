package tabler

import (
	"cmp"
	"slices"
)

// Snapshot is an immutable state of the whole table. The zero value is an empty table.
type Snapshot struct {
	Fleet         Fleet
	FleetRevision uint64
	FleetValue    *Value   // nil before the first fleet row
	Values        []*Value // sorted by service name; removed services included
}

// FindService returns the value of a service, or nil when the service is not in the table or was removed.
func (s *Snapshot) FindService(service string) *Value {
	if s == nil {
		return nil
	}
	i, ok := s.index(service)
	if !ok || s.Values[i].Removed {
		return nil
	}
	return s.Values[i]
}

// index returns the index of a service in Values, or where it would be inserted, and reports whether it was found.
func (s *Snapshot) index(service string) (int, bool) {
	return slices.BinarySearchFunc(s.Values, service, func(v *Value, name string) int {
		return cmp.Compare(v.Service.Service, name)
	})
}

// FleetMax returns the maximum number of entry VMs at once. It is DefaultFleetMax when the table sets none.
func (s *Snapshot) FleetMax() int {
	if s == nil || s.Fleet.Max < 1 {
		return DefaultFleetMax
	}
	return s.Fleet.Max
}

// WithValue returns a snapshot that also holds v. It returns s when the revision of v is not above the one in s, so that a late
// or repeated message never reverts a change. Removed services stay as tombstones for the same reason.
func (s *Snapshot) WithValue(v *Value) *Snapshot {
	if s == nil {
		s = &Snapshot{}
	}
	if v == nil || v.Revision <= s.Revision(v.Service.Service) {
		return s
	}
	next := *s
	if v.Service.Service == FleetService {
		next.Fleet, next.FleetRevision, next.FleetValue = v.Fleet, v.Revision, v
		return &next
	}
	i, ok := s.index(v.Service.Service)
	next.Values = slices.Clone(s.Values)
	if ok {
		next.Values[i] = v
	} else {
		next.Values = slices.Insert(next.Values, i, v)
	}
	return &next
}

// Revision returns the revision of a service's value, which may be a tombstone or the fleet row, or 0 when there is none.
func (s *Snapshot) Revision(service string) uint64 {
	if s == nil {
		return 0
	}
	if service == FleetService {
		return s.FleetRevision
	}
	if i, ok := s.index(service); ok {
		return s.Values[i].Revision
	}
	return 0
}

// AllValues returns every value, including tombstones. The fleet row comes first.
func (s *Snapshot) AllValues() []*Value {
	if s == nil {
		return nil
	}
	if s.FleetValue == nil {
		return s.Values
	}
	return slices.Concat([]*Value{s.FleetValue}, s.Values)
}

// GroupCount returns the number of shard groups of the service.
func (v *Value) GroupCount() int {
	n := 0
	for i := range v.Upstreams {
		n = max(n, v.Upstreams[i].Group+1)
	}
	return n
}
