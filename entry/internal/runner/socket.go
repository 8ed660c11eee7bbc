package runner

import (
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// takeWait lets the HTTP server note the connections that it took last: its shutdown does not wait for others.
const takeWait = 50 * time.Millisecond

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

// queued is a listener that hands out connections which were taken already.
type queued struct {
	net.Listener
	conns chan net.Conn
	taken chan struct{} // closed when the HTTP server has noted all connections
	end   chan struct{}
	once  sync.Once
}

func newQueued(l net.Listener, conns []net.Conn) *queued {
	q := &queued{Listener: l, conns: make(chan net.Conn, len(conns)), taken: make(chan struct{}), end: make(chan struct{})}
	for _, c := range conns {
		q.conns <- c
	}
	close(q.conns)
	return q
}

// Accept returns the next connection. The HTTP server notes a connection before it asks for the next one.
func (q *queued) Accept() (net.Conn, error) {
	if c, ok := <-q.conns; ok {
		return c, nil
	}
	close(q.taken)
	<-q.end
	return nil, net.ErrClosed
}

// Close ends Accept.
func (q *queued) Close() error {
	q.once.Do(func() { close(q.end) })
	return nil
}
