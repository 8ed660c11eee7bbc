package synchronizer

import (
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/protocol/exchanger"
	"comfreyroute/core/state/tabler"
)

// FromKeyValues returns the items of the platform that are keys of the table.
func FromKeyValues(items []encoder.KeyValue) []StoredValue {
	var list []StoredValue
	for _, x := range items {
		if service, ok := tabler.ServiceOf(x.Key); ok {
			list = append(list, StoredValue{service, x.Revision, x.Value, x.Deleted})
		}
	}
	return list
}

// FromTableValues returns the values of a peer's message.
func FromTableValues(values []*exchanger.TableValue) []StoredValue {
	var list []StoredValue
	for _, x := range values {
		list = append(list, StoredValue{Service: x.GetService(), Revision: x.GetRevision(), Data: x.GetValue()})
	}
	return list
}

// ToTableValues returns values as a peer receives them.
func ToTableValues(items []StoredValue) []*exchanger.TableValue {
	var list []*exchanger.TableValue
	for _, x := range items {
		list = append(list, &exchanger.TableValue{Service: x.Service, Revision: x.Revision, Value: x.Data})
	}
	return list
}

// FromRevisions returns the revisions of a peer's message.
func FromRevisions(revisions []*exchanger.Revision) []Revision {
	var list []Revision
	for _, x := range revisions {
		list = append(list, Revision{x.GetService(), x.GetRevision()})
	}
	return list
}

// ToRevisions returns revisions as a peer receives them.
func ToRevisions(revisions []Revision) []*exchanger.Revision {
	var list []*exchanger.Revision
	for _, x := range revisions {
		list = append(list, &exchanger.Revision{Service: x.Service, Revision: x.Revision})
	}
	return list
}
