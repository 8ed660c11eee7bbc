// Package spooler keeps the log of a process from delaying it. Lines go to a bounded buffer in memory, and one goroutine writes them out: a reader that
// stops, a full disk or a closed pipe costs lines, which are counted, and never time.
package spooler

import (
	"bytes"
	"io"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	// maxBytes bounds the lines in memory, and reservedBytes is the part of it that only lines of a Reserved class use: errors, start and stop.
	maxBytes      = 512 << 10
	reservedBytes = 128 << 10
	// flushBytes is the amount from which lines are written before the end of flushInterval.
	flushBytes    = 64 << 10
	flushInterval = time.Second
	// flushPoll is how often Flush looks whether the lines are written.
	flushPoll = 2 * time.Millisecond
)

// Class says which room a line may use.
type Class int

// The classes of lines. A flood of Ordinary lines leaves room for Reserved ones.
const (
	Ordinary Class = iota
	Reserved
)

// Spooler writes lines to a sink. Its exported fields must be set before Start.
type Spooler struct {
	Sink   io.Writer
	OnLost func(lost map[string]uint64) // called with the lines lost since the last call, by level, once lines are written again; nil for none

	mu        sync.Mutex
	pending   []byte
	writing   int // bytes of the write in progress
	lost      map[string]uint64
	reported  map[string]uint64 // part of lost that OnLost was called with
	wake      chan struct{}     // has a value while enough lines wait, or the Spooler stops
	stopping  bool
	done      chan struct{} // closed when all lines are written after Stop
	startOnce sync.Once
}

// Start starts the goroutine that writes. A broken pipe no longer ends the process.
func (s *Spooler) Start() {
	s.startOnce.Do(func() {
		signal.Ignore(syscall.SIGPIPE)
		s.wake, s.done = make(chan struct{}, 1), make(chan struct{})
		go s.run()
	})
}

// Add queues a line of a level. It never blocks; without room the line is dropped and counted.
func (s *Spooler) Add(level string, c Class, line []byte) {
	limit := maxBytes
	if c == Ordinary {
		limit -= reservedBytes
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+s.writing+len(line) > limit {
		s.countLost(level, 1)
		return
	}
	s.pending = append(s.pending, line...)
	if len(s.pending) >= flushBytes {
		s.signalWriter()
	}
}

// countLost counts lines that are not written. The caller holds s.mu.
func (s *Spooler) countLost(level string, n uint64) {
	if s.lost == nil {
		s.lost = map[string]uint64{}
	}
	s.lost[level] += n
}

func (s *Spooler) signalWriter() {
	select {
	case s.wake <- struct{}{}:
	default: // the writer is already to wake up
	}
}

// Lost returns how many lines of a level were lost.
func (s *Spooler) Lost(level string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost[level]
}

// Flush writes the lines that are queued. It reports whether all are written within a timeout.
func (s *Spooler) Flush(timeout time.Duration) bool {
	s.signalWriter()
	for end := time.Now().Add(timeout); ; time.Sleep(flushPoll) {
		s.mu.Lock()
		left := len(s.pending) + s.writing
		s.mu.Unlock()
		if left == 0 || time.Now().After(end) {
			return left == 0
		}
	}
}

// Stop ends the Spooler once the lines that are queued are written. It reports whether that is so within a timeout.
func (s *Spooler) Stop(timeout time.Duration) bool {
	s.mu.Lock()
	s.stopping = true
	s.signalWriter()
	s.mu.Unlock()
	select {
	case <-s.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// run writes the queued lines until Stop.
func (s *Spooler) run() {
	defer close(s.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var buffer []byte
	for {
		select {
		case <-s.wake:
		case <-ticker.C:
		}
		for {
			s.mu.Lock()
			buffer, s.pending = s.pending, buffer[:0]
			s.writing = len(buffer)
			stopping := s.stopping
			s.mu.Unlock()
			if len(buffer) == 0 {
				if stopping {
					return
				}
				break
			}
			_, err := s.Sink.Write(buffer)
			s.finishWrite(buffer, err)
		}
	}
}

// Unwritable is the level under which lines count that the sink did not take.
const Unwritable = "unwritable"

// finishWrite ends a write, and reports the lines lost before it if it has succeeded.
func (s *Spooler) finishWrite(lines []byte, err error) {
	s.mu.Lock()
	s.writing = 0
	if err != nil {
		s.countLost(Unwritable, uint64(bytes.Count(lines, []byte("\n"))))
		s.mu.Unlock()
		return
	}
	report := map[string]uint64{}
	for level, n := range s.lost {
		if n > s.reported[level] {
			report[level] = n - s.reported[level]
		}
	}
	if len(report) > 0 {
		s.reported = map[string]uint64{}
		for level, n := range s.lost {
			s.reported[level] = n
		}
	}
	s.mu.Unlock()
	if len(report) > 0 && s.OnLost != nil {
		s.OnLost(report)
	}
}
