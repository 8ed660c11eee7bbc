// Package quarantiner finds requests that crash the upstreams that run them and keeps them from crashing more upstreams.
//
// A retry of such a request crashes the next replica, and a fan-out crashes one replica of every group, so a suspect request
// runs next as a single probe on one upstream. The evidence is indirect: a crashing upstream also resets unrelated requests,
// and the outage of a failure domain takes down many upstreams at once. The package therefore correlates request signatures
// with the crashes at which they were in flight.
package quarantiner

//go:generate stringer -type=Decision -linecomment -output=decision_string.go
//go:generate stringer -type=EndKind -linecomment -output=endkind_string.go
