package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/transport/bounder"
)

// TestBodiesAreNotHeads guards against idle connections that count for memory which they do not hold, because a body of short lines was taken for a part of the next head: connections
// whose requests have run are then closed for room. It also guards against heads of further requests behind a body that count for nothing.
func TestBodiesAreNotHeads(t *testing.T) {
	lines := func(n int) string { return strings.Repeat("a\n", n/2) }
	post := func(body string) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 100)
	cases := []struct {
		name  string
		parts []string // written one after the other, with a pause
		held  int64    // once the first request is answered
	}{
		{"head and body at once", []string{post(lines(2000))}, 0},
		{"long body", []string{post(lines(100_000))}, 0},
		{"body after the head", []string{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n", lines(2000)}, 0},
		{"end of the head in pieces", []string{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r", "\n" + lines(1000), lines(1000)}, 0},
		{"head behind a body", []string{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n", lines(2000) + head}, bounder.HeadCost([]byte(head))},
		{"head behind a head", []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n" + head}, bounder.HeadCost([]byte(head))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
			if err != nil {
				t.Fatal(err)
			}
			held, idle := &bounder.Memory{}, make(chan int64, 1)
			l.Bounds.Memory = held
			server := http.Server{
				ConnContext: WithConn, ReadHeaderTimeout: time.Minute,
				ConnState: func(nc net.Conn, s http.ConnState) {
					Observe(nc, s)
					if s == http.StateIdle {
						idle <- held.Held()
					}
				},
				Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if _, err := io.Copy(io.Discard, ConnOf(r).Body(r)); err != nil {
						t.Error(err)
					}
				}),
			}
			go func() { _ = server.Serve(l) }()
			defer func() { _ = server.Close() }()
			nc, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			for n, part := range c.parts {
				if n > 0 {
					time.Sleep(20 * time.Millisecond)
				}
				if _, err := io.WriteString(nc, part); err != nil {
					t.Fatal(err)
				}
			}
			response, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if diff := cmp.Diff(c.held, <-idle); diff != "" {
				t.Errorf("bytes of an idle connection (-want +got):\n%s", diff)
			}
		})
	}
}
