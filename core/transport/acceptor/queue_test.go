package acceptor

import (
	"net"
	"testing"
)

// TestStopListening guards against closing the listener in a way that resets the connections in its accept queue.
func TestStopListening(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	const callers = 3
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	conns, err := stopListening(l.(*net.TCPListener))
	if err != nil || len(conns) != callers {
		t.Errorf("%d connections were accepted, error %v, want %d", len(conns), err, callers)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("a connection was accepted after stopListening")
	}
}
