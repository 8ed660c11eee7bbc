package kvclient

import (
	"time"

	"comfreyroute/core/protocol/encoder"
)

// ReadResult is the result of Get. Item has revision 0 when the key does not exist. Err explains a status other than OK.
type ReadResult struct {
	Status Status
	Item   encoder.KeyValue
	Err    error
}

// RangeResult is the result of Range. Revision is the store's revision at the first page: a watch after it misses no later change.
type RangeResult struct {
	Status   Status
	Revision uint64
	Items    []encoder.KeyValue
	Err      error
}

// WriteResult is the result of Put and Delete. Current is set on a conflict; nil means that the key does not exist.
type WriteResult struct {
	Status   Status
	Revision uint64
	Current  *encoder.KeyValue
	Err      error
}

// WatchResult is the result of Watch. When Compacted is set, changes were lost and the range has to be read again.
type WatchResult struct {
	Status    Status
	Revision  uint64
	Items     []encoder.KeyValue
	Compacted bool
	Err       error
}

// LeaseResult is the result of Grant and Renew. Renewing a lease that has expired is Rejected.
type LeaseResult struct {
	Status Status
	ID     uint64
	TTL    time.Duration
	Err    error
}

// VMListResult is the result of List.
type VMListResult struct {
	Status Status
	VMs    []encoder.ListedVM
	Err    error
}
