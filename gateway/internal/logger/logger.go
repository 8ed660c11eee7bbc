// Package logger provides the structured log of the gateway.
//
// Under load the log must neither grow without bound nor delay requests. Lines are therefore buffered, and request lines above a
// rate limit are dropped and counted.
package logger

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst limit the request lines to about twice the request rate of one VM on a busy day.
	linesPerSecond = 200
	lineBurst      = 400
	bufferBytes    = 64 << 10
	flushInterval  = time.Second
)

// Logger writes JSON lines. DroppedLines counts the lines that InfoLimited dropped.
type Logger struct {
	*zap.Logger
	DroppedLines atomic.Uint64
	limiter      *rate.Limiter
	buffer       *zapcore.BufferedWriteSyncer
}

// New returns a logger that writes JSON lines to a sink, with the name of the VM in each.
func New(sink zapcore.WriteSyncer, vm string) *Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	b := &zapcore.BufferedWriteSyncer{WS: sink, Size: bufferBytes, FlushInterval: flushInterval}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), b, zapcore.InfoLevel)
	return &Logger{
		Logger: zap.New(core).With(zap.String("vm", vm)), limiter: rate.NewLimiter(linesPerSecond, lineBurst), buffer: b,
	}
}

// InfoLimited logs a line about a request, or drops it when the rate limit is exceeded.
func (l *Logger) InfoLimited(message string, fields ...zap.Field) {
	if !l.limiter.Allow() {
		l.DroppedLines.Add(1)
		return
	}
	l.Info(message, fields...)
}

// Close flushes the buffered lines.
func (l *Logger) Close() error { return l.buffer.Stop() }
