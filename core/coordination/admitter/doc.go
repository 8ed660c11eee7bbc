// Package admitter implements the admission queue of a service: it decides which requests run now, which wait, and which are
// rejected before any work is done for them.
//
// A request that cannot meet its deadline would take capacity from requests that can, so it is rejected early as "not run".
// Waiting requests are scheduled fairly by caller, so that a caller that sends too many requests delays only its own.
package admitter

//go:generate stringer -type=Decision -linecomment -output=decision_string.go
