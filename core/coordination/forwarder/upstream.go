package forwarder

import (
	"net/http"
	"net/netip"
	"time"

	"comfreyroute/core/coordination/limiter"
)

// Upstream is one running instance of a service.
type Upstream struct {
	Name          string // unique over all services
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	Draining      bool
	StartTime     time.Time     // start of this incarnation; zero if unknown
	ColdFor       time.Duration // how much longer it was cold when it wrote its entry
}

// Message is a caller's request as it is forwarded. It is immutable.
type Message struct {
	RequestID string
	Method    string
	Host      string
	Path      string // as received, without the query
	Target    string // as received, path and query
	Header    http.Header
	Identity  http.Header // by which the caller says who it is; upstreams get it only while the manifest names no customers
	Body      []byte
}

// Load is the load that an upstream reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Reply is a complete response from an upstream.
type Reply struct {
	Status    int
	Header    http.Header // as forwarded to the caller
	Body      []byte
	Signature string // proves which upstream made the reply; empty if it is unsigned
	Overrun   bool   // bytes that are no reply followed it at once: its length may be spoiled, and its body cut short
	NotRun    bool   // the upstream did not run the request and never will

	PromisesNoRun bool          // callers take the status for a promise that the request has not run, whatever the upstream meant
	Misdirected   bool          // the address belongs to another upstream
	Leaving       bool          // the upstream stops soon and wants no further requests
	Pause         time.Duration // for which the upstream wants no requests of this VM; 0 for none
	Load          *Load         // nil if not reported
	Rate          limiter.Declaration
}

func (r *Reply) success() bool { return r.claimsSuccess() && r.proven() }

// unproven reports whether a reply claims a success that nothing proves. It may have been spoiled on the way, and is not used.
func (r *Reply) unproven() bool { return r.claimsSuccess() && !r.proven() }

func (r *Reply) proven() bool { return r.Signature != "" && !r.Overrun }

func (r *Reply) claimsSuccess() bool { return r.Status >= 200 && r.Status < 300 }
