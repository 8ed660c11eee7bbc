package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is the head of a request as a server reads it.
type request struct {
	method, target string
	header         map[string]string // lower-case names
	length         int
}

func (q *request) id() string { return q.header["request-id"] }

// readHead reads the head of a request.
func readHead(r *bufio.Reader) (*request, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return nil, fmt.Errorf("request line %q", line)
	}
	q := &request{method: fields[0], target: fields[1], header: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		q.header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	q.length, _ = strconv.Atoi(q.header["content-length"])
	return q, nil
}

// exchange is one request at a server, whose body is not read yet.
type exchange struct {
	*request
	server *server
	nc     *net.TCPConn
	reader *bufio.Reader
	left   int // bytes of the body
}

// readBody reads up to n further bytes of the body.
func (x *exchange) readBody(n int) error {
	n = min(n, x.left)
	m, err := io.CopyN(io.Discard, x.reader, int64(n))
	x.left -= int(m)
	return err
}

// answer writes an answer with a stamp.
func (x *exchange) answer(status int, header, body string) error {
	_, err := io.WriteString(x.nc, x.text(status, header, body))
	return err
}

// text returns an answer as it stands on the wire.
func (x *exchange) text(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, x.id(), x.stamp(), header, len(body), body)
}

func (x *exchange) stamp() string { return x.server.id + "." + x.id() }

// server is a stand-in for a server of the platform. handle serves one request and returns false to close the connection.
type server struct {
	id, service, zone string
	listener          net.Listener
	born              int64
	seq               atomic.Int64
	handle            func(*exchange) bool
}

// startServer starts a server and registers it.
func startServer(s *store, id, service, zone string, window int, handle func(*exchange) bool) *server {
	v := &server{id: id, service: service, zone: zone, handle: handle, born: time.Now().UnixMilli()}
	v.listener = listen(limitWindow(window))
	go func() {
		for {
			nc, err := v.listener.Accept()
			if err != nil {
				return
			}
			go v.serve(nc.(*net.TCPConn))
		}
	}()
	v.register(s, "ready")
	return v
}

// register writes the entry of the server.
func (v *server) register(s *store, state string) {
	s.put("servers/"+v.id, map[string]any{
		"service": v.service, "address": v.listener.Addr().String(), "zone": v.zone, "version": "v1", "slots": 8, "state": state, "cold-ms": 0,
		"seq": v.seq.Add(1), "born": v.born,
	})
}

func (v *server) serve(nc *net.TCPConn) {
	defer func() { _ = nc.Close() }()
	r := bufio.NewReaderSize(nc, 4<<10)
	for {
		q, err := readHead(r)
		if err != nil {
			return
		}
		x := &exchange{request: q, server: v, nc: nc, reader: r, left: q.length}
		if want := q.header["expect-instance"]; want != "" && want != v.id {
			if x.readBody(x.left) != nil || x.answer(421, "Instance-Id: "+v.id+"\r\n", "") != nil {
				return
			}
			continue
		}
		if !v.handle(x) || x.readBody(x.left) != nil {
			return
		}
	}
}
