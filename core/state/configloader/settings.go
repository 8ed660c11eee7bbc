package configloader

import (
	"net/netip"
	"time"
)

// Settings are the settings of the entry daemon. The failure domain and the addresses for callers, for peers and of the platform
// are required. The default of the id is the peer address.
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
	CallerAddress  netip.AddrPort // listen address for callers and operators, over HTTP
	PeerAddress    netip.AddrPort // listen address for other entry VMs, over drpc
	ConnectAddress netip.Addr     // local address of connections to upstreams; the system chooses one when it is unset
}

// Platform is the section [platform].
type Platform struct {
	Address  netip.AddrPort
	Timeout  time.Duration
	CallRate float64 // calls per second that this VM may make
}

// Limits is the section [limits]. Sizes are in bytes.
type Limits struct {
	Requests       int           // requests in flight in this VM
	Tickets        int           // issued tickets that have not expired
	TicketLifetime time.Duration // time after which an issued ticket expires
	Claims         int           // outcomes of calls kept in memory
	Retention      time.Duration // calls with an older key are rejected, so that the claims of their keys can be deleted
	TraceRecords   int           // records kept in the decision trace
	BodyBytes      int
	Callers        int   // connections of callers; 0 for what fits into the memory and the descriptors
	Memory         int64 // of the process, in bytes; the collector and the bounds on callers keep to parts of it
}

// Shutdown is the section [shutdown].
type Shutdown struct {
	BalancerWait time.Duration // time for the load balancer to notice that the VM is not ready
	HardLimit    time.Duration
}

// Policy is the section [policy]. It exists to compare policies in experiments; operators keep the defaults.
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
