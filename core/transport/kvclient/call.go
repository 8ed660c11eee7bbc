package kvclient

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/core/protocol/encoder"
)

// Bounds of the connections to the platform.
const (
	idleConnections = 8
	idleTimeout     = 30 * time.Second
	maxErrorBytes   = 4 << 10
)

func (c *Client) client() *http.Client {
	c.once.Do(func() {
		c.http = &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{}).DialContext,
				MaxIdleConnsPerHost: idleConnections,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
	return c.http
}

// call makes one call and decodes its reply into reply. HTTP statuses in also count as answered.
//
// A write that failed after it got a connection is uncertain: the platform may have received all of it. The http package
// repeats a PUT, POST or DELETE only when no byte of it was written.
func (c *Client) call(ctx context.Context, timeout time.Duration, method string, u *url.URL, request, reply any, also ...int) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool // the hook runs on another goroutine
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	lost := func() Status {
		if request != nil && connected.Load() {
			return Uncertain
		}
		return Unavailable
	}
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return Rejected, eris.Wrap(err, "keeper: encode request")
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return Rejected, eris.Wrapf(err, "keeper: %s %s", method, u.Path)
	}
	answer, err := c.client().Do(r)
	if err != nil {
		return lost(), eris.Wrapf(err, "keeper: %s %s", method, u.Path)
	}
	defer func() { _ = answer.Body.Close() }()
	switch code := answer.StatusCode; {
	case code == http.StatusOK || slices.Contains(also, code):
		if err := encoder.Decode(answer.Body, encoder.MaxPlatformBytes, reply); err != nil {
			return lost(), eris.Wrapf(err, "keeper: %s %s", method, u.Path)
		}
		return OK, nil
	case code == http.StatusConflict:
		if err := encoder.Decode(answer.Body, encoder.MaxPlatformBytes, reply); err != nil {
			// The store has refused the write; only the current value is unknown.
			return Rejected, eris.Wrapf(err, "keeper: %s %s: conflict", method, u.Path)
		}
		return Conflict, nil
	case code == http.StatusTooManyRequests:
		return Throttled, eris.Errorf("keeper: %s %s: rate limit", method, u.Path)
	case code >= 400 && code < 500:
		return Rejected, eris.Errorf("keeper: %s %s: HTTP status %d: %s", method, u.Path, code, snippet(answer))
	default:
		return lost(), eris.Errorf("keeper: %s %s: HTTP status %d", method, u.Path, code)
	}
}

// snippet returns the start of an error body for a message.
func snippet(r *http.Response) string {
	b := make([]byte, maxErrorBytes)
	n, _ := r.Body.Read(b) // whatever arrives first is enough
	return string(bytes.TrimSpace(b[:n]))
}
