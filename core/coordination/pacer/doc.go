// Package pacer limits the rate of a VM's calls to the platform and backs off while they fail.
//
// When the platform recovers from an outage, the fleet must not send all of its pending calls at once. While calls fail, a VM
// makes one call per jittered back-off delay. After the first answer its budget is empty, so that the pending calls are spread
// over time. Each kind of call (table, VM list, claims) has a Pacer of its own with a share of the VM's budget.
package pacer
