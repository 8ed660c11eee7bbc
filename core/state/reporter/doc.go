// Package reporter counts the requests of each service against its service-level objectives and reports the burn rates of the
// error budgets. It is not related to package core/coordination/reporter, which rates upstreams.
//
// A VM loses its counts at a restart, so a report says which share of each window was observed. A report of the fleet names
// the VMs that could not be reached.
package reporter
