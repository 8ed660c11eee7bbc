// Package elector decides from whom a VM learns what changed in the store: from the store itself, or from a peer that reads for its
// failure domain.
//
// Calls to the store are priced, and their number must not grow with the fleet. The VMs of a failure domain are ranked by their
// network links and then by a hash of their names, and each VM follows the first one that it could reach lately. No agreement is needed: two VMs that read at once cost a few
// calls, and a VM that follows nobody reads itself.
package elector
