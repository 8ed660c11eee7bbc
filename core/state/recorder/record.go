package recorder

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// MaxLineBytes is the maximum length of a line. The longest record holds a whole table.
const MaxLineBytes = 32 << 20

// Record is one line of a trace. Number counts the steps of the machine from 1, so that a reader can check that the trace
// starts at the first step and has no gap.
type Record struct {
	Number  uint64          `json:"number"`
	Time    time.Time       `json:"time"`
	Kind    string          `json:"kind"`
	Event   json.RawMessage `json:"event"`
	Actions []Action        `json:"actions,omitempty"`
}

// Action is one action of a step.
type Action struct {
	Kind   string          `json:"kind"`
	Action json.RawMessage `json:"action"`
}

// Encode returns the line of a record, including the newline. It returns an error when an event or action is not valid JSON.
func Encode(r Record) ([]byte, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return nil, eris.Wrapf(err, "encode record %d", r.Number)
	}
	return append(line, '\n'), nil
}

// Decode decodes one line. It returns an error for unknown fields, trailing data, a missing number, kind or event, and lines
// longer than MaxLineBytes.
func Decode(line []byte) (Record, error) {
	var r Record
	if len(line) > MaxLineBytes {
		return r, eris.Errorf("line has %d bytes, limit is %d", len(line), MaxLineBytes)
	}
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return Record{}, eris.Wrap(err, "decode record")
	}
	if _, err := d.Token(); err != io.EOF {
		return Record{}, eris.New("record has trailing data after its JSON object")
	}
	if r.Number == 0 || r.Kind == "" || len(r.Event) == 0 {
		return Record{}, eris.New("record has no number, kind or event")
	}
	for k := range r.Actions {
		if r.Actions[k].Kind == "" || len(r.Actions[k].Action) == 0 {
			return Record{}, eris.Errorf("record %d: action %d has no kind or content", r.Number, k)
		}
	}
	return r, nil
}
