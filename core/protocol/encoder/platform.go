package encoder

// The HTTP paths of the platform. PathKeys is followed by a key.
const (
	PathKeys   = "/v1/kv/"
	PathRange  = "/v1/range"
	PathWatch  = "/v1/watch"
	PathLeases = "/v1/leases"
	PathVMs    = "/v1/vms"
	PathCalls  = "/v1/calls"
)

// KeyValue is one key of the platform's key-value store. Revision is the store's revision of the last write to the key.
type KeyValue struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// PutRequest is the body of PUT /v1/kv/KEY. Expect is the revision that the key must have; 0 means that it must not exist.
type PutRequest struct {
	Value  []byte `json:"value"`
	Expect uint64 `json:"expect"`
	Lease  uint64 `json:"lease,omitempty"`
}

// DeleteRequest is the body of DELETE /v1/kv/KEY.
type DeleteRequest struct {
	Expect uint64 `json:"expect"`
}

// WriteReply is the response to a write. A conflict (HTTP 409) carries the current value, if the key exists.
type WriteReply struct {
	Revision uint64    `json:"revision"`
	Current  *KeyValue `json:"current,omitempty"`
}

// RangeReply is the response to GET /v1/range?prefix=P&limit=N, in key order.
type RangeReply struct {
	Revision uint64     `json:"revision"`
	Items    []KeyValue `json:"items"`
}

// WatchReply is the response to GET /v1/watch?prefix=P&after=REV&wait_ms=N. It has the changes after a revision, or none after the wait.
// Compacted reports that the store no longer has all changes after the revision, so the range must be read again.
type WatchReply struct {
	Revision  uint64     `json:"revision"`
	Items     []KeyValue `json:"items"`
	Compacted bool       `json:"compacted,omitempty"`
}

// LeaseRequest is the body of POST /v1/leases (grant) and POST /v1/leases/ID (renew).
type LeaseRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// LeaseReply is a granted or renewed lease.
type LeaseReply struct {
	ID    uint64 `json:"id"`
	TTLMS int64  `json:"ttl_ms"`
}

// VMState is the state of a VM in the platform's VM list.
type VMState string

// The states of a listed VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// ListedVM is one VM of the platform's VM list. Role is "entry" or "upstream". Name is the VM's ID or the upstream's name.
type ListedVM struct {
	Name          string  `json:"name"`
	Role          string  `json:"role"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
}

// VMList is the response to GET /v1/vms. The list may be out of date.
type VMList struct {
	VMs     []ListedVM `json:"vms"`
	Skipped int        `json:"-"` // entries that name no VM
}

// CallCounts is the response to GET /v1/calls: the number of calls of each kind that the platform has counted.
type CallCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Lists   uint64 `json:"lists"`
}
