// Package driver runs the forwarder machine: it passes events to it one at a time and carries out what it decides.
//
// A lock takes the place of a goroutine with channels. The goroutine that has read a reply carries out what follows from it, which
// saves a small VM two switches for each sub-request.
package driver

import (
	"sync"
	"time"

	"comfreyroute/core/coordination/forwarder"
)

// Transport carries out the actions that concern upstreams. Do never blocks; an event that it returns ends a Send.
type Transport interface {
	Do(a forwarder.Action) forwarder.Event
}

// Driver owns a machine. Its exported fields are set before the first event.
type Driver struct {
	Machine   forwarder.Machine
	Transport Transport

	mu      sync.Mutex
	next    forwarder.RequestID
	waiting map[forwarder.RequestID]chan<- forwarder.Answer
	timer   *time.Timer
	queue   []forwarder.Event
}

// SubmitRequest hands in a request. The channel gets its one answer.
func (d *Driver) SubmitRequest(e forwarder.RequestArrived) (forwarder.RequestID, <-chan forwarder.Answer) {
	answer := make(chan forwarder.Answer, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting == nil {
		d.waiting = map[forwarder.RequestID]chan<- forwarder.Answer{}
	}
	d.next++
	e.Request = d.next
	d.waiting[e.Request] = answer
	d.step(e)
	return e.Request, answer
}

// CancelRequest tells that the caller of a request no longer waits.
func (d *Driver) CancelRequest(r forwarder.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.waiting[r]; !ok {
		return
	}
	delete(d.waiting, r)
	d.step(forwarder.CallerGone{Request: r})
}

// HandleEvent hands in an event that is no request.
func (d *Driver) HandleEvent(e forwarder.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(e)
}

// WithMachine runs f with the machine.
func (d *Driver) WithMachine(f func(*forwarder.Machine)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.Machine)
}

// step passes an event to the machine and carries out what it decides, until nothing follows from it. The lock is held.
func (d *Driver) step(e forwarder.Event) {
	d.queue = append(d.queue[:0], e)
	for i := 0; i < len(d.queue); i++ {
		now := time.Now()
		for _, a := range d.Machine.Step(now, d.queue[i]) {
			if follows := d.carry(now, a); follows != nil {
				d.queue = append(d.queue, follows)
			}
		}
	}
	clear(d.queue)
}

func (d *Driver) carry(now time.Time, a forwarder.Action) forwarder.Event {
	switch a := a.(type) {
	case forwarder.Answer:
		if answer, ok := d.waiting[a.Request]; ok {
			delete(d.waiting, a.Request)
			answer <- a // has room for the one answer
		}
	case forwarder.Wake:
		if d.timer == nil {
			d.timer = time.AfterFunc(a.At.Sub(now), func() { d.HandleEvent(forwarder.TimerFired{}) })
		} else {
			d.timer.Reset(a.At.Sub(now))
		}
	default:
		return d.Transport.Do(a)
	}
	return nil
}
