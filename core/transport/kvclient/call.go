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
	maxIdleConnections = 8
	idleTimeout        = 30 * time.Second
	maxErrorBytes      = 4 << 10
	maxHeaderBytes     = 64 << 10 // of a response with its interim responses
)

func (c *Client) httpClient() *http.Client {
	c.once.Do(func() {
		c.http = &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{}).DialContext,
				MaxIdleConnsPerHost: maxIdleConnections,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,

				MaxResponseHeaderBytes: maxHeaderBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
	return c.http
}

// call makes one call and decodes the response into reply. The HTTP statuses in accepted count as success, besides 200.
//
// A write that fails after it got a connection is Uncertain, because the platform may have received all of it. The http package
// retries a PUT, POST or DELETE only when no byte of it was written.
func (c *Client) call(ctx context.Context, timeout time.Duration, method string, u *url.URL, request, reply any, accepted ...int) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool // the hook runs on another goroutine
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	failureStatus := func() Status {
		if request != nil && connected.Load() {
			return Uncertain
		}
		return Unavailable
	}
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return Rejected, eris.Wrap(err, "kvclient: encode request")
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return Rejected, eris.Wrapf(err, "kvclient: %s %s", method, u.Path)
	}
	response, err := c.httpClient().Do(r)
	if err != nil {
		return failureStatus(), eris.Wrapf(err, "kvclient: %s %s", method, u.Path)
	}
	defer func() { _ = response.Body.Close() }()
	switch code := response.StatusCode; {
	case code == http.StatusOK || slices.Contains(accepted, code):
		if err := encoder.Decode(response.Body, encoder.MaxPlatformBytes, reply); err != nil {
			return failureStatus(), eris.Wrapf(err, "kvclient: %s %s", method, u.Path)
		}
		return OK, nil
	case code == http.StatusConflict:
		if err := encoder.Decode(response.Body, encoder.MaxPlatformBytes, reply); err != nil {
			// The store has rejected the write; only the current value is unknown.
			return Rejected, eris.Wrapf(err, "kvclient: %s %s: conflict", method, u.Path)
		}
		return Conflict, nil
	case code == http.StatusTooManyRequests:
		return Throttled, eris.Errorf("kvclient: %s %s: rate limit exceeded", method, u.Path)
	case code >= 400 && code < 500:
		return Rejected, eris.Errorf("kvclient: %s %s: HTTP status %d: %s", method, u.Path, code, bodySnippet(response))
	default:
		return failureStatus(), eris.Errorf("kvclient: %s %s: HTTP status %d", method, u.Path, code)
	}
}

// bodySnippet returns the start of the body of an error response, for an error message.
func bodySnippet(r *http.Response) string {
	b := make([]byte, maxErrorBytes)
	n, _ := r.Body.Read(b) // one read is enough for an error message
	return string(bytes.TrimSpace(b[:n]))
}
