package relayer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"comfreyroute/core/transport/acceptor"
	"comfreyroute/gateway/internal/invoker"
)

const (
	// maxMessageBytes bounds a response, which holds a history of entries and a manifest of some hundred routes.
	maxMessageBytes = 8 << 20
	// maxRequestBytes bounds a request, which holds a report of some 150 bytes for each upstream. It is smaller, because a VM serves
	// requests of many followers.
	maxRequestBytes = 2 << 20
	// inactivityTimeout is how long a connection without requests stays open.
	inactivityTimeout = time.Minute
	// acceptPause is the pause after a connection that could not be accepted.
	acceptPause = 500 * time.Millisecond
)

// Serve serves a history to other VMs until the context is done, and the other RPCs of this VM. It passes errors of connections to log.
func Serve(ctx context.Context, l net.Listener, h *History, log func(error), others ...func(*drpcmux.Mux) error) error {
	mux := drpcmux.New()
	serve := func(ctx context.Context, q *ChangesRequest) (*ChangesResponse, error) {
		a := h.ChangesSince(ctx, *q)
		return &a, nil
	}
	if err := (invoker.Method[ChangesRequest, ChangesResponse]{Name: methodSince, Serve: serve}).Register(mux); err != nil {
		return err
	}
	for _, register := range others {
		if err := register(mux); err != nil {
			return err
		}
	}
	options := invoker.Options(maxRequestBytes)
	options.InactivityTimeout = inactivityTimeout
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: options})
	ctx, cancel := context.WithCancel(ctx)
	var serving sync.WaitGroup
	defer serving.Wait()
	defer cancel()
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		nc, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = nc.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return eris.Wrap(err, "accept peers")
		case err != nil: // out of descriptors
			log(err)
			time.Sleep(acceptPause)
			continue
		}
		serving.Go(func() {
			defer acceptor.Observe(nc, http.StateClosed)
			if err := server.ServeOne(ctx, nc); err != nil {
				log(err)
			}
		})
	}
}

// Client requests changes from other VMs over one connection at a time. The zero value is ready to use. It is not safe for
// concurrent use.
type Client struct{ conn invoker.Conn }

// Close closes the connection, if there is one.
func (c *Client) Close() { c.conn.Close() }

// ChangesSince requests changes from the VM at an address. After an error, the next request opens a new connection.
func (c *Client) ChangesSince(ctx context.Context, address netip.AddrPort, q ChangesRequest) (*ChangesResponse, error) {
	c.conn.MaxBytes = maxMessageBytes
	var a ChangesResponse
	if err := c.conn.Invoke(ctx, address, methodSince, &q, &a); err != nil {
		return nil, eris.Wrap(err, "request changes")
	}
	return &a, nil
}
