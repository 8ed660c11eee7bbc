// Package prober decides which connections to an upstream are unresponsive.
//
// A connection can stop answering for good while new connections to the same upstream work. Such a failure says nothing
// about the upstream, so it must be told apart from a slow or a dead upstream: a connection counts as unresponsive only when
// something that was sent on another connection to the same upstream, after the first one was late, was answered and the
// late request still has no answer when it is given up. A late request is given up early only when the upstream says that it
// does not have it: a slow one may still be answered, and giving it up would need a retry from the same budget as a hedge.
package prober

import (
	"slices"
	"time"
)

// Bounds of the time after which a request without a reply is late.
const (
	MinLateDelay = 20 * time.Millisecond
	lateShare    = 3 // part of the allowed time after which a request is late
	meanFactor   = 2 // a reply that takes twice the recent mean is worth a question, which costs one ping
	meanShare    = 8 // weight of the past in the moving mean of reply times
)

// Connection names one connection to an upstream. It is never reused.
type Connection uint64

// silence records that a connection has been late since a time.
type silence struct {
	connection Connection
	since      time.Time
}

// Prober watches the connections to one upstream. The zero value is usable.
type Prober struct {
	mean   time.Duration
	silent []silence
	asked  time.Time // start of the last probe
}

// LateAt returns when a request that was sent at a time counts as late: after a third of its allowed time, which leaves time
// to ask the upstream on another connection and to send a lost request again, but not before twice the recent mean reply
// time, so that a slow upstream is not asked all the time. It is never after the deadline.
func (p *Prober) LateAt(sent, deadline time.Time) time.Time {
	late := sent.Add(max(MinLateDelay, deadline.Sub(sent)/lateShare, meanFactor*p.mean))
	if late.After(deadline) {
		return deadline
	}
	return late
}

// RecordLate records that a request on a connection got no reply in time. It returns true when the caller has to ping the
// upstream on another connection; one ping serves all connections that are late at the same time.
func (p *Prober) RecordLate(now time.Time, c Connection) bool {
	p.Forget(c)
	p.silent = append(p.silent, silence{c, now})
	if now.Sub(p.asked) < MinLateDelay {
		return false
	}
	p.asked = now
	return true
}

// RecordReply records a reply on a connection to something that was sent at a time. It returns the connections that are
// unresponsive unless they still answer: those that were late already when it was sent.
func (p *Prober) RecordReply(now time.Time, c Connection, sent time.Time) []Connection {
	p.Forget(c)
	took := now.Sub(sent)
	if p.mean == 0 {
		p.mean = took
	} else {
		p.mean += (took - p.mean) / meanShare
	}
	var unresponsive []Connection
	p.silent = slices.DeleteFunc(p.silent, func(s silence) bool {
		if s.since.After(sent) {
			return false
		}
		unresponsive = append(unresponsive, s.connection)
		return true
	})
	return unresponsive
}

// Forget drops a connection that was closed or that answered.
func (p *Prober) Forget(c Connection) {
	p.silent = slices.DeleteFunc(p.silent, func(s silence) bool { return s.connection == c })
}
