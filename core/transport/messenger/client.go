package messenger

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"comfreyroute/core/protocol/exchanger"
)

// ErrUnsent is the error of a call that was not sent to the peer.
var ErrUnsent = eris.New("call was not sent to the peer")

// Limits of the calls to one peer, and the RPCs that count as work calls.
const (
	maxControlCalls = 4
	maxWorkCalls    = 64
	controlTimeout  = time.Second // timeout of Exchange, Notify, FetchTable, Status and Burn, unless the context ends earlier
	rpcRunTicket    = "/exchanger.Peers/RunTicket"
	rpcOutcome      = "/exchanger.Peers/Outcome"
)

// poolKey identifies the connections to one peer for one kind of call, work or control.
type poolKey struct {
	address netip.AddrPort
	work    bool
}

// callLimits holds the semaphores that limit the calls in progress.
type callLimits struct {
	mu         sync.Mutex
	semaphores map[poolKey]chan struct{}
}

func (l *callLimits) semaphore(k poolKey) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.semaphores[k]
	if s == nil {
		if l.semaphores == nil {
			l.semaphores = map[poolKey]chan struct{}{}
		}
		n := maxControlCalls
		if k.work {
			n = maxWorkCalls
		}
		s = make(chan struct{}, n)
		l.semaphores[k] = s
	}
	return s
}

// Peer returns a client of the peer at an address. The client connects when it is used, and reconnects after a connection was
// lost. No call is sent twice.
func (m *Messenger) Peer(address netip.AddrPort) exchanger.DRPCPeersClient {
	return exchanger.NewDRPCPeersClient(&peer{m, address})
}

// ForgetPeer removes the call limits of a peer that has left. Calls in progress end normally.
func (m *Messenger) ForgetPeer(address netip.AddrPort) {
	m.limits.mu.Lock()
	defer m.limits.mu.Unlock()
	delete(m.limits.semaphores, poolKey{address, false})
	delete(m.limits.semaphores, poolKey{address, true})
}

// peer implements drpc.Conn for the calls to one peer. Each call uses a connection of the pool.
type peer struct {
	messenger *Messenger
	address   netip.AddrPort
}

// Invoke makes one call. ErrUnsent means that no byte of the call was sent. Any other error leaves that open, because a cached
// connection can have ended before the call.
func (p *peer) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	m, k := p.messenger, poolKey{p.address, rpc == rpcRunTicket || rpc == rpcOutcome}
	if message, ok := in.(proto.Message); ok && proto.Size(message) > MaxMessageBytes {
		return eris.Wrapf(ErrUnsent, "message to peer %s has more than %d bytes", p.address, MaxMessageBytes)
	}
	if !k.work {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, controlTimeout)
		defer cancel()
	}
	s := m.limits.semaphore(k)
	select {
	case s <- struct{}{}:
		defer func() { <-s }()
	default:
		return eris.Wrapf(ErrUnsent, "too many calls in progress to peer %s", p.address)
	}
	conn, ok := m.pool.Take(k)
	if !ok {
		var err error
		if conn, err = m.dial(ctx, k); err != nil {
			return err
		}
	}
	if err := conn.Invoke(ctx, rpc, enc, in, out); err != nil {
		// A connection that failed may be in any state, so it is closed. The next call opens another one.
		_ = conn.Close()
		return eris.Wrapf(err, "call %s of peer %s", rpc, p.address)
	}
	m.pool.Put(k, conn)
	return nil
}

func (m *Messenger) dial(ctx context.Context, k poolKey) (drpcpool.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", k.address.String())
	if err != nil {
		return nil, eris.Wrapf(ErrUnsent, "connect to peer %s: %v", k.address, err)
	}
	return drpcconn.NewWithOptions(&countingConn{Conn: nc, messenger: m}, drpcconn.Options{Manager: managerOptions()}), nil
}

// Close does nothing, because the connections belong to the messenger.
func (p *peer) Close() error { return nil }

// Closed returns nil, because a peer is never closed.
func (p *peer) Closed() <-chan struct{} { return nil }

// NewStream returns an error, because the service has no streaming calls.
func (p *peer) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, eris.New("streams are not supported")
}
