// Package invoker calls RPCs of other VMs and describes those of this one. All RPCs between VMs share an encoding, and one listener.
package invoker

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcwire"

	"comfreyroute/core/transport/acceptor"
)

// dialTimeout bounds the connect to a peer: a VM that lost power does not refuse connections.
const dialTimeout = 300 * time.Millisecond

// ErrUnsent is the error of a call that cannot have reached the VM.
var ErrUnsent = eris.New("not sent")

// Method is an RPC with one request and one response.
type Method[In, Out any] struct {
	Name  string
	Serve func(context.Context, *In) (*Out, error)
}

// Register makes the method available to other VMs.
func (m Method[In, Out]) Register(mux *drpcmux.Mux) error {
	return eris.Wrapf(mux.Register(&m, description[In, Out]{m.Name}), "register %s", m.Name)
}

// Call implements the RPC for drpc.
func (m *Method[In, Out]) Call(ctx context.Context, in *In) (*Out, error) {
	if transport, ok := drpcctx.Transport(ctx); ok {
		if c, ok := transport.(*acceptor.Conn); ok {
			defer c.Serve()()
		}
	}
	return m.Serve(ctx, in)
}

// description describes a Method to drpc.
type description[In, Out any] struct{ name string }

func (description[In, Out]) NumMethods() int { return 1 }

func (d description[In, Out]) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return server.(*Method[In, Out]).Call(ctx, in.(*In))
	}
	return d.name, encoding{}, receive, (*Method[In, Out]).Call, true
}

// encoding encodes messages as JSON: the values of the store are JSON already, and messages are few.
type encoding struct{}

func (encoding) Marshal(m drpc.Message) ([]byte, error)      { return json.Marshal(m) }
func (encoding) Unmarshal(data []byte, m drpc.Message) error { return json.Unmarshal(data, m) }

// Options returns the options of a connection whose messages have at most the given number of bytes.
func Options(maxBytes int) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxBytes}}
}

// Conn calls other VMs over one connection at a time. The zero value is ready to use. It is not safe for concurrent use.
type Conn struct {
	MaxBytes int // of a response; 0 for the default of drpc

	address netip.AddrPort
	conn    *drpcconn.Conn
}

// Closed returns a channel that is closed once the other VM has closed the connection, and nil if there is no connection.
func (c *Conn) Closed() <-chan struct{} {
	if c.conn == nil {
		return nil
	}
	return c.conn.Closed()
}

// Invoke calls a method of the VM at an address. After an error, the next call opens a new connection. The error is ErrUnsent if no connection
// could be opened.
func (c *Conn) Invoke(ctx context.Context, address netip.AddrPort, method string, in, out any) error {
	if c.conn != nil && c.address != address {
		c.Close()
	}
	select {
	case <-c.Closed():
		c.Close()
	default:
	}
	if c.conn == nil {
		d := net.Dialer{Timeout: dialTimeout}
		nc, err := d.DialContext(ctx, "tcp", address.String())
		if err != nil {
			return eris.Wrapf(ErrUnsent, "connect to VM %s: %v", address, err)
		}
		c.conn, c.address = drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: Options(c.MaxBytes)}), address
	}
	if err := c.conn.Invoke(ctx, method, encoding{}, in, out); err != nil {
		c.Close()
		return eris.Wrapf(err, "call VM %s", address)
	}
	return nil
}

// Close closes the connection, if there is one.
func (c *Conn) Close() {
	if c.conn != nil {
		_ = c.conn.Close() // the connection may have failed already
		c.conn = nil
	}
}
