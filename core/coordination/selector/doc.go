// Package selector selects the upstream for each sub-request.
//
// A query waits for the slowest of its sub-requests, so a poor choice in one group determines the latency of the whole
// answer. Set therefore prefers what this VM observes itself (requests in flight, latency, errors, missing replies), which
// is current, to what upstreams report about themselves, which lags.
package selector

//go:generate stringer -type=Policy -linecomment -output=policy_string.go
//go:generate stringer -type=ResultKind -linecomment -output=resultkind_string.go
