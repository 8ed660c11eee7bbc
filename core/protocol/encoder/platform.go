package encoder

// Paths of the platform. A key follows PathKeys after a slash.
const (
	PathKeys   = "/v1/kv/"
	PathRange  = "/v1/range"
	PathWatch  = "/v1/watch"
	PathLeases = "/v1/leases"
	PathVMs    = "/v1/vms"
	PathCalls  = "/v1/calls"
)

// KeyValue is one key of the platform's key-value service. Revision is the store's revision of the last write of the key.
type KeyValue struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// PutRequest is the body of PUT /v1/kv/KEY. Expect is the revision that the key must have, 0 for a key that must not exist.
type PutRequest struct {
	Value  []byte `json:"value"`
	Expect uint64 `json:"expect"`
	Lease  uint64 `json:"lease,omitempty"`
}

// DeleteRequest is the body of DELETE /v1/kv/KEY.
type DeleteRequest struct {
	Expect uint64 `json:"expect"`
}

// WriteReply is the answer to a write. A conflict (HTTP 409) carries the current value, if there is one.
type WriteReply struct {
	Revision uint64    `json:"revision"`
	Current  *KeyValue `json:"current,omitempty"`
}

// RangeReply is the answer to GET /v1/range?prefix=P&limit=N, in key order.
type RangeReply struct {
	Revision uint64     `json:"revision"`
	Items    []KeyValue `json:"items"`
}

// WatchReply is the answer to GET /v1/watch?prefix=P&after=REV&wait_ms=N: the changes after a revision, or none when the wait ended.
// Compacted tells that changes after the revision are no longer kept, so that the watcher must read the range again.
type WatchReply struct {
	Revision  uint64     `json:"revision"`
	Items     []KeyValue `json:"items"`
	Compacted bool       `json:"compacted,omitempty"`
}

// LeaseRequest is the body of POST /v1/leases (grant) and POST /v1/leases/ID (renew).
type LeaseRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// LeaseReply names a granted or renewed lease.
type LeaseReply struct {
	ID    uint64 `json:"id"`
	TTLMS int64  `json:"ttl_ms"`
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a listed VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// ListedVM is one VM of the platform's list. Role is "entry" or "upstream"; Name is the VM id or the upstream's name.
type ListedVM struct {
	Name          string  `json:"name"`
	Role          string  `json:"role"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
}

// VMList is the answer to GET /v1/vms. The list lags behind the truth.
type VMList struct {
	VMs []ListedVM `json:"vms"`
}

// CallCounts is the answer to GET /v1/calls: how many calls of each kind the platform has counted.
type CallCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Lists   uint64 `json:"lists"`
}
