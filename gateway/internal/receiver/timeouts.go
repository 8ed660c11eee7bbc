package receiver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"comfreyroute/core/coordination/forwarder"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply while the manifest sets no limit.
	defaultHeaderTimeout = 6 * time.Second
	defaultIdleTimeout   = time.Minute
)

// connTimeouts closes connections of callers that send no request header within the limits of the manifest. http.Server reads its
// own timeouts only once, so they cannot follow changes of the manifest. The zero value is ready to use.
type connTimeouts struct {
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// observe restarts or stops the timer of a connection after a change of its state. A connection stays idle until the next request
// header is complete.
func (ct *connTimeouts) observe(c net.Conn, s http.ConnState, l forwarder.Limits) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if t := ct.timers[c]; t != nil {
		t.Stop()
	}
	header, idle := orDefault(l.HeaderTimeout, defaultHeaderTimeout), orDefault(l.IdleTimeout, defaultIdleTimeout)
	switch s {
	case http.StateNew:
		ct.closeAfter(c, header)
	case http.StateIdle:
		ct.closeAfter(c, idle+header) // a header that starts within the idle time gets the full header timeout
	case http.StateClosed, http.StateHijacked:
		delete(ct.timers, c)
	}
}

// closeAfter closes a connection after a timeout. The caller holds ct.mu.
func (ct *connTimeouts) closeAfter(c net.Conn, timeout time.Duration) {
	if ct.timers == nil {
		ct.timers = map[net.Conn]*time.Timer{}
	}
	if t := ct.timers[c]; t != nil {
		t.Reset(timeout)
		return
	}
	ct.timers[c] = time.AfterFunc(timeout, func() { _ = c.Close() }) // fails only when the connection is closed already
}

func orDefault(limit, fallback time.Duration) time.Duration {
	if limit <= 0 {
		return fallback
	}
	return limit
}
