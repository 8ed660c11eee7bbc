package runner

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"comfreyroute/entry/internal/logger"
	"comfreyroute/entry/internal/receiver"
)

// Limits of the HTTP server and of its shutdown.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second // for a whole request; its body has at most 4 MiB
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	stopTimeout    = 2 * time.Second // for the components to stop after the last request
)

// listen opens the caller address and starts the HTTP server. It returns an error when it cannot listen.
func (d *daemon) listen() error {
	d.receiver = receiver.Receiver{
		Loop: &d.loop, CallRunner: &d.claimRunner, Table: d.table.Load, Ready: d.ready, AcceptsRequests: d.acceptsRequests,
		MaxBodyBytes: int64(d.settings.Limits.BodyBytes), IDPrefix: d.requestIDPrefix(), MaxRequests: d.settings.Limits.Requests,
		Admin: d.adminHandlers(), RecordAnswer: d.collector.RecordAnswer, Log: d.log,
	}
	h, err := d.receiver.Handler()
	if err != nil {
		return eris.Wrap(err, "build HTTP routes")
	}
	address := d.settings.VM.CallerAddress.String()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", address)
	}
	d.listener = listener.(*net.TCPListener)
	d.callerAddress = listener.Addr().(*net.TCPAddr).AddrPort()
	d.server = http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() {
		if err := d.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !d.admissionClosed.Load() {
			d.log.Error("entry: HTTP server failed", logger.ErrorField(err))
		}
	}()
	d.log.Info("entry: started", zap.String("callers", address), zap.Uint64("incarnation", d.incarnation))
	return nil
}
