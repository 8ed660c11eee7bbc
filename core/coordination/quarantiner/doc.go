// Package quarantiner finds requests that crash the upstreams that run them and keeps them from taking down more.
//
// A retry of such a request takes down the next replica, and a fan-out takes down one replica of every group, so a suspect
// runs next as a single probe on one upstream. The evidence is indirect: an upstream that crashes takes unrelated requests
// down with it, and a failure domain that goes dark takes down many upstreams at once. The package therefore compares which
// request signatures were present at which crashes.
package quarantiner

//go:generate stringer -type=Decision -linecomment -output=decision_string.go
//go:generate stringer -type=EndKind -linecomment -output=endkind_string.go
