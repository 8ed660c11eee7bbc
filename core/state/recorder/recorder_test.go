package recorder

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var sample = Record{
	Number: 3, Time: time.Date(2026, 1, 1, 0, 0, 0, 5, time.UTC), Kind: "CallerGone", Event: json.RawMessage(`{"Request":1}`),
	Actions: []Action{{Kind: "Cancel", Action: json.RawMessage(`{"Attempt":2}`)}},
}

// TestRecordRoundTrip guards against a record that changes when it is encoded and read back.
func TestRecordRoundTrip(t *testing.T) {
	line, err := Encode(sample)
	if err != nil {
		t.Fatal(err)
	}
	var got []Record
	err = ReadRecords(bytes.NewReader(bytes.Repeat(line, 2)), func(r Record) error {
		got = append(got, r)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]Record{sample, sample}, got); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
}

// TestReadRecordsRejects guards against a damaged trace that is read without an error.
func TestReadRecordsRejects(t *testing.T) {
	cases := []struct{ name, line string }{
		{"no number", `{"time":"2026-01-01T00:00:00Z","kind":"A","event":{}}`},
		{"no kind", `{"number":1,"event":{}}`},
		{"no event", `{"number":1,"kind":"A"}`},
		{"unknown field", `{"number":1,"kind":"A","event":{},"x":1}`},
		{"two values", `{"number":1,"kind":"A","event":{}}{}`},
		{"action without kind", `{"number":1,"kind":"A","event":{},"actions":[{"action":{}}]}`},
		{"truncated", `{"number":1,"kind":"A","ev`},
	}
	for _, c := range cases {
		err := ReadRecords(strings.NewReader(c.line+"\n"), func(Record) error { return nil })
		if err == nil || !strings.Contains(err.Error(), "line 1") {
			t.Errorf("%s: error %v does not name line 1", c.name, err)
		}
	}
}

// TestRingKeepsLastValues guards against a ring that loses or renumbers values when it wraps around.
func TestRingKeepsLastValues(t *testing.T) {
	for _, n := range []int{0, 1, 3, 4, 7} {
		r := Ring[int]{Limit: 3}
		for k := 1; k <= n; k++ {
			r.Add(k)
		}
		var got, want []uint64
		for k := max(1, n-2); k <= n; k++ {
			want = append(want, uint64(k), uint64(k))
		}
		_ = r.Each(func(number uint64, v int) error {
			got = append(got, number, uint64(v))
			return nil
		})
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%d values (-want +got):\n%s", n, diff)
		}
	}
}

// FuzzDecode guards against input that makes the decoder panic, or that it accepts but Encode rejects.
func FuzzDecode(f *testing.F) {
	line, _ := Encode(sample)
	for _, s := range []string{string(line), `{"number":1,"kind":"A","event":null}`, `[]`, `{"number":`, ``} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		r, err := Decode(line)
		if err != nil {
			return
		}
		if _, err := Encode(r); err != nil {
			t.Fatalf("accepted %q, but: %v", line, err)
		}
	})
}
