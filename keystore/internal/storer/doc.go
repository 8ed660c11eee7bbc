// Package storer holds the state of the platform fake: keys under one store-wide revision, leases, a bounded history of
// changes for watches, and the lagging VM list.
//
// All methods take the current time, so that tests control lease expiry and the lag of the list without waiting.
package storer
