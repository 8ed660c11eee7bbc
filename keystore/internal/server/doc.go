// Package server serves the fake platform over HTTP and JSON and injects its faults: outages, delays, lost replies and rate limits.
//
// Faults affect connections as well as calls, because a client has to handle both.
package server
