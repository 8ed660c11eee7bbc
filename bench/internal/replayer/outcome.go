package replayer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/protocol/encoder"
)

// maxLineBytes is the maximum length of a line of an outcomes file, in bytes.
const maxLineBytes = 64 << 10

// Outcome is the outcome of one request in a replay, or its expected outcome. It is written as one JSON line of an outcomes file.
type Outcome struct {
	Request  router.RequestID `json:"request"`
	Service  string           `json:"service"`
	Kind     encoder.SubKind  `json:"kind"`
	Outcome  encoder.Outcome  `json:"outcome"` // empty if the trace has no answer to the request
	Reason   string           `json:"reason,omitempty"`
	Snapshot uint64           `json:"snapshot,omitempty"`
	Covered  []int            `json:"covered,omitempty"`
	Missing  []int            `json:"missing,omitempty"`
}

// ReadOutcomes reads an outcomes file and skips empty lines. An error for an invalid line names its number.
func ReadOutcomes(in io.Reader) ([]Outcome, error) {
	var all []Outcome
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for line := 1; s.Scan(); line++ {
		if len(s.Bytes()) == 0 {
			continue
		}
		var o Outcome
		if err := encoder.DecodeBytes(s.Bytes(), maxLineBytes, &o); err != nil {
			return nil, eris.Wrapf(err, "line %d", line)
		}
		all = append(all, o)
	}
	return all, eris.Wrap(s.Err(), "read outcomes")
}

// WriteOutcomes writes an outcomes file with one line for each outcome.
func WriteOutcomes(out io.Writer, all []Outcome) error {
	e := json.NewEncoder(out)
	for _, o := range all {
		if err := e.Encode(o); err != nil {
			return eris.Wrap(err, "write outcomes")
		}
	}
	return nil
}

// CompareOutcomes returns the differences between the expected outcomes and those of a replay. Every request of the replay must
// have exactly one expected outcome.
func CompareOutcomes(want, got []Outcome) []string {
	byRequest := make(map[router.RequestID]Outcome)
	for _, o := range got {
		byRequest[o.Request] = o
	}
	var faults []string
	for _, w := range want {
		g, ok := byRequest[w.Request]
		delete(byRequest, w.Request)
		switch {
		case !ok:
			faults = append(faults, fmt.Sprintf("request %d is not in the trace or has two expected outcomes", w.Request))
		case !w.equal(g):
			faults = append(faults, fmt.Sprintf("request %d: got %+v, want %+v", w.Request, g, w))
		}
	}
	for _, g := range got {
		if _, unmatched := byRequest[g.Request]; unmatched {
			faults = append(faults, fmt.Sprintf("request %d has no expected outcome", g.Request))
		}
	}
	return faults
}

func (o Outcome) equal(p Outcome) bool {
	return o.Request == p.Request && o.Service == p.Service && o.Kind == p.Kind && o.Outcome == p.Outcome && o.Reason == p.Reason &&
		o.Snapshot == p.Snapshot && slices.Equal(o.Covered, p.Covered) && slices.Equal(o.Missing, p.Missing)
}
