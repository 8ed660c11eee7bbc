// Package logger creates the logger of the entry daemon.
//
// Messages start with the name of their component and are short and constant. Variable values are in fields, so that sampling
// recognizes equal messages.
package logger

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"comfreyroute/core/state/configloader"
)

// Sampling of equal log messages. During faults, each message is logged a few times a second instead of once per request.
const (
	sampleInterval = time.Second
	sampleFirst    = 5
	sampleEvery    = 1000
)

// New returns the logger of a VM with validated settings. It returns an error when zap cannot build the logger.
func New(s *configloader.Settings) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.DisableStacktrace = true
	c.Sampling = nil
	if err := c.Level.UnmarshalText([]byte(s.Log.Level)); err != nil {
		return nil, err
	}
	sample := zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleEvery)
	})
	l, err := c.Build(sample)
	if err != nil {
		return nil, err
	}
	return l.With(zap.String("vm", s.VM.ID)), nil
}

// ErrorField returns the log field of an error. It omits the stack trace that zap would add for an eris error, because during faults
// the stack traces would be most of the log.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// RequestField returns the log field of a request ID.
func RequestField(id string) zap.Field { return zap.String("request", id) }
