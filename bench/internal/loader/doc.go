// Package loader sends an open-loop load to entry VMs and measures each answer from the intended send time.
//
// An open loop keeps sending while answers are late, as independent callers do; a closed loop would hide the waiting.
package loader
