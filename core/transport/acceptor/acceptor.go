// Package acceptor accepts the connections of callers, and at a stop also those that the kernel has accepted for the process.
//
// Closing a listener resets the connections in its queue, together with the requests that callers have sent on them. Under load that
// happens to callers at each planned stop.
package acceptor

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	// quietTime is how long no connection must arrive before the listener is closed.
	quietTime = 20 * time.Millisecond
	// maxDrainTime bounds the drain while callers keep connecting.
	maxDrainTime = time.Second
	// requestTime bounds the wait for the requests on the connections that were accepted last, and requestInterval is how often the wait looks.
	requestTime     = 250 * time.Millisecond
	requestInterval = time.Millisecond
)

// Listener is a TCP listener that can be drained and whose connections are bounded. Its Accept must be called in a loop, as http.Server does.
type Listener struct {
	*net.TCPListener
	Bounds Bounds // must be set before the first Accept

	done   chan struct{}  // closed when the drained listener is closed
	queued []*net.TCPConn // that were in the queue when the listener was shut down
	shut   bool
	door   door

	mu       sync.Mutex // held while the deadline is set, so that the one by which Drain interrupts Accept does not end the drain
	draining bool
	overdue  bool // maxDrainTime is over
}

// Listen listens on an address.
func Listen(address netip.AddrPort) (*Listener, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l, done: make(chan struct{})}, nil
}

// Accept returns the next connection. When the listener is drained, it returns the connections that are in the queue, and then closes
// the listener and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if len(l.queued) > 0 {
			nc := l.queued[0]
			l.queued = l.queued[1:]
			if c := l.admit(nc); c != nil {
				return c, nil
			}
			continue
		}
		if l.shut {
			_ = l.Close() // Drain may have closed it already
			close(l.done)
			return nil, net.ErrClosed
		}
		draining := l.extendDrain()
		nc, err := l.AcceptTCP()
		switch {
		case err == nil:
			if c := l.admit(nc); c != nil {
				return c, nil
			}
		case draining:
			l.queued, err = stopListening(l.TCPListener)
			l.shut = true
			if err != nil && !errors.Is(err, net.ErrClosed) {
				return nil, err
			}
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
		// Drain has interrupted the wait for a connection.
	}
}

// Close implements net.Listener. It returns no error for a listener that has been drained and closed itself: http.Server closes it again if it is shut
// down at that moment.
func (l *Listener) Close() error {
	err := l.TCPListener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// extendDrain reports whether the listener is drained, and gives the next connection time to arrive then.
func (l *Listener) extendDrain() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.overdue:
		_ = l.SetDeadline(time.Now())
	case l.draining:
		_ = l.SetDeadline(time.Now().Add(quietTime)) // fails only on a closed listener, and then Accept does too
	}
	return l.draining
}

// Drain closes the listener once no caller has connected for quietTime and Accept has returned the connections in its queue, and waits for their
// requests: http.Server closes the connections of requests whose heads it reads during its Shutdown. It returns false if callers kept connecting until maxDrainTime
// was over.
func (l *Listener) Drain() bool {
	defer l.awaitRequests()
	l.mu.Lock()
	l.draining = true
	_ = l.SetDeadline(time.Now()) // interrupts Accept; fails only on a closed listener
	l.mu.Unlock()
	select {
	case <-l.done:
		return true
	case <-time.After(maxDrainTime):
	}
	l.mu.Lock()
	l.overdue = true
	_ = l.SetDeadline(time.Now())
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(maxDrainTime):
		_ = l.Close() // nothing calls Accept
	}
	return false
}

// awaitRequests waits until the requests on all connections have arrived and are served.
func (l *Listener) awaitRequests() {
	for end := time.Now().Add(requestTime); time.Now().Before(end); time.Sleep(requestInterval) {
		l.door.mu.Lock()
		incomplete := l.door.keeper.Incomplete()
		l.door.mu.Unlock()
		if incomplete == 0 {
			return
		}
	}
}
