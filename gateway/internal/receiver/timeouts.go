package receiver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"comfreyroute/core/coordination/forwarder"
)

const (
	// defaultHeaderTime and defaultIdleTime hold while the manifest sets no limit.
	defaultHeaderTime = 6 * time.Second
	defaultIdleTime   = time.Minute
)

// idler closes the connections of callers that send no request in the time that the manifest allows. The limits of net/http cannot follow
// the manifest, because a server takes them once. The zero value is ready.
type idler struct {
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// observe takes a new state of a connection. Idle lasts until the next header is complete.
func (i *idler) observe(c net.Conn, s http.ConnState, l forwarder.Limits) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
	}
	header, idle := orDefault(l.HeaderTimeout, defaultHeaderTime), orDefault(l.IdleTimeout, defaultIdleTime)
	switch s {
	case http.StateNew:
		i.start(c, header)
	case http.StateIdle:
		i.start(c, idle+header) // the header of a request that began in time may take as long
	case http.StateClosed, http.StateHijacked:
		delete(i.timers, c)
	}
}

// start closes a connection after a time. The lock is held.
func (i *idler) start(c net.Conn, limit time.Duration) {
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
