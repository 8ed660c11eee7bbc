package tabler

import (
	"cmp"
	"slices"
)

// Snapshot is one state of the whole table. The zero value is an empty table. A snapshot is never changed.
type Snapshot struct {
	Fleet         Fleet
	FleetRevision uint64
	FleetValue    *Value   // nil before the first fleet row
	Values        []*Value // sorted by service name; removed services included
}

// FindService returns the value of a service, or nil when the table has none or it was removed.
func (s *Snapshot) FindService(service string) *Value {
	if s == nil {
		return nil
	}
	i, ok := s.search(service)
	if !ok || s.Values[i].Removed {
		return nil
	}
	return s.Values[i]
}

func (s *Snapshot) search(service string) (int, bool) {
	return slices.BinarySearchFunc(s.Values, service, func(v *Value, name string) int {
		return cmp.Compare(v.Service.Service, name)
	})
}

// FleetMax returns the most entry VMs that may exist at once, at least 1.
func (s *Snapshot) FleetMax() int {
	if s == nil || s.Fleet.Max < 1 {
		return DefaultFleetMax
	}
	return s.Fleet.Max
}

// WithValue returns a snapshot that also holds v. A value whose revision is not above the one held is ignored and s is returned,
// so that a late or repeated message never reverts a change. Removed services stay as tombstones for the same reason.
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
	i, ok := s.search(v.Service.Service)
	next.Values = slices.Clone(s.Values)
	if ok {
		next.Values[i] = v
	} else {
		next.Values = slices.Insert(next.Values, i, v)
	}
	return &next
}

// Revision returns the revision of a service's value, tombstones and the fleet row included, or 0 when there is none.
func (s *Snapshot) Revision(service string) uint64 {
	if s == nil {
		return 0
	}
	if service == FleetService {
		return s.FleetRevision
	}
	if i, ok := s.search(service); ok {
		return s.Values[i].Revision
	}
	return 0
}

// AllValues returns every value, the fleet row first and tombstones included.
func (s *Snapshot) AllValues() []*Value {
	if s == nil {
		return nil
	}
	if s.FleetValue == nil {
		return s.Values
	}
	return slices.Concat([]*Value{s.FleetValue}, s.Values)
}

// GroupCount returns the number of shard groups of a value.
func (v *Value) GroupCount() int {
	n := 0
	for i := range v.Upstreams {
		n = max(n, v.Upstreams[i].Group+1)
	}
	return n
}
