package acceptor

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/coordination/doorkeeper"
	"comfreyroute/core/transport/bounder"
)

// TestBounds guards against callers that hold connections or memory without an end, against refusals that do not say so, and against bytes that
// stay counted.
func TestBounds(t *testing.T) {
	const memory, largeAnswer = 256 << 10, 16 << 20
	fields := strings.Repeat("a:\r\n", 2000)
	cases := []struct {
		name   string
		bounds Bounds
		sent   []string // one text for each caller
		answer string   // start of the answer to the last one; empty for a closed connection
		want   []doorkeeper.Cause
	}{
		{"room", Bounds{MaxConns: 3}, []string{"", "", "GET /ok HTTP/1.1\r\nHost: h\r\n\r\n"}, "HTTP/1.1 200", nil},
		{"too many", Bounds{MaxConns: 2}, []string{"", "", "GET /ok HTTP/1.1\r\nHost: h\r\n\r\n"}, "HTTP/1.1 200", []doorkeeper.Cause{doorkeeper.Crowded}},
		{"all served", Bounds{MaxConns: 1}, []string{"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", "GET /ok HTTP/1.1\r\nHost: h\r\n\r\n"}, "", []doorkeeper.Cause{doorkeeper.Crowded}},
		{"many fields", Bounds{}, []string{"GET /ok HTTP/1.1\r\nHost: h\r\n" + fields}, "HTTP/1.1 503", []doorkeeper.Cause{doorkeeper.Short}},
		{"many fields ahead", Bounds{}, []string{"GET /ok HTTP/1.1\r\nHost: h\r\n\r\nGET /ok HTTP/1.1\r\nHost: h\r\n" + fields}, "HTTP/1.1 200", []doorkeeper.Cause{doorkeeper.Short}},
		{"body without end", Bounds{StallTime: stallFor(50 * time.Millisecond)}, []string{"POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx"}, "HTTP/1.1 408", []doorkeeper.Cause{doorkeeper.Stalled}},
		{"unread answer", Bounds{StallTime: stallFor(50 * time.Millisecond)}, []string{"GET /large HTTP/1.1\r\nHost: h\r\n\r\n"}, "HTTP/1.1 200", []doorkeeper.Cause{doorkeeper.Unread}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
			if err != nil {
				t.Fatal(err)
			}
			held, departures := &bounder.Memory{Limit: memory, MakeRoom: l.MakeRoom}, make(chan doorkeeper.Cause, 10)
			l.Bounds = c.bounds
			l.Bounds.Memory, l.Bounds.Refusal = held, []byte("HTTP/1.1 503 Service Unavailable\r\n\r\n")
			l.Bounds.OnDepart = func(d Departure) { departures <- d.Cause }
			leave := make(chan struct{})
			server := http.Server{ConnState: Observe, ConnContext: WithConn, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn := ConnOf(r)
				switch r.URL.Path {
				case "/wait":
					conn.Move(doorkeeper.Served)
					<-leave
				case "/large":
					conn.Move(doorkeeper.Reading)
					_, _ = w.Write(make([]byte, largeAnswer))
				case "/body":
					if _, err := io.ReadAll(conn.Body(r)); errors.Is(err, os.ErrDeadlineExceeded) {
						conn.Turn(doorkeeper.Stalled)
						w.WriteHeader(http.StatusRequestTimeout)
					}
				}
			})}
			go func() { _ = server.Serve(l) }()
			var last net.Conn
			for _, text := range c.sent {
				last, err = net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func(nc net.Conn) { _ = nc.Close() }(last)
				if _, err := io.WriteString(last, text); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond) // lets the server read in this order
			}
			var got []doorkeeper.Cause
			for range c.want {
				select {
				case d := <-departures:
					got = append(got, d)
				case <-time.After(10 * time.Second):
					t.Fatalf("departures %v, want %v", got, c.want)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("departures (-want +got):\n%s", diff)
			}
			_ = last.SetReadDeadline(time.Now().Add(10 * time.Second))
			answer := make([]byte, len(c.answer))
			if _, err := io.ReadFull(last, answer); c.answer != "" && err != nil || c.answer != string(answer) {
				t.Errorf("answer %q, error %v, want %q", answer, err, c.answer)
			}
			if c.answer == "" {
				if n, err := last.Read(make([]byte, 1)); err == nil {
					t.Errorf("%d bytes of an answer, want none", n)
				}
			}
			close(leave)
			_ = server.Close()
			for end := time.Now().Add(10 * time.Second); held.Held() != 0 || l.Conns() != 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes and %d connections remain", held.Held(), l.Conns())
				}
			}
		})
	}
}

func stallFor(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
