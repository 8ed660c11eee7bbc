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

// ErrUnsent tells that a call was not sent to the peer.
var ErrUnsent = eris.New("the call was not sent to the peer")

// Bounds of the calls to one peer.
const (
	controlCalls   = 4
	workCalls      = 64
	controlTimeout = time.Second // of Exchange, Notify, FetchTable, Status and Burn, unless the context ends earlier
	methodTicket   = "/exchanger.Peers/RunTicket"
	methodOutcome  = "/exchanger.Peers/Outcome"
)

// lane names the connections of one peer that carry one kind of call.
type lane struct {
	address netip.AddrPort
	work    bool
}

// lanes holds the semaphores of the lanes.
type lanes struct {
	mu   sync.Mutex
	sems map[lane]chan struct{}
}

func (l *lanes) semaphore(k lane) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sems[k]
	if s == nil {
		if l.sems == nil {
			l.sems = map[lane]chan struct{}{}
		}
		n := controlCalls
		if k.work {
			n = workCalls
		}
		s = make(chan struct{}, n)
		l.sems[k] = s
	}
	return s
}

// Peer returns a client of the peer at an address. It connects when it is used and again after a connection was lost.
// No call is sent twice.
func (m *Messenger) Peer(address netip.AddrPort) exchanger.DRPCPeersClient {
	return exchanger.NewDRPCPeersClient(&peer{m, address})
}

// ForgetPeer drops what is kept for a peer that has left. Calls in progress end normally.
func (m *Messenger) ForgetPeer(address netip.AddrPort) {
	m.lanes.mu.Lock()
	defer m.lanes.mu.Unlock()
	delete(m.lanes.sems, lane{address, false})
	delete(m.lanes.sems, lane{address, true})
}

// peer carries the calls to one peer.
type peer struct {
	messenger *Messenger
	address   netip.AddrPort
}

// Invoke carries one call. The error is ErrUnsent when nothing of it was sent.
func (p *peer) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	m, k := p.messenger, lane{p.address, rpc == methodTicket || rpc == methodOutcome}
	if message, ok := in.(proto.Message); ok && proto.Size(message) > MaxMessageBytes {
		return eris.Wrapf(ErrUnsent, "message for %s has more than %d bytes", p.address, MaxMessageBytes)
	}
	if !k.work {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, controlTimeout)
		defer cancel()
	}
	s := m.lanes.semaphore(k)
	select {
	case s <- struct{}{}:
		defer func() { <-s }()
	default:
		return eris.Wrapf(ErrUnsent, "too many calls to %s", p.address)
	}
	conn, ok := m.pool.Take(k)
	if !ok {
		var err error
		if conn, err = m.dial(ctx, k); err != nil {
			return err
		}
	}
	if err := conn.Invoke(ctx, rpc, enc, in, out); err != nil {
		// A connection that failed may be in any state; the next call opens another one.
		_ = conn.Close()
		return eris.Wrapf(err, "call %s of peer %s", rpc, p.address)
	}
	m.pool.Put(k, conn)
	return nil
}

func (m *Messenger) dial(ctx context.Context, k lane) (drpcpool.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", k.address.String())
	if err != nil {
		return nil, eris.Wrapf(ErrUnsent, "connect to peer %s: %v", k.address, err)
	}
	return drpcconn.NewWithOptions(&countingConn{Conn: nc, messenger: m}, drpcconn.Options{Manager: managerOptions()}), nil
}

// Close does nothing: the connections belong to the messenger.
func (p *peer) Close() error { return nil }

// Closed returns nil, because a peer is never closed.
func (p *peer) Closed() <-chan struct{} { return nil }

// NewStream is not offered: the service has no streams.
func (p *peer) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, eris.New("streams are not offered")
}
