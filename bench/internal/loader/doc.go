// Package loader is an open-loop load generator: it sends requests to entry VMs at given times, verifies the answers and measures
// latency from the intended send time.
//
// An open loop keeps sending while answers are late, as independent callers do. A closed loop would send less in that time and so
// hide the queueing delay.
package loader
