package tabler

import (
	"cmp"
	"slices"
)

// Snapshot is one state of the whole table. The zero value is an empty table. A snapshot is never changed.
type Snapshot struct {
	Fleet         Fleet
	FleetRevision uint64
	Values        []*Value // sorted by service name; removed services included
}

// Find returns the value of a service, or nil when the table has none or it was removed.
func (s *Snapshot) Find(service string) *Value {
	if s == nil {
		return nil
	}
	i, ok := slices.BinarySearchFunc(s.Values, service, func(v *Value, name string) int {
		return cmp.Compare(v.Service.Service, name)
	})
	if !ok || s.Values[i].Removed {
		return nil
	}
	return s.Values[i]
}

// FleetMax returns the most entry VMs that may exist at once, at least 1.
func (s *Snapshot) FleetMax() int {
	if s == nil || s.Fleet.Max < 1 {
		return DefaultFleetMax
	}
	return s.Fleet.Max
}

// Groups returns the number of shard groups of a value.
func (v *Value) Groups() int {
	n := 0
	for i := range v.Upstreams {
		n = max(n, v.Upstreams[i].Group+1)
	}
	return n
}
