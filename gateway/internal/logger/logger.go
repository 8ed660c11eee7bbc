// Package logger provides the structured log of the gateway.
//
// Under load the log must neither grow without bound nor delay requests. Lines therefore go through a spooler, and request lines above a
// rate limit are dropped and counted.
package logger

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"comfreyroute/core/transport/spooler"
)

const (
	// linesPerSecond and lineBurst limit the request lines to about twice the request rate of one VM on a busy day.
	linesPerSecond = 200
	lineBurst      = 400
	// closeTimeout bounds the flush at exit. The reader of the log may have stopped.
	closeTimeout = 300 * time.Millisecond
)

// Logger writes JSON lines. DroppedLines counts the lines that InfoLimited dropped, Lines.Lost those that found no room.
type Logger struct {
	*zap.Logger
	DroppedLines atomic.Uint64
	Lines        *spooler.Spooler
	requests     *zap.Logger
	limiter      *rate.Limiter
}

// New returns a logger that writes JSON lines to a sink, with the name of the VM in each.
func New(sink io.Writer, vm string) *Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	l := &Logger{Lines: &spooler.Spooler{Sink: sink}, limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
	l.Lines.OnLost = func(lost map[string]uint64) {
		l.Warn("logger: lines were lost while the log was not read", zap.Any("lines", lost))
	}
	build := func(class spooler.Class) *zap.Logger {
		core := &spooler.Core{LevelEnabler: zapcore.InfoLevel, Encoder: zapcore.NewJSONEncoder(c), Spooler: l.Lines, Class: class}
		return zap.New(core).With(zap.String("vm", vm))
	}
	l.Logger, l.requests = build(spooler.Reserved), build(spooler.Ordinary)
	l.Lines.Start()
	return l
}

// InfoLimited logs a line about a request, or drops it when the rate limit is exceeded.
func (l *Logger) InfoLimited(message string, fields ...zap.Field) {
	if !l.limiter.Allow() {
		l.DroppedLines.Add(1)
		return
	}
	l.requests.Info(message, fields...)
}

// Close writes the buffered lines and ends the logger. It returns an error if the log is not read in time.
func (l *Logger) Close() error {
	if !l.Lines.Stop(closeTimeout) {
		return eris.New("the log is not read")
	}
	return nil
}
