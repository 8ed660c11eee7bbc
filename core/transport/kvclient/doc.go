// Package kvclient is the client of the platform's key-value service and VM list.
//
// Each result carries a status, because a write has more outcomes than success and error: it may have taken effect although
// its response was lost. The client never retries a call; package pacer decides when a call may be made.
package kvclient
