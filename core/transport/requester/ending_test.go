package requester

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/transport/bounder"
)

// untilCloseProtocol is lineProtocol with replies that end with their connection.
type untilCloseProtocol struct{ lineProtocol }

func (untilCloseProtocol) ReadReply(r *bounder.Reader, _ *forwarder.Send) (Response, error) {
	body, err := io.ReadAll(r)
	return Response{Reply: &forwarder.Reply{Status: 200, Body: body}}, err
}

// TestReplyUntilClose guards against half of a reply that ends with its connection and counts as a whole one: a reset is reported to one call, which may be the write of
// the rest of the request. It also guards against the loss of early replies whose connection ends in order, also if it
// is reset then because the rest of the request was not read.
func TestReplyUntilClose(t *testing.T) {
	const tries = 50 // which call gets the reset is a race
	cases := []struct {
		name string
		size int // of the request
		end  func(nc *net.TCPConn, replied <-chan struct{})
		want string
	}{
		{"reset during the write", longBytes, func(nc *net.TCPConn, _ <-chan struct{}) {
			time.Sleep(2 * time.Millisecond) // the reader waits for more
			_ = nc.SetLinger(0)
			_ = nc.Close()
		}, "reset written"},
		{"reset after the write", shortBytes, func(nc *net.TCPConn, _ <-chan struct{}) {
			time.Sleep(2 * time.Millisecond)
			_ = nc.SetLinger(0)
			_ = nc.Close()
		}, "reset written"},
		{"closed in order, the rest unread", longBytes, func(nc *net.TCPConn, replied <-chan struct{}) {
			_ = nc.CloseWrite()
			<-replied
		}, "early"},
		{"closed in order, the rest read", longBytes, func(nc *net.TCPConn, _ <-chan struct{}) {
			_ = nc.CloseWrite()
			_, _ = io.Copy(io.Discard, nc)
		}, "early"},
		{"closed in order, then reset", longBytes, func(nc *net.TCPConn, _ <-chan struct{}) {
			_ = nc.CloseWrite()
			_ = nc.Close()
		}, "early"},
		{"closed in order after the write", shortBytes, func(nc *net.TCPConn, _ <-chan struct{}) {
			_, _ = io.ReadFull(nc, make([]byte, shortBytes+len("/\n")-begunBytes))
			_ = nc.Close()
		}, "early"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for k := range tries {
				h, replied := newHarness(t), make(chan struct{})
				h.client.Protocol, h.client.Dial = untilCloseProtocol{}, dialSmall
				u := newBegunUpstream(t, begunBytes, func(nc *net.TCPConn) {
					if _, err := io.WriteString(nc, "early"); err != nil {
						t.Error(err)
					}
					c.end(nc, replied)
				})
				h.send(u, "/", func(s *forwarder.Send) { s.Message.Body = bytes.Repeat([]byte("x"), c.size) })
				got := h.result()
				close(replied)
				if got != c.want {
					t.Fatalf("try %d: result %q, want %q", k, got, c.want)
				}
			}
		})
	}
}
