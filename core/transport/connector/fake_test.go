package connector

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
)

// fakeUpstream is an in-memory upstream behind pipes. handleSub answers a sub-request; when it returns false, the connection is
// closed.
type fakeUpstream struct {
	mu        sync.Mutex
	handleSub func(nc net.Conn, r *http.Request) bool
	silent    func(connection int) bool // reports whether a connection, counted from 0, gets no replies
	refuse    bool
	presence  encoder.SubPresence // answer to an inquiry about a sub-request
	paused    chan struct{}       // delays replies until it is closed
	open      int
	maxOpen   int
	opened    int
	subs      []string
	cancels   []string
	pings     int
	lastSub   http.Header
	conns     []net.Conn
	openedAt  []time.Time
}

func (f *fakeUpstream) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	f.open++
	f.opened++
	f.maxOpen = max(f.maxOpen, f.open)
	f.conns = append(f.conns, far)
	f.openedAt = append(f.openedAt, time.Now())
	go f.serve(far, f.opened-1)
	return near, nil
}

func (f *fakeUpstream) serve(nc net.Conn, number int) {
	defer func() {
		_ = nc.Close()
		f.mu.Lock()
		f.open--
		f.mu.Unlock()
	}()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.mu.Lock()
		if f.silent != nil && f.silent(number) {
			f.mu.Unlock()
			if r.URL.Path == encoder.PathSubRequest {
				f.mu.Lock()
				f.subs = append(f.subs, r.Header.Get(encoder.HeaderRequestID))
				f.mu.Unlock()
			}
			continue
		}
		handleSub, paused, presence := f.handleSub, f.paused, encoder.SubPresence("")
		if r.Header.Get(encoder.HeaderAskID) != "" {
			presence = f.presence
		}
		switch r.URL.Path {
		case encoder.PathSubRequest:
			f.subs, f.lastSub = append(f.subs, r.Header.Get(encoder.HeaderRequestID)), r.Header
		case encoder.PathCancel:
			f.cancels = append(f.cancels, string(body))
		default:
			f.pings++
		}
		f.mu.Unlock()
		if paused != nil {
			<-paused
		}
		if r.URL.Path == encoder.PathSubRequest && handleSub != nil {
			if !handleSub(nc, r) {
				return
			}
		} else if !writeReplyWithPresence(nc, r.Header.Get(encoder.HeaderRequestID), presence) {
			return
		}
	}
}

func writeReply(nc net.Conn, id string) bool { return writeReplyWithPresence(nc, id, "") }

func writeReplyWithPresence(nc net.Conn, id string, presence encoder.SubPresence) bool {
	data, err := json.Marshal(encoder.SubReply{RequestID: id, Upstream: "u", Status: encoder.StatusOK, Presence: presence})
	return err == nil && writeBody(nc, string(data))
}

func writeBody(nc net.Conn, body string) bool {
	w := http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body))}
	return w.Write(nc) == nil
}

// fixture is a connector with a fake upstream, inside a synctest bubble, so that no test depends on the speed of the computer.
type fixture struct {
	*Connector
	fake   *fakeUpstream
	events chan router.Event
}

// runWithPool runs a test after all connections of a pool are open.
func runWithPool(t *testing.T, f *fakeUpstream, connections int, test func(t *testing.T, b *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		events := make(chan router.Event, 1000)
		b := &fixture{fake: f, events: events}
		b.Connector = New(Options{VM: "vm", Incarnation: 7, FailureDomain: "d1", Events: events, Dial: f.dial})
		b.Do(router.Pool{Service: "s", Upstream: "u", Address: address, Connections: connections, ConnectCost: 5 * time.Millisecond})
		time.Sleep(100 * time.Millisecond)
		b.drainEvents()
		test(t, b)
		b.Close()
		<-b.Done()
		for _, nc := range f.conns {
			_ = nc.Close()
		}
	})
}

var address = netip.MustParseAddrPort("127.0.0.1:7000")

// drainEvents waits until all goroutines are blocked and returns the events so far.
func (b *fixture) drainEvents() []router.Event {
	synctest.Wait()
	var events []router.Event
	for {
		select {
		case ev := <-b.events:
			events = append(events, ev)
		default:
			return events
		}
	}
}

// attemptEnds returns the events so far that end attempts. It reduces replies to their status.
func (b *fixture) attemptEnds() []any {
	var ends []any
	for _, ev := range b.drainEvents() {
		switch ev := ev.(type) {
		case router.ReplyArrived:
			ends = append(ends, reducedReply{ev.Attempt, ev.Reply.Status})
		case router.AttemptFailed:
			ends = append(ends, ev)
		}
	}
	return ends
}

type reducedReply struct {
	Attempt router.AttemptID
	Status  encoder.SubStatus
}

func newSend(a router.AttemptID, allowed time.Duration) router.Send {
	return router.Send{
		Attempt: a, Service: "s", Upstream: "u", Address: address, Kind: encoder.SubSearch, Query: "q", Version: 3,
		Deadline: time.Now().Add(allowed), Caller: "c",
	}
}
