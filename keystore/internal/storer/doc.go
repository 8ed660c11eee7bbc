// Package storer holds the state of the fake platform: keys with a store-wide revision, leases, a bounded history of changes for
// watches, and the lagging VM list.
//
// Methods that depend on the time take it as an argument, so that tests control lease expiry and the lag of the list without
// waiting.
package storer
