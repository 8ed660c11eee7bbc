package kvclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/protocol/encoder"
)

func newClient(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c := &Client{Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), Timeout: 10 * time.Second}
	t.Cleanup(c.Close)
	return c
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// TestWriteStatus guards against a write that is reported as not done although it may have taken effect, or the reverse.
func TestWriteStatus(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	current := &encoder.KeyValue{Key: "k", Value: []byte("v"), Revision: 7}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    WriteResult
	}{
		{"done", respondWith(200, `{"revision":8}`), WriteResult{Status: OK, Revision: 8}},
		{"conflict", respondWith(409, `{"revision":9,"current":{"key":"k","value":"dg==","revision":7}}`), WriteResult{Status: Conflict, Revision: 9, Current: current}},
		{"conflict with a missing key", respondWith(409, `{"revision":9}`), WriteResult{Status: Conflict, Revision: 9}},
		{"conflict malformed", respondWith(409, `{`), WriteResult{Status: Rejected}},
		{"response lost", abort, WriteResult{Status: Uncertain}},
		{"response malformed", respondWith(200, `{"revision":`), WriteResult{Status: Uncertain}},
		{"response with trailing data", respondWith(200, `{"revision":1}{}`), WriteResult{Status: Uncertain, Revision: 1}},
		{"server error", respondWith(500, ``), WriteResult{Status: Uncertain}},
		{"redirect", respondWith(302, ``), WriteResult{Status: Uncertain}},
		{"throttled", respondWith(429, `{}`), WriteResult{Status: Throttled}},
		{"too large", respondWith(413, `{}`), WriteResult{Status: Rejected}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := newClient(t, c.handler).Put(context.Background(), "k", []byte("v"), 7, 0)
			if (got.Err != nil) != (c.want.Status != OK && c.want.Status != Conflict) {
				t.Errorf("status %v has error %v", got.Status, got.Err)
			}
			got.Err = nil
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestLostAnswer guards against a client that retries a write whose response was lost: the retry would conflict with the first
// write.
func TestLostAnswer(t *testing.T) {
	writes := 0
	c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			respondWith(200, `{"key":"claims/a","value":"eA==","revision":1}`)(w, r)
			return
		}
		writes++
		panic(http.ErrAbortHandler)
	})
	ctx := context.Background()
	c.Get(ctx, "claims/a") // leaves an idle connection, on which the http package is more likely to retry
	if got := c.Put(ctx, "claims/a", []byte("x"), 0, 0).Status; got != Uncertain {
		t.Errorf("status %v, want uncertain", got)
	}
	if got := c.Get(ctx, "claims/a"); got.Status != OK || string(got.Item.Value) != "x" {
		t.Errorf("read back %+v", got)
	}
	if writes != 1 {
		t.Errorf("%d writes, want 1", writes)
	}
}

// TestNotSent guards against the status Uncertain for a write of which no byte was sent, which would block a claim needlessly.
func TestNotSent(t *testing.T) {
	s := httptest.NewServer(nil)
	c := &Client{Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))}
	s.Close()
	ctx := context.Background()
	got := []Status{c.Put(ctx, "k", nil, 0, 0).Status, c.Delete(ctx, "k", 1).Status, c.Get(ctx, "k").Status, c.GrantLease(ctx, time.Second).Status,
		c.Put(ctx, "k", make([]byte, encoder.MaxValueBytes+1), 0, 0).Status}
	if diff := cmp.Diff([]Status{Unavailable, Unavailable, Unavailable, Unavailable, Rejected}, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestReadStatus guards against a lost or malformed response to a read that is taken for a missing key.
func TestReadStatus(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    ReadResult
	}{
		{"found", respondWith(200, `{"key":"k","value":"dg==","revision":3}`), ReadResult{Status: OK, Item: encoder.KeyValue{Key: "k", Value: []byte("v"), Revision: 3}}},
		{"missing", respondWith(404, `{"key":"k","revision":0}`), ReadResult{Status: OK, Item: encoder.KeyValue{Key: "k"}}},
		{"other key", respondWith(200, `{"key":"j","revision":3}`), ReadResult{Status: Unavailable, Item: encoder.KeyValue{Key: "j", Revision: 3}}},
		{"path that is not served", respondWith(404, `404 page not found`), ReadResult{Status: Unavailable}},
		{"lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ReadResult{Status: Unavailable}},
		{"oversized", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(strings.Repeat(" ", encoder.MaxPlatformBytes+1)))
		}, ReadResult{Status: Unavailable}},
		{"throttled", respondWith(429, ``), ReadResult{Status: Throttled}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := newClient(t, c.handler).Get(context.Background(), "k")
			got.Err = nil
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestRangePages guards against lost or repeated keys at page boundaries, and against a store that ignores the parameter after.
func TestRangePages(t *testing.T) {
	keys := []string{"a", "b", "c", "d", "e"}
	ordered := func(w http.ResponseWriter, r *http.Request) {
		limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
		page := encoder.RangeReply{Revision: 9}
		for _, k := range keys {
			if k > r.URL.Query().Get("after") && len(page.Items) < limit {
				page.Items = append(page.Items, encoder.KeyValue{Key: k})
			}
		}
		_ = json.NewEncoder(w).Encode(page)
	}
	for page := 1; page <= 6; page++ {
		got := newClient(t, ordered).Range(context.Background(), "", page)
		var names []string
		for _, i := range got.Items {
			names = append(names, i.Key)
		}
		if diff := cmp.Diff(keys, names); diff != "" || got.Status != OK || got.Revision != 9 {
			t.Errorf("page %d: %v (-want +got):\n%s", page, got.Status, diff)
		}
	}
	repeating := respondWith(200, `{"revision":1,"items":[{"key":"a","revision":1}]}`)
	if got := newClient(t, repeating).Range(context.Background(), "", 1); got.Status != Unavailable || got.Items != nil {
		t.Errorf("result from a store that repeats its first page is %+v, want Unavailable without items", got)
	}
}

// FuzzReplies guards against a response of the platform that makes the client panic, or report success for malformed JSON.
func FuzzReplies(f *testing.F) {
	for _, s := range []string{`{"revision":1}`, `{"key":"k","revision":1}`, `{"id":1,"ttl_ms":5}`, `{"items":[{"key":"k"}]}`, `[`, ``} {
		f.Add(200, []byte(s))
		f.Add(409, []byte(s))
	}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 {
			return
		}
		c := &Client{Address: netip.MustParseAddrPort("127.0.0.1:1")}
		c.once.Do(func() {
			c.http = &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
				w := httptest.NewRecorder()
				w.Code = status
				_, _ = w.Body.Write(body)
				a := w.Result()
				a.StatusCode, a.Request = status, r
				return a, nil
			})}
		})
		ctx := context.Background()
		c.Get(ctx, "k")
		c.Range(ctx, "k", 0)
		c.Watch(ctx, "k", 1, 0)
		c.GrantLease(ctx, time.Second)
		c.ListVMs(ctx)
		if got := c.Put(ctx, "k", nil, 0, 0); got.Status == OK && !json.Valid(body) {
			t.Fatalf("malformed reply was accepted: %q", body)
		}
	})
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
