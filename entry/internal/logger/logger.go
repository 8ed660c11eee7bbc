// Package logger makes the logger of the daemon.
//
// Messages begin with the name of their component and are short; what varies is in fields, so that the sampling treats
// equal messages as one.
package logger

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"comfreyroute/core/state/configloader"
)

// Sampling of equal log messages: under faults each message appears a few times a second, not once for each request.
const (
	sampleInterval = time.Second
	sampleFirst    = 5
	sampleEvery    = 1000
)

// New returns the logger of a VM. Its settings are checked.
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

// Cause returns the field of an error. It leaves out the stack that zap would add for an eris error, because under faults
// the stacks are most of a log.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Request returns the field of a request id.
func Request(id string) zap.Field { return zap.String("request", id) }
