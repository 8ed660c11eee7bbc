// Package admitter decides which requests of a service run now, which wait, and which are rejected before any work is done
// for them.
//
// A request that cannot meet its deadline would use capacity that requests with a chance need, so it is rejected early as
// "not run". Waiting requests share the capacity by caller, so that a caller that floods delays only itself.
package admitter

//go:generate stringer -type=Decision -linecomment -output=decision_string.go
