// Package server runs the fake upstream servers of a deployment in one process, each on its own loopback address.
//
// One http.Server serves the listeners of all servers; the connection tells a handler which server it stands for. Faults of
// the network act in the connection type, faults of the server act in the handler.
package server
