package connector

import (
	"time"

	"comfreyroute/core/coordination/router"
)

// start counts one more goroutine, unless the connector is closed. The caller holds a lock that Close takes later, so
// that no goroutine is added while Close waits.
func (c *Connector) start() bool {
	if c.stopped() {
		return false
	}
	c.running.Add(1)
	return true
}

func (c *Connector) stopped() bool { return c.context.Err() != nil }

// pause waits for a duration, or until it is told to hurry.
func (c *Connector) pause(d time.Duration, hurry <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-hurry:
	case <-c.context.Done():
	}
}

// enter records the connection of an attempt, so that a Cancel finds it.
func (c *Connector) enter(j *job) {
	c.attemptsMu.Lock()
	defer c.attemptsMu.Unlock()
	c.attempts[j.send.Attempt] = j
}

func (c *Connector) leave(a router.AttemptID) {
	c.attemptsMu.Lock()
	defer c.attemptsMu.Unlock()
	delete(c.attempts, a)
}

func (c *Connector) find(a router.AttemptID) *job {
	c.attemptsMu.Lock()
	defer c.attemptsMu.Unlock()
	return c.attempts[a]
}

// fail ends an attempt without a reply.
func (c *Connector) fail(s *router.Send, f router.Failure, written bool) {
	c.leave(s.Attempt)
	c.report(router.AttemptFailed{Attempt: s.Attempt, Failure: f, Written: written})
}
