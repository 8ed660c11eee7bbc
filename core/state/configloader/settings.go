package configloader

import (
	"net/netip"
	"time"
)

// Settings are the settings of the entry daemon. Only the addresses and the failure domain have no default; the default of
// the id is the peer address.
type Settings struct {
	VM       VM
	Platform Platform
	Limits   Limits
	Shutdown Shutdown
	Policy   Policy
	Log      Log
}

// VM is the section [vm].
type VM struct {
	ID             string
	FailureDomain  string
	CallerAddress  netip.AddrPort // callers and operators, HTTP
	PeerAddress    netip.AddrPort // other entry VMs, drpc
	ConnectAddress netip.Addr     // local address of connections to upstreams; unset lets the system choose
}

// Platform is the section [platform].
type Platform struct {
	Address  netip.AddrPort
	Timeout  time.Duration
	CallRate float64 // budget of this VM, in calls per second
}

// Limits is the section [limits]. Sizes are in bytes.
type Limits struct {
	Requests       int           // requests in flight in this VM
	Tickets        int           // tickets that are issued and not expired
	TicketLifetime time.Duration // an issued ticket expires after this time
	Claims         int           // outcomes kept in memory
	Retention      time.Duration // a key of a call that is older is rejected, so that its claim can be deleted
	TraceRecords   int           // records kept by the decision trace
	BodyBytes      int
	Memory         int64 // soft memory limit of the process
}

// Shutdown is the section [shutdown].
type Shutdown struct {
	BalancerWait time.Duration // time for the load balancer to notice that the VM is not ready
	HardLimit    time.Duration
}

// Policy is the section [policy]. It exists to compare policies in an experiment; operators leave it at its defaults.
type Policy struct {
	Selection string // score, p2c, least or random
	Hedge     bool
	Adaptive  bool // adaptive in-flight limits
	Seed      uint64
}

// Log is the section [log].
type Log struct {
	Level string
}
