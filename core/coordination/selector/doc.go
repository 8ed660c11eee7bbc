// Package selector chooses the upstream that gets a sub-request.
//
// A query waits for the slowest of its sub-requests, so a poor choice in one group determines the latency of the whole
// answer. Set therefore uses what this VM observed itself (requests in flight, latency, errors, silence), which is
// current, before what upstreams report about themselves, which lags.
package selector

//go:generate stringer -type=Policy -linecomment -output=policy_string.go
//go:generate stringer -type=ResultKind -linecomment -output=resultkind_string.go
