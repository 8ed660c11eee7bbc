package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// caller is a consumer with one kept connection to a gateway.
type caller struct {
	address string
	nc      net.Conn
	reader  *bufio.Reader
	kept    bool // the connection has carried a request before
}

// answer is what a caller got for one request. Status 0 means that there was no complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
	kept   bool // sent on a kept connection
}

var requestSerial atomic.Int64

// newID returns a request id that no other request has.
func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, requestSerial.Add(1))
}

func (c *caller) close() {
	if c.nc != nil {
		_ = c.nc.Close()
		c.nc = nil
	}
}

// send sends one request and waits for its answer until patience is over.
func (c *caller) send(method, host, target, id string, deadline, patience time.Duration, body []byte) answer {
	begin := time.Now()
	a := answer{}
	finish := func(err error) answer {
		a.err, a.took = err, time.Since(begin)
		if err != nil {
			c.close()
		}
		return a
	}
	if c.nc == nil {
		nc, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return finish(err)
		}
		c.nc, c.reader, c.kept = nc, bufio.NewReader(nc), false
	}
	a.kept, c.kept = c.kept, true
	_ = c.nc.SetDeadline(begin.Add(patience))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, target, host, id, deadline.Milliseconds())
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.nc.Write(b.Bytes()); err != nil {
		return finish(err)
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return finish(err)
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return finish(err)
	}
	a.status, a.header, a.body = r.StatusCode, r.Header, content
	if r.Close || strings.EqualFold(r.Header.Get("Connection"), "close") {
		c.close()
	}
	return finish(nil)
}
