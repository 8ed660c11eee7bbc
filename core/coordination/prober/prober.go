// Package prober decides which connections to an upstream are unresponsive and when to probe the upstream.
//
// A connection can stop transferring replies permanently while new connections to the same upstream work. Such a failure must be
// distinguished from a slow or crashed upstream. A connection therefore counts as unresponsive only if the upstream replied to
// something that was sent on another connection after the first one was late, and if the late request still has no reply when it
// is given up. A late request is given up early only if the upstream reports that it did not receive the request: a slow request
// may still be answered, and giving it up would require a retry from the budget that it shares with hedges.
package prober

import (
	"slices"
	"time"
)

// Parameters of the time after which a request without a reply is late.
const (
	MinLateDelay = 20 * time.Millisecond
	lateDivisor  = 3 // a request is late after its allowed time divided by this number
	meanFactor   = 2 // a request is not late before this multiple of the recent mean reply time; then it is worth the cost of one ping
	meanWeight   = 8 // a reply time changes the moving mean by 1/meanWeight of the difference
)

// Connection identifies one connection to an upstream. It is never reused.
type Connection uint64

// lateConnection is a connection with a late request.
type lateConnection struct {
	connection Connection
	since      time.Time
}

// Prober monitors the connections to one upstream. The zero value is ready to use.
type Prober struct {
	meanReplyTime   time.Duration
	lateConnections []lateConnection
	lastProbe       time.Time // start of the last probe
}

// LateAt returns the time after which a request counts as late. This is a third of its allowed time, which leaves time to probe
// the upstream on another connection and to send a lost request again, but at least twice the recent mean reply time, so that a
// slow upstream is not probed constantly. The result is never after the deadline.
func (p *Prober) LateAt(sent, deadline time.Time) time.Time {
	late := sent.Add(max(MinLateDelay, deadline.Sub(sent)/lateDivisor, meanFactor*p.meanReplyTime))
	if late.After(deadline) {
		return deadline
	}
	return late
}

// RecordLate records that a request on a connection got no reply in time. It reports whether the caller must ping the upstream
// on another connection; one ping serves all connections that are late at the same time.
func (p *Prober) RecordLate(now time.Time, c Connection) bool {
	p.Forget(c)
	p.lateConnections = append(p.lateConnections, lateConnection{c, now})
	if now.Sub(p.lastProbe) < MinLateDelay {
		return false
	}
	p.lastProbe = now
	return true
}

// RecordReply records a reply on connection c to a message that was sent at the given time. It returns the connections that were
// already late at that time. They are unresponsive unless they still reply.
func (p *Prober) RecordReply(now time.Time, c Connection, sent time.Time) []Connection {
	p.Forget(c)
	took := now.Sub(sent)
	if p.meanReplyTime == 0 {
		p.meanReplyTime = took
	} else {
		p.meanReplyTime += (took - p.meanReplyTime) / meanWeight
	}
	var unresponsive []Connection
	p.lateConnections = slices.DeleteFunc(p.lateConnections, func(s lateConnection) bool {
		if s.since.After(sent) {
			return false
		}
		unresponsive = append(unresponsive, s.connection)
		return true
	})
	return unresponsive
}

// Forget removes a connection that was closed or that replied.
func (p *Prober) Forget(c Connection) {
	p.lateConnections = slices.DeleteFunc(p.lateConnections, func(s lateConnection) bool { return s.connection == c })
}
