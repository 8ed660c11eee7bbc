// Package logger creates the logger of the entry daemon.
//
// Messages start with the name of their component and are short and constant. Variable values are in fields, so that sampling
// recognizes equal messages.
package logger

import (
	"fmt"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"comfreyroute/core/state/configloader"
	"comfreyroute/core/transport/spooler"
)

// Sampling of equal log messages. During faults, each message is logged a few times a second instead of once per request.
const (
	sampleInterval = time.Second
	sampleFirst    = 5
	sampleEvery    = 1000
)

// New returns the logger of a VM with validated settings. A reader of the log that stops never delays the VM. It returns an error when zap does not
// know the level.
func New(s *configloader.Settings) (*zap.Logger, error) {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	level, err := zapcore.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, err
	}
	lines := &spooler.Spooler{Sink: os.Stderr}
	core := &spooler.Core{LevelEnabler: level, Encoder: zapcore.NewJSONEncoder(c), Spooler: lines}
	l := zap.New(zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleEvery), zap.AddCaller()).With(zap.String("vm", s.VM.ID))
	lines.OnLost = func(lost map[string]uint64) {
		for level, n := range lost {
			metrics.GetOrCreateCounter(fmt.Sprintf(`comfrey_log_lines_lost_total{level=%q}`, level)).Add(int(n))
		}
		l.Warn("logger: lines were lost while the log was not read", zap.Any("lines", lost))
	}
	lines.Start()
	return l, nil
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
