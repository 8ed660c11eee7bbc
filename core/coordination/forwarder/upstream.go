package forwarder

import (
	"net/http"
	"net/netip"
	"time"
)

// Upstream is one running server of a service.
type Upstream struct {
	Name          string // unique over all services
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	Draining      bool
	StartTime     time.Time // of this incarnation; zero when unknown
}

// Message is a request of a caller as it is forwarded. It is immutable.
type Message struct {
	RequestID string
	Method    string
	Host      string
	Path      string // as received, without the query
	Target    string // as received, path and query
	Header    http.Header
	Body      []byte
}

// Load is what an upstream says of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Reply is a complete response of an upstream.
type Reply struct {
	Status      int
	Header      http.Header // as forwarded to the caller
	Body        []byte
	Signature   string // proves which upstream made the reply; empty when it is not signed
	NotRun      bool   // the upstream did not run the request and never will
	Misdirected bool   // another upstream has the address
	Load        *Load  // nil when not reported
}

func (r *Reply) success() bool { return r.Status >= 200 && r.Status < 300 && r.Signature != "" }
