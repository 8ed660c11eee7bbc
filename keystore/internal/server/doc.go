// Package server offers the platform fake over HTTP and JSON and injects its faults: outages, delays, lost answers and limits.
//
// Faults act on connections as well as on calls, because a client has to cope with both.
package server
