package invoker

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// TestConn guards against a connection over which no call works after one has failed or the other VM has restarted, and against a call that is reported
// as sent although it was not.
func TestConn(t *testing.T) {
	echo := Method[string, string]{Name: "/test/Echo", Serve: func(_ context.Context, in *string) (*string, error) {
		if *in == "" {
			return nil, errors.New("empty")
		}
		return in, nil
	}}
	serve := func(address string) (stop func(), at netip.AddrPort) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		mux := drpcmux.New()
		if err := echo.Register(mux); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Log: func(error) {}}).Serve(ctx, l) // ends with its context
		}()
		return func() { cancel(); <-done }, netip.MustParseAddrPort(l.Addr().String())
	}
	const answered, failed, unsent = "answered", "failed", "unsent"
	cases := []struct {
		name  string
		calls []string // texts to send, or what happens to the other VM between them
		want  []string
	}{
		{"the method fails", []string{"a", "", "a"}, []string{answered, failed, answered}},
		{"the answer is too long", []string{strings.Repeat("a", 10000), "a"}, []string{failed, answered}},
		{"the VM restarts", []string{"a", "restart", "a"}, []string{answered, answered}},
		{"the VM ends", []string{"a", "end", "a"}, []string{answered, unsent}},
	}
	for _, c := range cases {
		stop, at := serve("127.0.0.1:0")
		conn := Conn{MaxBytes: 5000}
		var got []string
		for _, call := range c.calls {
			if call == "restart" || call == "end" {
				stop()
				<-conn.Closed()
				if call == "restart" {
					stop, _ = serve(at.String())
				}
				continue
			}
			var out string
			switch err := conn.Invoke(t.Context(), at, echo.Name, &call, &out); {
			case errors.Is(err, ErrUnsent):
				got = append(got, unsent)
			case err != nil:
				got = append(got, failed)
			default:
				got = append(got, answered)
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: calls (-want +got):\n%s", c.name, diff)
		}
		conn.Close()
		stop()
	}
}
