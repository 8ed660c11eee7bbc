package connector

import (
	"time"

	"comfreyroute/core/coordination/router"
)

// addGoroutine counts one more goroutine and returns true, unless the connector is closed. The caller holds a lock that Close
// takes later, so that no goroutine is added while Close waits.
func (c *Connector) addGoroutine() bool {
	if c.stopped() {
		return false
	}
	c.goroutines.Add(1)
	return true
}

func (c *Connector) stopped() bool { return c.context.Err() != nil }

// wait waits for a duration, until a value arrives on skipWait, or until Close.
func (c *Connector) wait(d time.Duration, skipWait <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-skipWait:
	case <-c.context.Done():
	}
}

// registerAttempt records the job of an attempt, so that a Cancel can find it.
func (c *Connector) registerAttempt(j *job) {
	c.attemptsMu.Lock()
	defer c.attemptsMu.Unlock()
	c.attempts[j.send.Attempt] = j
}

func (c *Connector) unregisterAttempt(a router.AttemptID) {
	c.attemptsMu.Lock()
	defer c.attemptsMu.Unlock()
	delete(c.attempts, a)
}

func (c *Connector) findAttempt(a router.AttemptID) *job {
	c.attemptsMu.Lock()
	defer c.attemptsMu.Unlock()
	return c.attempts[a]
}

// failAttempt reports that an attempt ended without a reply.
func (c *Connector) failAttempt(s *router.Send, f router.Failure, written bool) {
	c.unregisterAttempt(s.Attempt)
	c.reportEvent(router.AttemptFailed{Attempt: s.Attempt, Failure: f, Written: written})
}
