package encoder

import "encoding/json"

// Outcome is the result of a request as a whole.
type Outcome string

// The outcomes of a request. OutcomeNotRun guarantees that no upstream ran any part of a call.
const (
	OutcomeDone    Outcome = "done"
	OutcomePartial Outcome = "partial"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	Service     string  `json:"service"`
	Query       string  `json:"query"`
	DeadlineMS  int64   `json:"deadline_ms,omitempty"`
	MinCoverage float64 `json:"min_coverage,omitempty"`
}

// MissingShard is a shard that an answer does not cover, with the reason.
type MissingShard struct {
	Shard  int    `json:"shard"`
	Reason string `json:"reason"`
}

// ShardResult is the complete result of one covered shard. An empty list of items means an empty shard.
type ShardResult struct {
	Shard int      `json:"shard"`
	Items []string `json:"items,omitempty"`
}

// SearchAnswer is the answer to POST /v1/search. All results come from the index version in Snapshot.
type SearchAnswer struct {
	RequestID    string         `json:"request_id"`
	Outcome      Outcome        `json:"outcome"`
	Reason       string         `json:"reason,omitempty"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
	Snapshot     uint64         `json:"snapshot,omitempty"`
	Layout       string         `json:"layout,omitempty"`
	ShardsTotal  int            `json:"shards_total"`
	Covered      []int          `json:"covered"`
	Missing      []MissingShard `json:"missing"`
	Results      []ShardResult  `json:"results"`
}

// LookupRequest is the body of POST /v1/lookup.
type LookupRequest struct {
	Service    string `json:"service"`
	Key        string `json:"key"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
}

// CallRequest is the body of POST /v1/call. Exactly one of Key (a UUIDv7) and Ticket is set.
type CallRequest struct {
	Service    string          `json:"service"`
	Key        string          `json:"key,omitempty"`
	Ticket     string          `json:"ticket,omitempty"`
	Body       json.RawMessage `json:"body"`
	DeadlineMS int64           `json:"deadline_ms,omitempty"`
}

// CallAnswer is the answer to POST /v1/lookup and POST /v1/call.
type CallAnswer struct {
	RequestID    string          `json:"request_id"`
	Outcome      Outcome         `json:"outcome"`
	Reason       string          `json:"reason,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Upstream     string          `json:"upstream,omitempty"`
	Result       json.RawMessage `json:"result,omitempty"`
}

// TicketsRequest is the body of POST /v1/tickets.
type TicketsRequest struct {
	Service string `json:"service"`
	Count   int    `json:"count"`
}

// TicketsAnswer is the answer to POST /v1/tickets.
type TicketsAnswer struct {
	Tickets     []string `json:"tickets"`
	ExpiresInMS int64    `json:"expires_in_ms"`
}
