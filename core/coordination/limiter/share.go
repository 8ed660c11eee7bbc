package limiter

// ConnectionShare returns how many connections one VM may open to an upstream that allows limit connections over a fleet
// of at most fleetMax VMs. It is at least 1, so that a VM can reach every upstream.
func ConnectionShare(limit, fleetMax int) int {
	return max(1, limit/max(1, fleetMax))
}
