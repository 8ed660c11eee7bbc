package bounder

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// smallBytes is the size up to which the body of a reply is not counted. Most bodies are smaller, and those of all connections together
	// fit into what a VM keeps free beside its Memory. It is also the most that the first buffer of a body takes.
	smallBytes = 16 << 10
	// firstBytes is the size of the first buffer of a body whose length is not known.
	firstBytes = 2 << 10

	// roomTime is how long Claim waits for bytes that MakeRoom has freed, and roomInterval how often it looks.
	roomTime     = 50 * time.Millisecond
	roomInterval = time.Millisecond
)

// Memory limits the bytes that the messages of all connections hold at once. The zero value has no limit, and nil counts
// nothing. It is safe for concurrent use.
type Memory struct {
	Limit int64 // in bytes, 0 for none; must be set before the first use
	// MakeRoom gives up connections that hold about a number of bytes. Their bytes are released soon after. It returns false if it can give up
	// none. It may be nil, and must be set before the first use.
	MakeRoom func(bytes int64) bool

	held atomic.Int64
}

// Held returns the number of bytes that are counted now.
func (m *Memory) Held() int64 {
	if m == nil {
		return 0
	}
	return m.held.Load()
}

// Claim counts n bytes if they are within the limit, or if others make room for them.
func (m *Memory) Claim(n int64) bool {
	if m.TryTake(n) {
		return true
	}
	if m.MakeRoom == nil || n > m.Limit || !m.MakeRoom(n) {
		return false
	}
	for waited := time.Duration(0); waited < roomTime; waited += roomInterval {
		if m.TryTake(n) {
			return true
		}
		time.Sleep(roomInterval)
	}
	return false
}

// TryTake counts n bytes if they are within the limit.
func (m *Memory) TryTake(n int64) bool {
	if m == nil || n == 0 {
		return true
	}
	if held := m.held.Add(n); m.Limit > 0 && held > m.Limit {
		m.held.Add(-n)
		return false
	}
	return true
}

// Take counts n bytes that are in memory already, even beyond the limit.
func (m *Memory) Take(n int64) {
	if m != nil {
		m.held.Add(n)
	}
}

// EnforceLimit lets others make room for what Take has counted beyond the limit.
func (m *Memory) EnforceLimit() {
	if m == nil || m.MakeRoom == nil || m.Limit <= 0 {
		return
	}
	if excess := m.held.Load() - m.Limit; excess > 0 {
		m.MakeRoom(excess) // there may be none
	}
}

// Release ends the counting of n bytes.
func (m *Memory) Release(n int64) { m.Take(-n) }

// ReadBody reads the body of a reply up to the end of r. Length is its announced length, -1 if there is none. A longer body than limit and one
// that does not fit into the Memory end with an ExceededError. A small body is not counted and always fits, because the request has run. The
// buffer grows with the bytes that have arrived, whatever length the peer announced. The caller passes held to Release when it no longer needs
// the body; after an error held is 0.
func (m *Memory) ReadBody(r io.Reader, length, limit int64) (body []byte, held int64, err error) {
	return m.readBody(r, length, limit, smallBytes)
}

// ReadCounted is ReadBody for the body of a request, which is counted from the first byte.
func (m *Memory) ReadCounted(r io.Reader, length, limit int64) (body []byte, held int64, err error) {
	return m.readBody(r, length, limit, 0)
}

// readBody reads a body of which the first buffers, up to a number of bytes, are not counted.
func (m *Memory) readBody(r io.Reader, length, limit, uncounted int64) (body []byte, held int64, err error) {
	if length > limit {
		return nil, 0, &ExceededError{Bound: Body, Limit: limit}
	}
	size := min(firstBytes, limit+1)
	if length >= 0 {
		size = min(length, smallBytes)
	}
	if body, held, err = m.grow(nil, 0, size, uncounted); err != nil {
		return nil, 0, err
	}
	for {
		if len(body) == cap(body) {
			switch full := int64(len(body)); {
			case full == length:
				return body, held, nil
			case full > limit:
				err = &ExceededError{Bound: Body, Limit: limit}
			default:
				size = min(2*full+firstBytes, limit+1) // one more byte shows that the body is too long
				if length >= 0 {
					size = min(size, length)
				}
				body, held, err = m.grow(body, held, size, uncounted)
			}
			if err != nil {
				m.Release(held)
				return nil, 0, err
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && (length < 0 || int64(len(body)) == length):
			return body, held, nil
		case err == io.EOF:
			err = io.ErrUnexpectedEOF
			fallthrough
		case err != nil:
			m.Release(held)
			return nil, 0, err
		}
	}
}

// grow returns a larger buffer with the same content. held is the number of bytes that the buffers count for, also after an error.
func (m *Memory) grow(body []byte, held, size, uncounted int64) ([]byte, int64, error) {
	cost := size
	if size <= uncounted {
		cost = 0
	}
	if !m.Claim(cost) {
		return body, held, &ExceededError{Bound: Held, Limit: m.Limit}
	}
	grown := append(make([]byte, 0, size), body...)
	m.Release(held)
	return grown, cost, nil
}
