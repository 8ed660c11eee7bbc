package receiver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"comfreyroute/core/coordination/forwarder"
)

const (
	// defaultHeaderTimeout and defaultIdleTime hold while the manifest sets no limit.
	defaultHeaderTimeout = 6 * time.Second
	defaultIdleTimeout   = time.Minute
)

// connTimeouts closes the connections of callers that send no request in the time that the manifest allows. The limits of net/http cannot follow
// the manifest, because a server takes them once. The zero value is ready.
type connTimeouts struct {
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// observe takes a new state of a connection. Idle lasts until the next header is complete.
func (i *connTimeouts) observe(c net.Conn, s http.ConnState, l forwarder.Limits) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
	}
	header, idle := orDefault(l.HeaderTimeout, defaultHeaderTimeout), orDefault(l.IdleTimeout, defaultIdleTimeout)
	switch s {
	case http.StateNew:
		i.closeAfter(c, header)
	case http.StateIdle:
		i.closeAfter(c, idle+header) // the header of a request that began in time may take as long
	case http.StateClosed, http.StateHijacked:
		delete(i.timers, c)
	}
}

// closeAfter closes a connection after a time. The lock is held.
func (i *connTimeouts) closeAfter(c net.Conn, limit time.Duration) {
	if i.timers == nil {
		i.timers = map[net.Conn]*time.Timer{}
	}
	if t := i.timers[c]; t != nil {
		t.Reset(limit)
		return
	}
	i.timers[c] = time.AfterFunc(limit, func() { _ = c.Close() }) // one that is closed already needs nothing
}

func orDefault(limit, otherwise time.Duration) time.Duration {
	if limit <= 0 {
		return otherwise
	}
	return limit
}
