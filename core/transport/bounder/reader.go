package bounder

import (
	"bufio"
	"fmt"
	"io"
)

//go:generate stringer -type=Bound -linecomment -output=bound_string.go

// Bound names a limit on the bytes of a peer.
type Bound int

// The bounds of a message. Interim counts the interim replies before a reply, and Held is the bound on the bodies of all messages at
// once.
const (
	Head    Bound = iota // bytes of the head
	Interim              // interim replies
	Body                 // bytes of the body
	Held                 // bytes of all bodies
)

// ExceededError is the error of a read that would exceed a bound.
type ExceededError struct {
	Bound Bound
	Limit int64 // in the unit of the bound
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("the message exceeds the limit of %d %s", e.Limit, e.Bound)
}

// Reader is a buffered reader of the messages of one connection. It returns an ExceededError when the peer sends more bytes than Expect
// allows. Before the first Expect it reads nothing.
type Reader struct {
	*bufio.Reader
	source source
}

// source reads at most the allowed number of bytes.
type source struct {
	from     io.Reader
	left     int64
	bound    ExceededError
	exceeded bool

	memory  *Memory
	head    HeadMeter
	cost    int64 // of the heads since the last Release
	counted int64 // part of cost that is counted in memory
}

// NewReader returns a Reader with a buffer of the given size in bytes.
func NewReader(from io.Reader, size int) *Reader {
	r := &Reader{source: source{from: from}}
	r.Reader = bufio.NewReaderSize(&r.source, size)
	return r
}

// CountHeads makes the Reader count in a Memory what heads take beyond a small size, until Release. It must be called before the first Expect.
func (r *Reader) CountHeads(m *Memory) { r.source.memory = m }

// Expect starts a part of a message: from now on at most limit bytes are read, besides those that are buffered already. Each line of a head
// counts for fieldBytes more than its text.
func (r *Reader) Expect(b Bound, limit int64) {
	r.source.left, r.source.bound, r.source.exceeded = limit, ExceededError{Bound: b, Limit: limit}, false
	r.source.head = HeadMeter{}
}

// ExpectNextHead continues a head after an interim reply. The limit of the last Expect holds for both.
func (r *Reader) ExpectNextHead() { r.source.head = HeadMeter{} }

// Release ends the counting of the heads that were read.
func (r *Reader) Release() {
	r.source.memory.Release(r.source.counted)
	r.source.cost, r.source.counted = 0, 0
}

// Exceeded returns the error of the bound that the peer exceeded since the last Expect, or nil. A parser may report a message that was cut
// by a bound as malformed.
func (r *Reader) Exceeded() error {
	if r.source.exceeded {
		return &r.source.bound
	}
	return nil
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		s.exceeded = true
		return 0, &s.bound
	}
	n, err := s.from.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	if s.bound.Bound == Head && !s.countHead(p[:n]) {
		s.exceeded, s.bound = true, ExceededError{Bound: Held, Limit: s.memory.Limit}
		return 0, &s.bound
	}
	return n, err
}

// countHead counts a piece of a head. It returns false if the memory has no room for it. The memory of callers is not taken for it: the
// upstream may be at fault.
func (s *source) countHead(piece []byte) bool {
	size, lines := s.head.Measure(piece)
	s.left -= int64(lines) * fieldBytes
	s.cost += HeadCost(piece[:size])
	due := s.cost - freeHeadBytes - s.counted
	if due <= 0 {
		return true
	}
	if !s.memory.TryTake(due) {
		return false
	}
	s.counted += due
	return true
}
