package runner

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// Networks of experiments: 127.N.0.0 for each set. Deployments in use on the machine stay below the first one.
const (
	firstNetwork = 100
	lastNetwork  = 250
	lockHost     = 252
	lockPort     = 7499
)

// network is a loopback network that one run owns while its lock is open.
type network struct {
	address netip.Addr
	lock    net.Listener
}

// claimNetwork finds a network that no other run on the machine uses. Two runs in one network would disturb each other: the
// readiness probe of the second one would reach the processes of the first one.
func claimNetwork() (network, error) {
	for n := byte(firstNetwork); n <= lastNetwork; n++ {
		lock := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, lockHost, 1}), lockPort)
		if l, err := net.Listen("tcp", lock.String()); err == nil {
			return network{netip.AddrFrom4([4]byte{127, n, 0, 0}), l}, nil
		}
	}
	return network{}, eris.Errorf("no free network between 127.%d.0.0 and 127.%d.0.0", firstNetwork, lastNetwork)
}
