package messenger

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"

	"go.uber.org/goleak"
	"storj.io/drpc/drpcwire"

	"comfreyroute/core/protocol/exchanger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handler replies to Exchange at once, and to RunTicket after release is closed.
type handler struct {
	exchanger.DRPCPeersUnimplementedServer
	entered chan struct{}
	release chan struct{}
}

func (*handler) Exchange(_ context.Context, n *exchanger.News) (*exchanger.News, error) {
	return n, nil
}

func (h *handler) RunTicket(ctx context.Context, r *exchanger.TicketRequest) (*exchanger.CallReply, error) {
	h.entered <- struct{}{}
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	return &exchanger.CallReply{Outcome: "done"}, nil
}

func listenAndServe(t *testing.T, address string, h *handler) *Messenger {
	t.Helper()
	m, err := Listen(netip.MustParseAddrPort(address), func(error) {})
	if err == nil {
		err = m.Serve(h)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		m.Close()
		<-m.Done()
	})
	return m
}

func exchange(m *Messenger, to netip.AddrPort) error {
	_, err := m.Peer(to).Exchange(context.Background(), &exchanger.News{Sender: &exchanger.VM{Id: "a"}})
	return err
}

// TestReconnect guards against a peer that remains unreachable after its restart, and against a call that is reported as sent
// although the peer could not be reached.
func TestReconnect(t *testing.T) {
	a, b := listenAndServe(t, "127.0.0.1:0", &handler{}), listenAndServe(t, "127.0.0.1:0", &handler{})
	address := b.Address()
	if err := exchange(a, address); err != nil {
		t.Fatalf("first call: %v", err)
	}
	if n := a.Bytes(); n.Sent == 0 || n.Received == 0 {
		t.Errorf("byte counts are %+v, want both above 0", n)
	}
	b.Close()
	<-b.Done()
	// The first call after the close may use the old connection; the second needs a new one.
	_ = exchange(a, address)
	if err := exchange(a, address); !errors.Is(err, ErrUnsent) {
		t.Errorf("call to a closed peer: error %v, want ErrUnsent", err)
	}
	listenAndServe(t, address.String(), &handler{})
	if err := exchange(a, address); err != nil {
		t.Errorf("call after the restart: %v", err)
	}
}

// TestFaultyPeer guards against an oversized or malformed message that closes more than the connection it arrived on.
func TestFaultyPeer(t *testing.T) {
	oversized := drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: bytes.Repeat([]byte{1}, MaxMessageBytes+1), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke,
	})
	cases := []struct {
		name string
		data []byte
	}{
		{"oversized", oversized},
		{"malformed", bytes.Repeat([]byte{0xff}, 64)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, b := listenAndServe(t, "127.0.0.1:0", &handler{}), listenAndServe(t, "127.0.0.1:0", &handler{})
			if err := exchange(a, b.Address()); err != nil {
				t.Fatal(err)
			}
			nc, err := net.Dial("tcp", b.Address().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			_, _ = nc.Write(c.data)
			if _, err := nc.Read(make([]byte, 1)); err == nil {
				t.Error("the faulty connection got a reply, want it closed")
			}
			if err := exchange(a, b.Address()); err != nil {
				t.Errorf("call on another connection after the faulty message: %v", err)
			}
		})
	}
}

// TestSeparatePools guards against tickets that delay heartbeats, and against an unlimited number of calls to one peer.
func TestSeparatePools(t *testing.T) {
	h := &handler{entered: make(chan struct{}, maxWorkCalls), release: make(chan struct{})}
	a, b := listenAndServe(t, "127.0.0.1:0", &handler{}), listenAndServe(t, "127.0.0.1:0", h)
	ended := make(chan error, maxWorkCalls)
	for range maxWorkCalls {
		go func() {
			_, err := a.Peer(b.Address()).RunTicket(context.Background(), &exchanger.TicketRequest{})
			ended <- err
		}()
	}
	for range maxWorkCalls {
		<-h.entered
	}
	if err := exchange(a, b.Address()); err != nil {
		t.Errorf("heartbeat while tickets run: %v", err)
	}
	if _, err := a.Peer(b.Address()).RunTicket(context.Background(), &exchanger.TicketRequest{}); !errors.Is(err, ErrUnsent) {
		t.Errorf("ticket above the limit: error %v, want ErrUnsent", err)
	}
	close(h.release)
	for range maxWorkCalls {
		if err := <-ended; err != nil {
			t.Errorf("ticket: %v", err)
		}
	}
}
