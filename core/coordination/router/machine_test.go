package router

import (
	"testing"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// TestPlainRequests guards against a request without faults that is not answered as done by one sub-request for each group.
func TestPlainRequests(t *testing.T) {
	cases := []struct {
		service string
		kind    encoder.SubKind
		sends   int
	}{{"matching", encoder.SubSearch, testGroups}, {"profiles", encoder.SubLookup, 1}, {"profiles", encoder.SubCall, 1}}
	for _, c := range cases {
		w := newWorld(1)
		w.step(RequestArrived{Request: 1, Service: c.service, Kind: c.kind})
		w.run(epoch.Add(time.Second))
		done := false
		switch a := w.answers[1].(type) {
		case *encoder.SearchAnswer:
			done = a.Outcome == encoder.OutcomeDone && a.Snapshot == 7 && len(a.Covered) == testGroups*testShards
		case *encoder.CallAnswer:
			done = a.Outcome == encoder.OutcomeDone
		}
		if !done || len(w.sends) != c.sends || w.err != nil {
			t.Errorf("%s: %d sends, error %v, answer %+v", c.kind, len(w.sends), w.err, w.answers[1])
		}
	}
}
