package runner

import (
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// trackingDelay lets the HTTP server note the connections that it took last: its shutdown does not wait for others.
const trackingDelay = 50 * time.Millisecond

// stopListening takes the connections that wait in the queue of the listener and closes it at once. A plain close would cut
// those that wait, with requests that are in flight for their callers.
func stopListening(l *net.TCPListener) ([]net.Conn, error) {
	var conns []net.Conn
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var last error
	err = raw.Control(func(fd uintptr) {
		var fds []int
		for {
			n, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				break // the queue is empty
			}
			fds = append(fds, n)
		}
		last = unix.Shutdown(int(fd), unix.SHUT_RD)
		for _, n := range fds {
			f := os.NewFile(uintptr(n), "caller")
			if c, err := net.FileConn(f); err == nil {
				conns = append(conns, c)
			}
			_ = f.Close()
		}
	})
	if err == nil {
		err = last
	}
	return conns, err
}

// queuedListener is a listener that hands out connections which were taken already.
type queuedListener struct {
	net.Listener
	conns       chan net.Conn
	allAccepted chan struct{} // closed when the HTTP server has noted all connections
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

// Accept returns the next connection. The HTTP server notes a connection before it asks for the next one.
func (q *queuedListener) Accept() (net.Conn, error) {
	if c, ok := <-q.conns; ok {
		return c, nil
	}
	close(q.allAccepted)
	<-q.closed
	return nil, net.ErrClosed
}

// Close ends Accept.
func (q *queuedListener) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}
