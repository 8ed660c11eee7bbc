package bounder

import (
	"bytes"
	"net/http"
)

const (
	// fieldBytes is what a header field takes in memory beside its text: strings, a slice and an entry of a map.
	fieldBytes = 128
	// textFactor is how often the text of a head is in memory while it is read and parsed.
	textFactor = 2
	// freeHeadBytes is what a head may take in memory before it is counted. Most heads take less, so that replies of upstreams which have run a request
	// can be read when there is no memory for more.
	freeHeadBytes = 8 << 10
)

// HeadCost returns the bytes that a part of a head takes in memory.
func HeadCost(text []byte) int64 {
	return int64(textFactor*len(text) + fieldBytes*bytes.Count(text, []byte{'\n'}))
}

// HeaderCost returns the bytes that the parsed header of a reply takes in memory beyond those that are not counted.
func HeaderCost(h http.Header) int64 {
	cost := int64(-freeHeadBytes)
	for name, values := range h {
		for _, value := range values {
			cost += int64(len(name) + len(value) + fieldBytes)
		}
	}
	return max(0, cost)
}

// HeadMeter finds the end of a head in the pieces that are read. The zero value expects the first line.
type HeadMeter struct {
	begun bool // the current line has a byte other than CR
	ended bool
}

// Ended reports whether the end of the head was found.
func (h *HeadMeter) Ended() bool { return h.ended }

// Measure returns how many bytes at the start of a piece belong to the head, and the number of its lines that end there.
func (h *HeadMeter) Measure(piece []byte) (size, lines int) {
	for size < len(piece) && !h.ended {
		rest := piece[size:]
		n := bytes.IndexByte(rest, '\n')
		if n < 0 {
			h.begun = h.begun || len(bytes.TrimLeft(rest, "\r")) > 0
			return len(piece), lines
		}
		h.ended = !h.begun && len(bytes.TrimLeft(rest[:n], "\r")) == 0
		h.begun = false
		size, lines = size+n+1, lines+1
	}
	return size, lines
}
