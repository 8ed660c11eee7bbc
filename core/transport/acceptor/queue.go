package acceptor

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// stopListening accepts the connections in the accept queue of the listener and shuts it down at once. A plain close would reset
// the queued connections, whose callers may have sent requests already.
func stopListening(l *net.TCPListener) ([]*net.TCPConn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var conns []*net.TCPConn
	var shutdownErr error
	err = raw.Control(func(fd uintptr) {
		var fds []int
		for {
			n, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil {
				break // the queue is empty
			}
			fds = append(fds, n)
		}
		shutdownErr = syscall.Shutdown(int(fd), syscall.SHUT_RD)
		for _, n := range fds {
			f := os.NewFile(uintptr(n), "caller")
			if c, err := net.FileConn(f); err == nil {
				conns = append(conns, c.(*net.TCPConn))
			}
			_ = f.Close()
		}
	})
	return conns, errors.Join(err, shutdownErr)
}
