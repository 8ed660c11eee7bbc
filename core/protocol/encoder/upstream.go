package encoder

import "encoding/json"

// Headers of a sub-request.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderDeadlineMS   = "X-Deadline-Ms"
	HeaderIndexVersion = "X-Index-Version"
	HeaderCaller       = "X-Caller"
	// HeaderFailureDomain names the failure domain of the sending VM. Without it, the sender counts as being in the upstream's.
	HeaderFailureDomain = "X-Failure-Domain"
	HeaderAskID         = "X-Ask-Id" // on a ping: whether the upstream has the sub-request with this id
)

// Paths of an upstream.
const (
	PathSubRequest = "/v1/sub"
	PathCancel     = "/v1/cancel"
	PathPing       = "/v1/ping"
)

// SubKind says what a sub-request asks for.
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

// SubStatus is what an upstream says about a sub-request.
type SubStatus string

// The statuses of a sub-reply. Shed and draining mean that the sub-request was not run.
const (
	StatusOK             SubStatus = "ok"
	StatusVersionNotHeld SubStatus = "version_not_held"
	StatusShed           SubStatus = "shed"
	StatusDraining       SubStatus = "draining"
	StatusCancelled      SubStatus = "cancelled"
	StatusExpired        SubStatus = "expired"
	StatusError          SubStatus = "error"
)

// SubPresence says whether an upstream has a sub-request, queued or running. An upstream that does not offer the question leaves it out.
type SubPresence string

// The answers to HeaderAskID.
const (
	SubPresent SubPresence = "present"
	SubAbsent  SubPresence = "absent"
)

// Load is what an upstream reports about itself on every reply.
type Load struct {
	Running     int `json:"running"`
	Queued      int `json:"queued"`
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
}

// HeldVersion tells that an upstream holds an index version, how many shards the whole layout of that version has,
// and which of them the upstream's group holds.
type HeldVersion struct {
	Version     uint64 `json:"version"`
	Layout      string `json:"layout"`
	ShardsTotal int    `json:"shards_total"`
	Shards      []int  `json:"shards"`
}

// SubReply is the body of a reply of an upstream. State fields are set on every reply, also on refusals and pings.
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
