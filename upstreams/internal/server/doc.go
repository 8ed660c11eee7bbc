// Package server runs the fake upstream servers of a deployment in one process, each on its own loopback address.
//
// A single http.Server serves the listeners of all upstreams. A handler gets its upstream from the context of the connection.
// Network faults are injected in the connection type, server faults in the handler.
package server
