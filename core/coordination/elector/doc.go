// Package elector elects the reader of the store for each failure domain. A VM learns of changes from the store itself, or from
// the peer that reads the store for their common failure domain.
//
// Calls to the store are billed, and their number must not grow with the fleet. The VMs of a failure domain are ranked by the
// bandwidth of their network links and then by a hash of their names, and each VM follows the first one that has not failed
// recently. The VMs need not agree: two readers at once only cost a few more calls, and a VM without a reader to follow reads the
// store itself.
package elector
