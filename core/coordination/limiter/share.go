package limiter

// ConnectionShare returns how many connections one VM may open to an upstream that accepts limit connections from a fleet of at
// most fleetMax VMs. It is at least 1, so that each VM can reach every upstream.
func ConnectionShare(limit, fleetMax int) int {
	return max(1, limit/max(1, fleetMax))
}
