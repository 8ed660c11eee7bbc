package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// result is the end of one request.
type result struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int // 0 for a connection that ended without an answer
	stamp  string
	body   string
	err    string
}

// request describes the requests of a load.
type request struct {
	method, host, path, key string
	body                    string
	deadline                time.Duration
}

// clients sends requests at a rate and keeps their results.
type clients struct {
	lastID atomic.Uint64
	mu     sync.Mutex
	all    []result
}

// httpClient returns a client that keeps connections to one gateway.
func httpClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
}

// send sends one request and records its result.
func (c *clients) send(h *http.Client, address string, q request) result {
	id := fmt.Sprintf("%016x", c.lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	out := result{id: id, sent: time.Now()}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, bytes.NewBufferString(q.body))
	if err != nil {
		panic(err)
	}
	r.Host = q.host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("X-Api-Key", q.key)
	}
	answer, err := h.Do(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err == nil {
			out.status, out.stamp, out.body = answer.StatusCode, answer.Header.Get("Server-Stamp"), string(body)
		}
	}
	if err != nil {
		out.err = errors.Unwrap(err).Error()
	}
	out.ended = time.Now()
	c.mu.Lock()
	c.all = append(c.all, out)
	c.mu.Unlock()
	return out
}

// load sends requests to a gateway at a rate until the end of the context, each without waiting for the others.
func (c *clients) load(ctx context.Context, address string, perSecond float64, q request) {
	h := httpClient()
	var pending sync.WaitGroup
	defer pending.Wait()
	start := time.Now()
	for n := 1; ctx.Err() == nil; n++ {
		next := start.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		pending.Go(func() { c.send(h, address, q) })
	}
}

// results returns the results so far.
func (c *clients) results() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]result(nil), c.all...)
}
