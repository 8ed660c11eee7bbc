package kvclient

import (
	"time"

	"comfreyroute/core/protocol/encoder"
)

// ReadResult is the result of Get. Item has revision 0 when the key does not exist. Err gives the cause of a status other than
// OK.
type ReadResult struct {
	Status Status
	Item   encoder.KeyValue
	Err    error
}

// RangeResult is the result of Range. Revision is the store's revision at the first page, so that a watch after that revision
// misses no later change.
type RangeResult struct {
	Status   Status
	Revision uint64
	Items    []encoder.KeyValue
	Err      error
}

// WriteResult is the result of Put and Delete. On a conflict, Current is the current value, or nil when the key does not exist.
type WriteResult struct {
	Status   Status
	Revision uint64
	Current  *encoder.KeyValue
	Err      error
}

// WatchResult is the result of Watch. When Compacted is set, some changes are no longer available and the range has to be read
// again.
type WatchResult struct {
	Status    Status
	Revision  uint64
	Items     []encoder.KeyValue
	Compacted bool
	Err       error
}

// LeaseResult is the result of GrantLease and RenewLease. The renewal of an expired lease has the status Rejected.
type LeaseResult struct {
	Status Status
	ID     uint64
	TTL    time.Duration
	Err    error
}

// VMListResult is the result of ListVMs.
type VMListResult struct {
	Status  Status
	VMs     []encoder.ListedVM
	Skipped int // entries that name no VM
	Err     error
}
