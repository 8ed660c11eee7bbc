package runner

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"comfreyroute/core/transport/acceptor"
	"comfreyroute/entry/internal/logger"
	"comfreyroute/entry/internal/measurer"
	"comfreyroute/entry/internal/receiver"
)

// Limits of the HTTP server and of its shutdown.
const (
	headerTimeout  = 5 * time.Second
	stallTimeout   = 10 * time.Second // for a caller that makes no progress while it sends a body or reads an answer
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	stopTimeout    = 2 * time.Second // for the components to stop after the last request
)

// listen opens the caller address and starts the HTTP server. It returns an error when it cannot listen.
func (d *daemon) listen() error {
	d.receiver = receiver.Receiver{
		Loop: &d.loop, CallRunner: &d.claimRunner, Table: d.table.Load, Ready: d.ready, AcceptsRequests: d.acceptsRequests,
		MaxBodyBytes: int64(d.settings.Limits.BodyBytes), Memory: &d.memory, IDPrefix: d.requestIDPrefix(), MaxRequests: d.settings.Limits.Requests,
		Admin: d.adminHandlers(), RecordAnswer: d.collector.RecordAnswer, Log: d.log,
	}
	h, err := d.receiver.Handler()
	if err != nil {
		return eris.Wrap(err, "build HTTP routes")
	}
	address := d.settings.VM.CallerAddress
	if d.callers, err = acceptor.Listen(address); err != nil {
		return eris.Wrapf(err, "listen for callers on %s", address)
	}
	d.callers.Bounds = d.callerBounds()
	d.callerAddress = d.callers.Addr().(*net.TCPAddr).AddrPort()
	measurer.RegisterGauge("comfrey_caller_connections", func() float64 { return float64(d.callers.Conns()) })
	d.server = http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: acceptor.Observe, ConnContext: acceptor.WithConn,
	}
	go func() {
		if err := d.server.Serve(d.callers); !errors.Is(err, http.ErrServerClosed) && !d.admissionClosed.Load() {
			d.log.Error("entry: HTTP server failed", logger.ErrorField(err))
		}
	}()
	d.log.Info("entry: started", zap.Stringer("callers", address), zap.Uint64("incarnation", d.incarnation))
	return nil
}
