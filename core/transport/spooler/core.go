package spooler

import (
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap/zapcore"
)

// syncTimeout bounds a flush, which happens at exit. The reader of the log may have stopped.
const syncTimeout = 300 * time.Millisecond

var errNotRead = eris.New("the log is not read")

// Core is a zapcore.Core whose lines go to a Spooler.
type Core struct {
	zapcore.LevelEnabler
	Encoder zapcore.Encoder
	Spooler *Spooler
	Class   Class // of lines below WarnLevel; the others are Reserved
}

// With implements zapcore.Core.
func (c *Core) With(fields []zapcore.Field) zapcore.Core {
	clone := *c
	clone.Encoder = c.Encoder.Clone()
	for _, f := range fields {
		f.AddTo(clone.Encoder)
	}
	return &clone
}

// Check implements zapcore.Core.
func (c *Core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core. It never blocks.
func (c *Core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.Encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	class := c.Class
	if e.Level >= zapcore.WarnLevel {
		class = Reserved
	}
	c.Spooler.Add(e.Level.String(), class, line.Bytes())
	line.Free()
	return nil
}

// Sync implements zapcore.Core. It returns an error if the lines are not written within a bound.
func (c *Core) Sync() error {
	if !c.Spooler.Flush(syncTimeout) {
		return errNotRead
	}
	return nil
}
