// Package reporter counts how each service does against its objectives and reports how fast the error budget burns.
//
// A VM keeps nothing over a restart, so each report says how much of a window it has seen; a report of the fleet names the VMs
// that could not be reached.
package reporter
