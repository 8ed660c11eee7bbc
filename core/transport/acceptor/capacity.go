package acceptor

const (
	// callerShare is the part of the sockets that callers may have, as its inverse. The rest is for upstreams, peers, the store and probes.
	callerShare = 2
	// connMemoryRatio is the fraction of the allowed memory for the connections of callers, connBytes what one takes with its buffers.
	connMemoryRatio = 0.25
	connBytes       = 32 << 10
)

// Capacity returns how many connections of callers fit into a number of sockets and bytes of memory, either of them 0 for no limit. It returns 0
// if neither has one.
func Capacity(sockets int, memory int64) int {
	capacity := 0
	if sockets > 0 {
		capacity = max(1, sockets/callerShare)
	}
	if memory > 0 {
		fitting := max(1, int(float64(memory)*connMemoryRatio)/connBytes)
		if capacity == 0 || fitting < capacity {
			capacity = fitting
		}
	}
	return capacity
}
