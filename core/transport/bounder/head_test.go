package bounder

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// TestHeadsAreCounted guards against a memory that fills with heads which nothing counts, against bytes that stay counted, and against a reply that is cut because its body,
// which is read together with the head, has many lines.
func TestHeadsAreCounted(t *testing.T) {
	const limit, memoryLimit = 64 << 10, 40 << 10
	head := func(fields int) string { return "HTTP/1.1 200 OK\r\n" + strings.Repeat("x:\r\n", fields) + "\r\n" }
	tooLarge := &ExceededError{Bound: Head, Limit: limit}
	noRoom := &ExceededError{Bound: Held, Limit: memoryLimit}
	cases := []struct {
		name  string
		text  string
		taken int64 // by others
		want  error
		held  int64
	}{
		{"small", head(20), 0, nil, 0},
		{"small, no room", head(20), memoryLimit, nil, 0},
		{"many fields", head(100), 0, nil, HeadCost([]byte(head(100))) - freeHeadBytes},
		{"many fields, no room", head(100), memoryLimit, noRoom, 0},
		{"too many fields", head(1000), 0, noRoom, -1},
		{"no end", "HTTP/1.1 200 O" + strings.Repeat("K", limit), -1 << 40, tooLarge, -1},
		{"no end of the fields", head(10)[:len(head(10))-2] + strings.Repeat("x:\r\n", limit), -1 << 40, tooLarge, -1},
		{"a body of many lines", head(20) + strings.Repeat("\r\n", 1000), memoryLimit, nil, 0},
	}
	for _, c := range cases {
		for name, reader := range map[string]func(io.Reader) io.Reader{"at once": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader} {
			m := &Memory{Limit: memoryLimit}
			m.Take(c.taken)
			r := NewReader(reader(strings.NewReader(c.text)), 2<<10)
			r.CountHeads(m)
			r.Expect(Head, limit)
			_, err := readHead(r)
			if diff := cmp.Diff(c.want, errors.Unwrap(err)); diff != "" {
				t.Errorf("%s, %s: error (-want +got):\n%s", c.name, name, diff)
			}
			if held := m.Held() - c.taken; c.held >= 0 && held != c.held {
				t.Errorf("%s, %s: %d bytes are counted, want %d", c.name, name, held, c.held)
			}
			r.Release()
			if held := m.Held() - c.taken; held != 0 {
				t.Errorf("%s, %s: %d bytes stay counted", c.name, name, held)
			}
		}
	}
}

// wrapped keeps the errors of a Reader apart from those that io returns.
type wrapped struct{ error }

func (w wrapped) Unwrap() error { return w.error }

// readHead reads the lines up to the first empty one.
func readHead(r *Reader) (lines int, err error) {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return lines, wrapped{err}
		}
		if lines++; line == "\r\n" {
			return lines, nil
		}
	}
}

// TestHeadsAfterInterimReplies guards against interim replies without an end, of which each has a bound of its own.
func TestHeadsAfterInterimReplies(t *testing.T) {
	const limit = 2 << 10
	r := NewReader(strings.NewReader(strings.Repeat("HTTP/1.1 103 Early Hints\r\nx:\r\n\r\n", 1000)), 16)
	r.Expect(Head, limit)
	heads := 0
	for ; heads < 100; heads++ {
		if _, err := readHead(r); err != nil {
			break
		}
		r.ExpectNextHead()
	}
	if most := limit / fieldBytes; heads > most {
		t.Errorf("%d heads were read, want at most %d", heads, most)
	}
	if r.Exceeded() == nil {
		t.Error("the bound was not exceeded")
	}
}

// TestHeaderCost guards against headers that wait for their callers and count for nothing.
func TestHeaderCost(t *testing.T) {
	h := http.Header{}
	for n := range 10 {
		h.Set(strconv.Itoa(n), "value")
	}
	if got := HeaderCost(h); got != 0 {
		t.Errorf("a small header counts for %d bytes, want 0", got)
	}
	h["Many"] = make([]string, 1000)
	if got, want := HeaderCost(h), int64(1000*fieldBytes-freeHeadBytes); got < want {
		t.Errorf("a header with 1000 values counts for %d bytes, want at least %d", got, want)
	}
}

// FuzzHeadMeter guards against a head whose end depends on the pieces in which it arrives.
func FuzzHeadMeter(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nx: y\r\n\r\nbody\n\n"), 3)
	f.Add([]byte("\r\r\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		var whole, pieces HeadMeter
		size, lines := whole.Measure(text)
		gotSize, gotLines := 0, 0
		for p := range slices.Chunk(text, max(1, piece)) {
			s, l := pieces.Measure(p)
			gotSize, gotLines = gotSize+s, gotLines+l
		}
		if gotSize != size || gotLines != lines {
			t.Errorf("%d bytes and %d lines in pieces, %d and %d at once", gotSize, gotLines, size, lines)
		}
	})
}
