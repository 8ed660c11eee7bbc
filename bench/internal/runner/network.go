package runner

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// Networks of clusters: each has its own 127.N.0.0. The networks of the deployment files are below the first one.
const (
	firstNetwork = 100
	lastNetwork  = 250
	lockSubnet   = 252
	lockPort     = 7499
)

// network is a loopback network that is reserved for one cluster while its lock, a listener, is open.
type network struct {
	address netip.Addr
	lock    net.Listener
}

// claimNetwork reserves a network that no other cluster on the host uses. Two clusters in one network would interfere: a readiness
// probe of the second one could reach the processes of the first one.
func claimNetwork() (network, error) {
	for n := byte(firstNetwork); n <= lastNetwork; n++ {
		lock := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, lockSubnet, 1}), lockPort)
		if l, err := net.Listen("tcp", lock.String()); err == nil {
			return network{netip.AddrFrom4([4]byte{127, n, 0, 0}), l}, nil
		}
	}
	return network{}, eris.Errorf("all networks from 127.%d.0.0 to 127.%d.0.0 are in use", firstNetwork, lastNetwork)
}
