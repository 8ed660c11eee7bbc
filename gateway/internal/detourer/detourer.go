// Package detourer carries requests of callers from a VM that does not reach the upstreams to a peer, and the peer's answers back.
//
// The messages are HTTP/1.1, which the transport for upstreams speaks already: a peer then has the same bounds, deadlines and cancellation as
// an upstream. The request and the answer of the caller travel with their headers under a prefix, so that no caller can set what the
// VMs tell each other. The message format belongs to this project, not to the platform.
package detourer

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"comfreyroute/core/coordination/forwarder"
)

// The versions of the message format. A VM refuses requests in a format that it does not know. Builds before customers do not know the second
// one, so that they do not serve a request without its customer.
const (
	format         = "1"
	verifiedFormat = "2" // the first VM has authenticated the caller
)

// path is the path of all requests between VMs.
const path = "/detour"

// The headers of a request.
const (
	headerFormat   = "Format"
	headerID       = "Id"
	headerMethod   = "Verb"
	headerHost     = "Site"
	headerTarget   = "Target"
	headerLeft     = "Left" // time until the deadline, in microseconds
	headerRoute    = "Route"
	headerAge      = "Age" // of the request, in microseconds
	headerAttempts = "Attempts"
	headerCounted  = "Counted"
	headerPaid     = "Paid"
	headerSuspect  = "Suspect" // builds before the quarantine neither set nor read it
	headerCustomer = "Customer"
	headerKey      = "Key" // digest of the caller's API key
)

// The headers of an answer.
const (
	headerOutcome    = "Outcome"
	headerStatus     = "Status"
	headerReason     = "Reason"
	headerRetryAfter = "Retry" // in microseconds
	headerSignatures = "Signatures"
	headerMissing    = "Missing" // number of shards
	headerAbsent     = "Absent"  // services of these shards
	headerLeaving    = "Leaving" // names of upstreams
	headerRuns       = "Runs"
)

// The values of headerOutcome.
const (
	outcomeRelayed  = "relayed"
	outcomeGathered = "gathered"
	outcomeRefused  = "refused"
	outcomeUnknown  = "unknown"
)

// prefix marks the headers of the caller's request and of the upstream's reply.
const prefix = "In-"

// separator separates the values of a list in one header.
const separator = ","

// outerHeaders returns headers with the prefix.
func outerHeaders(to, inner http.Header) {
	for name, values := range inner {
		to[prefix+name] = values
	}
}

// innerHeaders returns the headers that have the prefix, without it.
func innerHeaders(outer http.Header) http.Header {
	inner := http.Header{}
	for name, values := range outer {
		if name, ok := strings.CutPrefix(name, prefix); ok {
			inner[http.CanonicalHeaderKey(name)] = values
		}
	}
	return inner
}

func formatMicroseconds(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

// parseMicroseconds returns the duration in a header, at least 0.
func parseMicroseconds(value string) (time.Duration, error) {
	n, err := strconv.ParseInt(value, 10, 48)
	return max(0, time.Duration(n)*time.Microsecond), err
}

// splitList returns the values of a list, none for an empty one.
func splitList(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, separator)
}

// parseReason returns the reason with a name, Lost for an unknown one: a newer build may have further reasons.
func parseReason(name string) forwarder.Reason {
	for reason := forwarder.None; reason <= forwarder.LastReason; reason++ {
		if reason.String() == name {
			return reason
		}
	}
	return forwarder.Lost
}
