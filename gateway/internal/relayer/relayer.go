package relayer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	// dialTimeout bounds the opening of a connection. A VM without power does not refuse it.
	dialTimeout = 300 * time.Millisecond
	// maxMessageBytes bounds a message: a history of entries, and a manifest of some hundred routes.
	maxMessageBytes = 8 << 20
	// inactivity closes connections on which followers no longer ask.
	inactivity = time.Minute
)

// Serve answers other VMs from a history until the context ends.
func Serve(ctx context.Context, l net.Listener, h *History, log func(error)) error {
	mux := drpcmux.New()
	if err := mux.Register(&service{history: h}, description{}); err != nil {
		return eris.Wrap(err, "register the relay")
	}
	options := managerOptions()
	options.InactivityTimeout = inactivity
	return drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: options, Log: log}).Serve(ctx, l)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// Client asks other VMs, one at a time. The zero value is ready; it is not safe for concurrent use.
type Client struct {
	address netip.AddrPort
	conn    *drpcconn.Conn
}

// ChangesSince asks the VM at an address. After an error, the next question opens a new connection.
func (f *Client) ChangesSince(ctx context.Context, address netip.AddrPort, q ChangesRequest) (*ChangesResponse, error) {
	if f.conn != nil && f.address != address {
		f.close()
	}
	if f.conn == nil {
		d := net.Dialer{Timeout: dialTimeout}
		nc, err := d.DialContext(ctx, "tcp", address.String())
		if err != nil {
			return nil, eris.Wrapf(err, "connect to VM %s", address)
		}
		f.conn, f.address = drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()}), address
	}
	var a ChangesResponse
	if err := f.conn.Invoke(ctx, methodSince, encoding{}, &q, &a); err != nil {
		f.close()
		return nil, eris.Wrapf(err, "ask VM %s", address)
	}
	return &a, nil
}

func (f *Client) close() {
	_ = f.conn.Close() // a connection that failed may be in any state
	f.conn = nil
}
