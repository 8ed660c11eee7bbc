package runner

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/elector"
	"comfreyroute/core/coordination/navigator"
	"comfreyroute/platform/translator"
)

// TestPeersOf guards against requests that a VM sends to itself, or to a VM of an older build, which takes none.
func TestPeersOf(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.2:7742")
	got := peersOf([]elector.Member{
		{Name: "self", FailureDomain: "a", DetourAddress: netip.MustParseAddrPort("10.0.0.1:7742")},
		{Name: "new", FailureDomain: "b", DetourAddress: address},
		{Name: "old", FailureDomain: "b", Address: netip.MustParseAddrPort("10.0.0.3:7741")},
	}, "self")
	want := []navigator.Peer{{Name: "new", FailureDomain: "b", Address: address}}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Errorf("peers (-want +got):\n%s", diff)
	}
}

// TestInternalPorts guards against a VM that names an address at which it does not listen.
func TestInternalPorts(t *testing.T) {
	cases := []struct {
		name                  string
		ports                 []uint16
		wantPeers, wantDetour bool
	}{
		{"none", nil, false, false},
		{"one", []uint16{7740, 7740}, false, false},
		{"two", []uint16{7740, 7741}, true, false},
		{"three", []uint16{7740, 7742}, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := Gateway{Settings: &translator.Settings{CallerAddress: netip.MustParseAddrPort("10.0.0.1:80"), InternalPorts: c.ports}}
			m := g.self()
			if m.Address.IsValid() != c.wantPeers || m.DetourAddress.IsValid() != c.wantDetour {
				t.Errorf("addresses %v and %v, want them: %v and %v", m.Address, m.DetourAddress, c.wantPeers, c.wantDetour)
			}
		})
	}
}
