package keeper

import (
	"time"

	"comfreyroute/core/protocol/encoder"
)

// Read is the result of Get. Item has revision 0 when the key does not exist. Err explains a status other than OK.
type Read struct {
	Status Status
	Item   encoder.KeyValue
	Err    error
}

// Listing is the result of Range. Revision is the store's revision at the first page: a watch after it misses no later change.
type Listing struct {
	Status   Status
	Revision uint64
	Items    []encoder.KeyValue
	Err      error
}

// Write is the result of Put and Delete. Current is set on a conflict; nil means that the key does not exist.
type Write struct {
	Status   Status
	Revision uint64
	Current  *encoder.KeyValue
	Err      error
}

// Changes is the result of Watch. When Compacted is set, changes were lost and the range has to be read again.
type Changes struct {
	Status    Status
	Revision  uint64
	Items     []encoder.KeyValue
	Compacted bool
	Err       error
}

// Lease is the result of Grant and Renew. Renewing a lease that has expired is Rejected.
type Lease struct {
	Status Status
	ID     uint64
	TTL    time.Duration
	Err    error
}

// VMs is the result of List.
type VMs struct {
	Status Status
	VMs    []encoder.ListedVM
	Err    error
}
