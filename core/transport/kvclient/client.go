package kvclient

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/core/protocol/encoder"
)

// Defaults of a client.
const (
	DefaultTimeout = time.Second
	// DefaultPageSize is the number of keys in one page of a range. That many values of 1 MB, in base64, fit into one reply.
	DefaultPageSize = 10
	maxPages        = 10000
)

// Client calls the platform at one address. Address must be set. A Client is safe for concurrent use.
type Client struct {
	Address netip.AddrPort
	Timeout time.Duration // timeout of a call, excluding the wait time of a watch; 0 means DefaultTimeout

	once sync.Once
	http *http.Client
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) ReadResult {
	var r ReadResult
	r.Status, r.Err = c.call(ctx, c.callTimeout(), http.MethodGet, c.keyURL(key), nil, &r.Item, http.StatusNotFound)
	if r.Status == OK && r.Item.Key != key {
		r.Status, r.Err = Unavailable, eris.Errorf("kvclient: reply to get %q has key %q", key, r.Item.Key)
	}
	return r
}

// Range reads all keys with a prefix, in key order, in pages of pageSize keys; 0 means DefaultPageSize.
func (c *Client) Range(ctx context.Context, prefix string, pageSize int) RangeResult {
	if pageSize <= 0 {
		pageSize = DefaultPageSize
	}
	var l RangeResult
	after := ""
	for n := range maxPages {
		var reply encoder.RangeReply
		q := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(pageSize)}, "after": {after}}
		l.Status, l.Err = c.call(ctx, c.callTimeout(), http.MethodGet, c.buildURL(encoder.PathRange, q), nil, &reply)
		if l.Status != OK {
			return RangeResult{Status: l.Status, Err: l.Err}
		}
		if n == 0 {
			l.Revision = reply.Revision
		}
		for i := range reply.Items {
			if reply.Items[i].Key <= after {
				return RangeResult{Status: Unavailable, Err: eris.Errorf("kvclient: range %q is not in key order at %q", prefix, reply.Items[i].Key)}
			}
			after = reply.Items[i].Key
		}
		l.Items = append(l.Items, reply.Items...)
		if len(reply.Items) < pageSize {
			return l
		}
	}
	return RangeResult{Status: Unavailable, Err: eris.Errorf("kvclient: range %q has more than %d pages", prefix, maxPages)}
}

// Put writes a key if its current revision is expect; 0 means that the key must not exist. The key is bound to the lease unless
// lease is 0.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect, lease uint64) WriteResult {
	if len(value) > encoder.MaxValueBytes {
		return WriteResult{Status: Rejected, Err: eris.Errorf("kvclient: value of %q has %d bytes, limit is %d", key, len(value), encoder.MaxValueBytes)}
	}
	return c.writeKey(ctx, http.MethodPut, key, encoder.PutRequest{Value: value, Expect: expect, Lease: lease})
}

// Delete removes a key if its current revision is expect.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) WriteResult {
	return c.writeKey(ctx, http.MethodDelete, key, encoder.DeleteRequest{Expect: expect})
}

func (c *Client) writeKey(ctx context.Context, method, key string, request any) WriteResult {
	var reply encoder.WriteReply
	status, err := c.call(ctx, c.callTimeout(), method, c.keyURL(key), request, &reply)
	return WriteResult{Status: status, Revision: reply.Revision, Current: reply.Current, Err: err}
}

// Watch waits up to wait for a change of a key with a prefix after a revision, and returns the changes. Too many of them for one response count as
// compacted: the same call would get no shorter one, and a range has the last write of each key only.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) WatchResult {
	q := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var reply encoder.WatchReply
	status, err := c.call(ctx, wait+c.callTimeout(), http.MethodGet, c.buildURL(encoder.PathWatch, q), nil, &reply)
	if errors.Is(err, encoder.ErrTooLong) {
		return WatchResult{Status: OK, Revision: after, Compacted: true}
	}
	return WatchResult{Status: status, Revision: reply.Revision, Items: reply.Items, Compacted: reply.Compacted, Err: err}
}

// ListVMs reads the VM list, which lags behind the actual VMs.
func (c *Client) ListVMs(ctx context.Context) VMListResult {
	var reply encoder.VMList
	status, err := c.call(ctx, c.callTimeout(), http.MethodGet, c.buildURL(encoder.PathVMs, nil), nil, &reply)
	return VMListResult{Status: status, VMs: reply.VMs, Skipped: reply.Skipped, Err: err}
}

// GrantLease creates a lease. A grant with the status Uncertain may leave a lease, which expires on its own.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) LeaseResult {
	return c.requestLease(ctx, encoder.PathLeases, ttl)
}

// RenewLease extends a lease. A ttl of 0 keeps the TTL of the lease.
func (c *Client) RenewLease(ctx context.Context, id uint64, ttl time.Duration) LeaseResult {
	return c.requestLease(ctx, encoder.PathLeases+"/"+strconv.FormatUint(id, 10), ttl)
}

func (c *Client) requestLease(ctx context.Context, path string, ttl time.Duration) LeaseResult {
	var reply encoder.LeaseReply
	request := encoder.LeaseRequest{TTLMS: ttl.Milliseconds()}
	status, err := c.call(ctx, c.callTimeout(), http.MethodPost, c.buildURL(path, nil), request, &reply)
	return LeaseResult{Status: status, ID: reply.ID, TTL: time.Duration(reply.TTLMS) * time.Millisecond, Err: err}
}

// Close closes the idle connections to the platform.
func (c *Client) Close() { c.httpClient().CloseIdleConnections() }

func (c *Client) callTimeout() time.Duration {
	if c.Timeout <= 0 {
		return DefaultTimeout
	}
	return c.Timeout
}

func (c *Client) keyURL(key string) *url.URL { return c.buildURL(encoder.PathKeys+key, nil) }

func (c *Client) buildURL(path string, query url.Values) *url.URL {
	return &url.URL{Scheme: "http", Host: c.Address.String(), Path: path, RawQuery: query.Encode()}
}
