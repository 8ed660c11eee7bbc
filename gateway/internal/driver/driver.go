// Package driver runs the forwarder's state machine: it passes events to the machine one at a time and executes the returned actions.
//
// A mutex serializes the events instead of a goroutine that reads from a channel. The goroutine that has read a reply also executes
// the actions that follow from it, which saves two context switches for each sub-request on a small VM.
package driver

import (
	"sync"
	"time"

	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/transport/bounder"
)

// Transport executes the actions on upstreams. Do never blocks. If it returns an event, the event ends a Send that could not start.
type Transport interface {
	Do(a forwarder.Action) forwarder.Event
}

// Driver serializes access to a Machine. Its exported fields must be set before the first event.
type Driver struct {
	Machine   forwarder.Machine
	Transport Transport
	Memory    *bounder.Memory // counts the bodies of answers from their delivery on; nil for none

	OnRateChanged  func(forwarder.RateChanged)    // must not block; nil ignores the changes
	OnReachChanged func(forwarder.ReachChanged)   // must not block; nil ignores the changes
	OnNotice       func(forwarder.NoticeReceived) // must not block; nil ignores the notices

	OnQuarantine func(forwarder.QuarantineChanged) // must not block; nil ignores the changes
	OnEvidence   func(forwarder.PublishEvidence)   // must not block; nil publishes nothing

	OnAsk            func(forwarder.AskGrants)      // must not block; nil leaves asks without an answer
	OnGranterChanged func(forwarder.GranterChanged) // must not block; nil ignores the changes

	mu      sync.Mutex
	lastID  forwarder.RequestID
	pending map[forwarder.RequestID]chan<- forwarder.Answer
	timer   *time.Timer
	events  []forwarder.Event
}

// AnswerBytes returns the bytes that an answer counts for: its body, and its header if it is large.
func AnswerBytes(o forwarder.Outcome) int64 {
	switch o := o.(type) {
	case forwarder.Relayed:
		return int64(cap(o.Reply.Body)) + bounder.HeaderCost(o.Reply.Header)
	case forwarder.Gathered:
		return int64(cap(o.Body))
	default:
		return 0
	}
}

// Discard releases the answer to a request that was cancelled, in case it was delivered before.
func Discard(answers <-chan forwarder.Answer, counted *bounder.Memory) {
	select {
	case a := <-answers:
		counted.Release(AnswerBytes(a.Outcome))
	default:
	}
}

// SubmitRequest passes a request to the machine and returns its ID. The channel receives exactly one answer, unless the request
// is cancelled. Who receives it releases its AnswerBytes.
func (d *Driver) SubmitRequest(e forwarder.RequestArrived) (forwarder.RequestID, <-chan forwarder.Answer) {
	answer := make(chan forwarder.Answer, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending == nil {
		d.pending = map[forwarder.RequestID]chan<- forwarder.Answer{}
	}
	d.lastID++
	e.Request = d.lastID
	d.pending[e.Request] = answer
	d.process(e)
	return e.Request, answer
}

// CancelRequest reports to the machine that the caller of a request has disconnected. It does nothing for an answered request.
func (d *Driver) CancelRequest(r forwarder.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.pending[r]; !ok {
		return
	}
	delete(d.pending, r)
	d.process(forwarder.CallerGone{Request: r})
}

// HandleEvent passes an event other than a new request to the machine.
func (d *Driver) HandleEvent(e forwarder.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process(e)
}

// WithMachine calls f with the machine while no event is processed.
func (d *Driver) WithMachine(f func(*forwarder.Machine)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.Machine)
}

// process passes an event to the machine and executes the returned actions, and repeats this for the events that the actions
// return. The caller holds d.mu.
func (d *Driver) process(e forwarder.Event) {
	d.events = append(d.events[:0], e)
	for i := 0; i < len(d.events); i++ {
		now := time.Now()
		for _, a := range d.Machine.Step(now, d.events[i]) {
			if next := d.execute(now, a); next != nil {
				d.events = append(d.events, next)
			}
		}
	}
	clear(d.events)
}

// execute carries out one action. It returns the event that the action causes immediately, nil for none.
func (d *Driver) execute(now time.Time, a forwarder.Action) forwarder.Event {
	switch a := a.(type) {
	case forwarder.Answer:
		if answer, ok := d.pending[a.Request]; ok {
			delete(d.pending, a.Request)
			d.Memory.Take(AnswerBytes(a.Outcome))
			answer <- a // buffered for one answer, so it never blocks
		}
	case forwarder.Wake:
		if d.timer == nil {
			d.timer = time.AfterFunc(a.At.Sub(now), func() { d.HandleEvent(forwarder.TimerFired{}) })
		} else {
			d.timer.Reset(a.At.Sub(now))
		}
	case forwarder.RateChanged:
		if d.OnRateChanged != nil {
			d.OnRateChanged(a)
		}
	case forwarder.ReachChanged:
		if d.OnReachChanged != nil {
			d.OnReachChanged(a)
		}
	case forwarder.NoticeReceived:
		if d.OnNotice != nil {
			d.OnNotice(a)
		}
	case forwarder.QuarantineChanged:
		if d.OnQuarantine != nil {
			d.OnQuarantine(a)
		}
	case forwarder.PublishEvidence:
		if d.OnEvidence != nil {
			d.OnEvidence(a)
		}
	case forwarder.AskGrants:
		if d.OnAsk == nil {
			return forwarder.GrantsOffered{Probe: a.Probe}
		}
		d.OnAsk(a)
	case forwarder.GranterChanged:
		if d.OnGranterChanged != nil {
			d.OnGranterChanged(a)
		}
	default:
		return d.Transport.Do(a)
	}
	return nil
}
