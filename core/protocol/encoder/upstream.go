package encoder

import "encoding/json"

// The HTTP headers of a sub-request.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderDeadlineMS   = "X-Deadline-Ms"
	HeaderIndexVersion = "X-Index-Version"
	HeaderCaller       = "X-Caller"
	// HeaderFailureDomain names the failure domain of the sending VM. Without it, the sender counts as being in the upstream's domain.
	HeaderFailureDomain = "X-Failure-Domain"
	HeaderAskID         = "X-Ask-Id" // on a ping: ID of the sub-request that the sender asks about
)

// The HTTP paths of an upstream.
const (
	PathSubRequest = "/v1/sub"
	PathCancel     = "/v1/cancel"
	PathPing       = "/v1/ping"
)

// SubKind is the kind of a sub-request.
type SubKind string

// The kinds of sub-requests.
const (
	SubSearch SubKind = "search"
	SubLookup SubKind = "lookup"
	SubCall   SubKind = "call"
)

// SubRequest is the body of POST /v1/sub.
type SubRequest struct {
	Service string          `json:"service"`
	Kind    SubKind         `json:"kind"`
	Query   string          `json:"query,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// SubStatus is the result of a sub-request at an upstream.
type SubStatus string

// The statuses of a sub-reply. StatusShed and StatusDraining guarantee that the sub-request was not run.
const (
	StatusOK             SubStatus = "ok"
	StatusVersionNotHeld SubStatus = "version_not_held"
	StatusShed           SubStatus = "shed"
	StatusDraining       SubStatus = "draining"
	StatusCancelled      SubStatus = "cancelled"
	StatusExpired        SubStatus = "expired"
	StatusError          SubStatus = "error"
)

// SubPresence states whether an upstream has a sub-request, queued or running. An upstream that does not support HeaderAskID omits it.
type SubPresence string

// The responses to HeaderAskID.
const (
	SubPresent SubPresence = "present"
	SubAbsent  SubPresence = "absent"
)

// Load is the load that an upstream reports on every reply.
type Load struct {
	Running     int `json:"running"`
	Queued      int `json:"queued"`
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
}

// HeldVersion is an index version that an upstream holds, with the number of shards in the whole layout of this version and the shards
// that the upstream's group holds.
type HeldVersion struct {
	Version     uint64 `json:"version"`
	Layout      string `json:"layout"`
	ShardsTotal int    `json:"shards_total"`
	Shards      []int  `json:"shards"`
}

// SubReply is the body of a reply of an upstream. The fields about the upstream's state are set on every reply, including refusals and
// pings.
type SubReply struct {
	RequestID    string          `json:"request_id"`
	Upstream     string          `json:"upstream"`
	Incarnation  uint64          `json:"incarnation"`
	Status       SubStatus       `json:"status"`
	Message      string          `json:"message,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Draining     bool            `json:"draining,omitempty"`
	Load         Load            `json:"load"`
	Held         []HeldVersion   `json:"held,omitempty"`
	Presence     SubPresence     `json:"asked,omitempty"`
	Version      uint64          `json:"version,omitempty"`
	Layout       string          `json:"layout,omitempty"`
	Results      []ShardResult   `json:"results,omitempty"`
	Result       json.RawMessage `json:"result,omitempty"`
}

// CancelRequest is the body of POST /v1/cancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}
