package kvclient

import (
	"context"
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
	// DefaultPageSize is the number of keys of one page of a range: that many values of 1 MB, in base64, fit into one reply.
	DefaultPageSize = 10
	maxPages        = 10000
)

// Client calls the platform at one address. Only Address has no usable zero value. A client is safe for concurrent use.
type Client struct {
	Address netip.AddrPort
	Timeout time.Duration // of a call, without the wait of a watch; 0 takes DefaultTimeout

	once sync.Once
	http *http.Client
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) ReadResult {
	var r ReadResult
	r.Status, r.Err = c.call(ctx, c.timeout(), http.MethodGet, c.key(key), nil, &r.Item, http.StatusNotFound)
	if r.Status == OK && r.Item.Key != key {
		r.Status, r.Err = Unavailable, eris.Errorf("keeper: get %q was answered for key %q", key, r.Item.Key)
	}
	return r
}

// Range reads all keys with a prefix, in key order, in pages of a number of keys; 0 takes DefaultPage.
func (c *Client) Range(ctx context.Context, prefix string, page int) RangeResult {
	if page <= 0 {
		page = DefaultPageSize
	}
	var l RangeResult
	after := ""
	for n := range maxPages {
		var reply encoder.RangeReply
		q := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(page)}, "after": {after}}
		l.Status, l.Err = c.call(ctx, c.timeout(), http.MethodGet, c.path(encoder.PathRange, q), nil, &reply)
		if l.Status != OK {
			return RangeResult{Status: l.Status, Err: l.Err}
		}
		if n == 0 {
			l.Revision = reply.Revision
		}
		for i := range reply.Items {
			if reply.Items[i].Key <= after {
				return RangeResult{Status: Unavailable, Err: eris.Errorf("keeper: range %q is not in key order at %q", prefix, reply.Items[i].Key)}
			}
			after = reply.Items[i].Key
		}
		l.Items = append(l.Items, reply.Items...)
		if len(reply.Items) < page {
			return l
		}
	}
	return RangeResult{Status: Unavailable, Err: eris.Errorf("keeper: range %q has more than %d pages", prefix, maxPages)}
}

// Put writes a key when its revision is expect; 0 means that the key does not exist. A lease of 0 binds the key to no lease.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect, lease uint64) WriteResult {
	if len(value) > encoder.MaxValueBytes {
		return WriteResult{Status: Rejected, Err: eris.Errorf("keeper: value of %q has %d bytes, allowed: %d", key, len(value), encoder.MaxValueBytes)}
	}
	return c.write(ctx, http.MethodPut, key, encoder.PutRequest{Value: value, Expect: expect, Lease: lease})
}

// Delete removes a key when its revision is expect.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) WriteResult {
	return c.write(ctx, http.MethodDelete, key, encoder.DeleteRequest{Expect: expect})
}

func (c *Client) write(ctx context.Context, method, key string, request any) WriteResult {
	var reply encoder.WriteReply
	status, err := c.call(ctx, c.timeout(), method, c.key(key), request, &reply)
	return WriteResult{Status: status, Revision: reply.Revision, Current: reply.Current, Err: err}
}

// Watch waits until a key with a prefix changes after a revision, at most for wait, and returns the changes.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) WatchResult {
	q := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var reply encoder.WatchReply
	status, err := c.call(ctx, wait+c.timeout(), http.MethodGet, c.path(encoder.PathWatch, q), nil, &reply)
	return WatchResult{Status: status, Revision: reply.Revision, Items: reply.Items, Compacted: reply.Compacted, Err: err}
}

// ListVMs reads the VM list, which lags.
func (c *Client) ListVMs(ctx context.Context) VMListResult {
	var reply encoder.VMList
	status, err := c.call(ctx, c.timeout(), http.MethodGet, c.path(encoder.PathVMs, nil), nil, &reply)
	return VMListResult{Status: status, VMs: reply.VMs, Err: err}
}

// GrantLease creates a lease. An uncertain grant leaves a lease that expires by itself.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) LeaseResult {
	return c.lease(ctx, encoder.PathLeases, ttl)
}

// RenewLease extends a lease; a ttl of 0 keeps its own.
func (c *Client) RenewLease(ctx context.Context, id uint64, ttl time.Duration) LeaseResult {
	return c.lease(ctx, encoder.PathLeases+"/"+strconv.FormatUint(id, 10), ttl)
}

func (c *Client) lease(ctx context.Context, path string, ttl time.Duration) LeaseResult {
	var reply encoder.LeaseReply
	request := encoder.LeaseRequest{TTLMS: ttl.Milliseconds()}
	status, err := c.call(ctx, c.timeout(), http.MethodPost, c.path(path, nil), request, &reply)
	return LeaseResult{Status: status, ID: reply.ID, TTL: time.Duration(reply.TTLMS) * time.Millisecond, Err: err}
}

// Close closes the idle connections.
func (c *Client) Close() { c.client().CloseIdleConnections() }

func (c *Client) timeout() time.Duration {
	if c.Timeout <= 0 {
		return DefaultTimeout
	}
	return c.Timeout
}

func (c *Client) key(key string) *url.URL { return c.path(encoder.PathKeys+key, nil) }

func (c *Client) path(path string, query url.Values) *url.URL {
	return &url.URL{Scheme: "http", Host: c.Address.String(), Path: path, RawQuery: query.Encode()}
}
