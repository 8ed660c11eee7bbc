package logger

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap/zapcore"
)

// TestInfoLimited guards against a log that grows with the load, and against dropped lines that are not counted.
func TestInfoLimited(t *testing.T) {
	var sink bytes.Buffer
	l := New(zapcore.AddSync(&sink), "vm1")
	const lines = 10 * lineBurst
	for range lines {
		l.InfoLimited("receiver: request answered")
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	written := strings.Count(sink.String(), "\n")
	if written < lineBurst || written > 2*lineBurst || l.DroppedLines.Load() != uint64(lines-written) {
		t.Errorf("%d lines written, %d dropped of %d", written, l.DroppedLines.Load(), lines)
	}
}
