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

// fake is an upstream behind pipes. sub answers a sub-request; returning false closes the connection.
type fake struct {
	mu       sync.Mutex
	sub      func(nc net.Conn, r *http.Request) bool
	mute     func(connection int) bool // connections that answer nothing
	refuse   bool
	asked    encoder.SubPresence // answer to a question about a sub-request
	paused   chan struct{}       // replies wait until it is closed
	open     int
	most     int
	opened   int
	subs     []string
	cancels  []string
	pings    int
	lastSub  http.Header
	conns    []net.Conn
	openedAt []time.Time
}

func (f *fake) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	f.open++
	f.opened++
	f.most = max(f.most, f.open)
	f.conns = append(f.conns, far)
	f.openedAt = append(f.openedAt, time.Now())
	go f.serve(far, f.opened-1)
	return near, nil
}

func (f *fake) serve(nc net.Conn, number int) {
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
		if f.mute != nil && f.mute(number) {
			f.mu.Unlock()
			if r.URL.Path == encoder.PathSubRequest {
				f.mu.Lock()
				f.subs = append(f.subs, r.Header.Get(encoder.HeaderRequestID))
				f.mu.Unlock()
			}
			continue
		}
		sub, paused, asked := f.sub, f.paused, encoder.SubPresence("")
		if r.Header.Get(encoder.HeaderAskID) != "" {
			asked = f.asked
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
		if r.URL.Path == encoder.PathSubRequest && sub != nil {
			if !sub(nc, r) {
				return
			}
		} else if !replyAsked(nc, r.Header.Get(encoder.HeaderRequestID), asked) {
			return
		}
	}
}

func reply(nc net.Conn, id string) bool { return replyAsked(nc, id, "") }

func replyAsked(nc net.Conn, id string, asked encoder.SubPresence) bool {
	data, err := json.Marshal(encoder.SubReply{RequestID: id, Upstream: "u", Status: encoder.StatusOK, Presence: asked})
	return err == nil && text(nc, string(data))
}

func text(nc net.Conn, body string) bool {
	w := http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body))}
	return w.Write(nc) == nil
}

// bench is a connector in front of a fake, inside a synctest bubble, so that no test depends on the speed of the machine.
type bench struct {
	*Connector
	fake   *fake
	events chan router.Event
}

// start runs a test with a pool of some connections that are all open.
func start(t *testing.T, f *fake, connections int, test func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		events := make(chan router.Event, 1000)
		b := &bench{fake: f, events: events}
		b.Connector = New(Options{VM: "vm", Incarnation: 7, FailureDomain: "d1", Events: events, Dial: f.dial})
		b.Do(router.Pool{Service: "s", Upstream: "u", Address: address, Connections: connections, ConnectCost: 5 * time.Millisecond})
		time.Sleep(100 * time.Millisecond)
		b.drain()
		test(t, b)
		b.Close()
		<-b.Done()
		for _, nc := range f.conns {
			_ = nc.Close()
		}
	})
}

var address = netip.MustParseAddrPort("127.0.0.1:7000")

// drain returns the events so far.
func (b *bench) drain() []router.Event {
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

// ends returns the events that end attempts. Replies are reduced to their status.
func (b *bench) ends() []any {
	var ends []any
	for _, ev := range b.drain() {
		switch ev := ev.(type) {
		case router.ReplyArrived:
			ends = append(ends, arrived{ev.Attempt, ev.Reply.Status})
		case router.AttemptFailed:
			ends = append(ends, ev)
		}
	}
	return ends
}

type arrived struct {
	Attempt router.AttemptID
	Status  encoder.SubStatus
}

func send(a router.AttemptID, allowed time.Duration) router.Send {
	return router.Send{
		Attempt: a, Service: "s", Upstream: "u", Address: address, Kind: encoder.SubSearch, Query: "q", Version: 3,
		Deadline: time.Now().Add(allowed), Caller: "c",
	}
}
