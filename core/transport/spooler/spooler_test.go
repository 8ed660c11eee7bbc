package spooler

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// stuckSink blocks each write until it is released.
type stuckSink struct {
	mu       sync.Mutex
	written  bytes.Buffer
	released chan struct{}
}

func (s *stuckSink) Write(b []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

func (s *stuckSink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

// TestLogIsNotRead guards against a process that waits for the reader of its log, against memory without bounds, and against errors that find no room
// because of a flood of other lines.
func TestLogIsNotRead(t *testing.T) {
	sink := &stuckSink{released: make(chan struct{})}
	lost := make(chan map[string]uint64, 1)
	s := &Spooler{Sink: sink, OnLost: func(l map[string]uint64) { lost <- l }}
	s.Start()
	line := []byte(strings.Repeat("x", 999) + "\n")
	const lines = 3 * maxBytes / 1000
	for range lines {
		s.Add("info", Ordinary, line)
	}
	s.Add("error", Reserved, []byte("the error"+strings.Repeat(" ", 990)+"\n"))
	if s.Stop(50 * time.Millisecond) {
		t.Error("the lines count as written although nobody reads them")
	}
	s.mu.Lock()
	held := len(s.pending) + s.writing
	s.mu.Unlock()
	if held > maxBytes || s.Lost("error") != 0 || s.Lost("info") == 0 {
		t.Errorf("%d bytes held, %d errors and %d other lines lost", held, s.Lost("error"), s.Lost("info"))
	}
	close(sink.released)
	<-s.done
	written := strings.Count(sink.text(), "x\n")
	if diff := cmp.Diff(map[string]uint64{"info": uint64(lines - written)}, <-lost); diff != "" {
		t.Errorf("lost lines (-want +got):\n%s", diff)
	}
	if !strings.Contains(sink.text(), "the error") {
		t.Error("the error is not written")
	}
}

// TestLogCannotBeWritten guards against a process that ends, or stops counting lines, because its log is closed or its disk is full.
func TestLogCannotBeWritten(t *testing.T) {
	from, to, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := from.Close(); err != nil {
		t.Fatal(err)
	}
	s := &Spooler{Sink: to, OnLost: func(map[string]uint64) { t.Error("the log counts as written") }}
	s.Start()
	s.Add("info", Ordinary, []byte("x\n"))
	if !s.Stop(10 * time.Second) {
		t.Fatal("the Spooler does not stop")
	}
	if s.Lost(Unwritable) != 1 {
		t.Errorf("%d failed writes counted, want 1", s.Lost(Unwritable))
	}
	full := &Spooler{Sink: writerFunc(func([]byte) (int, error) { return 0, errors.New("no space left") })}
	full.Start()
	full.Add("info", Ordinary, []byte("x\n"))
	if !full.Stop(10*time.Second) || full.Lost(Unwritable) != 1 {
		t.Errorf("%d failed writes counted, want 1", full.Lost(Unwritable))
	}
}

// childStatus is the exit status of a process that has survived.
const childStatus = 7

// TestStandardOutputIsClosed guards against a process that ends because nothing reads its standard output any more.
func TestStandardOutputIsClosed(t *testing.T) {
	if os.Getenv("SPOOLER_CHILD") != "" {
		s := &Spooler{Sink: os.Stdout}
		s.Start()
		s.Add("info", Ordinary, []byte("x\n"))
		s.Stop(10 * time.Second)
		os.Exit(childStatus)
	}
	from, to, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := from.Close(); err != nil {
		t.Fatal(err)
	}
	child := exec.Command(os.Args[0], "-test.run", "^TestStandardOutputIsClosed$")
	child.Env, child.Stdout = append(os.Environ(), "SPOOLER_CHILD=1"), to
	if err := child.Run(); child.ProcessState.ExitCode() != childStatus {
		t.Errorf("the process ended with %v, want exit status %d", err, childStatus)
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }
