package messenger

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"comfreyroute/core/protocol/exchanger"
)

// Limits of the peer connections.
const (
	MaxMessageBytes   = 8 << 20 // the largest message is a reply to FetchTable with the whole table
	maxInboundConns   = 1024    // connections opened by peers
	inactivityTimeout = 2 * time.Minute
	dialTimeout       = 250 * time.Millisecond
	maxCachedPerKey   = 4   // idle connections kept for one peer and kind of call
	maxCachedTotal    = 256 // idle connections kept for all peers
)

// Bytes are the numbers of bytes exchanged with peers since the start of the messenger.
type Bytes struct{ Sent, Received uint64 }

// Messenger serves the calls of peers and calls peers.
type Messenger struct {
	listener net.Listener
	log      func(error)
	stop     context.CancelFunc
	done     chan struct{}
	sent     atomic.Uint64
	received atomic.Uint64
	inbound  atomic.Int64
	pool     *drpcpool.Pool[poolKey, drpcpool.Conn]
	limits   callLimits
}

// Listen listens on the peer address. It passes errors of single connections to log.
func Listen(address netip.AddrPort, log func(error)) (*Messenger, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen for peers on %s", address)
	}
	return &Messenger{
		listener: listener, log: log, done: make(chan struct{}),
		pool: drpcpool.New[poolKey, drpcpool.Conn](drpcpool.Options{Expiration: inactivityTimeout / 2, Capacity: maxCachedTotal, KeyCapacity: maxCachedPerKey}),
	}, nil
}

// Serve serves the calls of peers with a handler until Close. It is separate from Listen, because a handler may use the
// messenger.
func (m *Messenger) Serve(handler exchanger.DRPCPeersServer) error {
	mux := drpcmux.New()
	if err := exchanger.DRPCRegisterPeers(mux, handler); err != nil {
		return eris.Wrap(err, "register the peer service")
	}
	options := managerOptions()
	options.InactivityTimeout = inactivityTimeout
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: options, Log: m.log})
	var ctx context.Context
	ctx, m.stop = context.WithCancel(context.Background())
	go func() {
		defer close(m.done)
		if err := server.Serve(ctx, &countingListener{m.listener, m}); err != nil {
			m.log(err)
		}
	}()
	return nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// Address returns the address that the messenger listens on.
func (m *Messenger) Address() netip.AddrPort { return m.listener.Addr().(*net.TCPAddr).AddrPort() }

// Bytes returns the numbers of bytes exchanged with peers since the start of the messenger.
func (m *Messenger) Bytes() Bytes { return Bytes{Sent: m.sent.Load(), Received: m.received.Load()} }

// Close closes the listener and all connections. It must be called after Serve. Calls in progress fail.
func (m *Messenger) Close() {
	m.stop()
	_ = m.pool.Close()
}

// Done is closed when the server has ended after Close.
func (m *Messenger) Done() <-chan struct{} { return m.done }

// countingListener limits the number of inbound connections and counts their bytes.
type countingListener struct {
	net.Listener
	messenger *Messenger
}

func (l *countingListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.messenger.inbound.Add(1) > maxInboundConns {
			l.messenger.inbound.Add(-1)
			_ = nc.Close()
			continue
		}
		return &countingConn{Conn: nc, messenger: l.messenger, inbound: true}, nil
	}
}

type countingConn struct {
	net.Conn
	messenger *Messenger
	inbound   bool
	closed    atomic.Bool
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.messenger.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.messenger.sent.Add(uint64(n))
	return n, err
}

func (c *countingConn) Close() error {
	if !c.closed.Swap(true) && c.inbound {
		c.messenger.inbound.Add(-1)
	}
	return c.Conn.Close()
}
