package runner

import (
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// trackingDelay gives the HTTP server time to track the connections that it accepted last. Its Shutdown waits only for tracked
// connections.
const trackingDelay = 50 * time.Millisecond

// stopListening accepts the connections in the accept queue of the listener and shuts it down at once. A plain close would reset
// the queued connections, whose callers may have sent requests already.
func stopListening(l *net.TCPListener) ([]net.Conn, error) {
	var conns []net.Conn
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var shutdownErr error
	err = raw.Control(func(fd uintptr) {
		var fds []int
		for {
			n, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				break // the queue is empty
			}
			fds = append(fds, n)
		}
		shutdownErr = unix.Shutdown(int(fd), unix.SHUT_RD)
		for _, n := range fds {
			f := os.NewFile(uintptr(n), "caller")
			if c, err := net.FileConn(f); err == nil {
				conns = append(conns, c)
			}
			_ = f.Close()
		}
	})
	if err == nil {
		err = shutdownErr
	}
	return conns, err
}

// queuedListener is a listener that returns connections which were accepted already.
type queuedListener struct {
	net.Listener
	conns       chan net.Conn
	allAccepted chan struct{} // closed when the HTTP server tracks all connections
	closed      chan struct{}
	once        sync.Once
}

func newQueuedListener(l net.Listener, conns []net.Conn) *queuedListener {
	q := &queuedListener{Listener: l, conns: make(chan net.Conn, len(conns)), allAccepted: make(chan struct{}), closed: make(chan struct{})}
	for _, c := range conns {
		q.conns <- c
	}
	close(q.conns)
	return q
}

// Accept returns the next connection. After the last one it closes allAccepted, because the HTTP server tracks a connection before
// it accepts the next one. It then blocks until Close and returns net.ErrClosed.
func (q *queuedListener) Accept() (net.Conn, error) {
	if c, ok := <-q.conns; ok {
		return c, nil
	}
	close(q.allAccepted)
	<-q.closed
	return nil, net.ErrClosed
}

// Close makes Accept return.
func (q *queuedListener) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}
