package tabler

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

var equateAddress = cmpopts.EquateComparable(netip.AddrPort{})

// exampleValue returns a valid value of a search service with two groups of two upstreams.
func exampleValue() *Value {
	r := NewServiceRow("matching")
	r.Callers = []CallerWeight{{"app", 3}, {"web", 1}}
	r.HedgeBudget = 0.07
	r.Objective = Objective{Latency: 72 * time.Millisecond, LatencyShare: 0.99, CoverageShare: 1}
	v := &Value{Revision: 4, Service: r, Edits: []Edit{{ID: "e1", Who: "ops", When: time.Unix(1, 0).UTC(), Summary: "added"}}}
	for i, name := range []string{"m0a", "m0b", "m1a", "m1b"} {
		v.Upstreams = append(v.Upstreams, UpstreamRow{
			Service: "matching", Group: i / 2, Upstream: name, FailureDomain: "d" + name[2:], Weight: 100 * (i % 2), Connections: 25,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i)), Slots: 2, ConnectCost: 5 * time.Millisecond,
		})
	}
	return v
}

// TestEncodeRoundTrip guards against a cell that is lost or rounded when one VM stores a value and another VM reads it.
func TestEncodeRoundTrip(t *testing.T) {
	values := []*Value{
		exampleValue(),
		{Revision: 2, Service: NewServiceRow(FleetService), Fleet: Fleet{Max: 12}},
		{Revision: 3, Service: NewServiceRow("roster"), Removed: true},
	}
	for _, v := range values {
		data, err := Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(v.Service.Service, v.Revision, data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(v, got, equateAddress); diff != "" {
			t.Errorf("%s (-want +got):\n%s", v.Service.Service, diff)
		}
	}
}

// TestDecodeRejects guards against accepting a malformed or oversized value.
func TestDecodeRejects(t *testing.T) {
	cases := []struct{ name, service, input string }{
		{"unknown field", "matching", `{"service":{"color":"red"}}`},
		{"trailing value", "matching", `{"service":{}} {}`},
		{"oversized", "matching", `{"service":{}}` + strings.Repeat(" ", MaxValueBytes)},
		{"no service row", "matching", `{}`},
		{"fleet row in a service", "matching", `{"service":{},"fleet":{"max":3}}`},
		{"no fleet row", FleetService, `{}`},
		{"duration without unit", "matching", `{"service":{"deadline":"72"}}`},
		{"slash in the service name", "match/ing", `{"service":{}}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Decode(c.service, 1, []byte(c.input)); err == nil {
				t.Error("the value was accepted")
			}
		})
	}
}

// TestValidateListsEveryError guards against an invalid cell that is accepted, and against a validation that stops at the first
// invalid cell, so that an operator has to correct the cells one by one.
func TestValidateListsEveryError(t *testing.T) {
	v := exampleValue()
	v.Service.Deadline, v.Service.HedgeBudget, v.Service.Queue = 0, 2, -1
	v.Service.Callers = []CallerWeight{{"web", 1}, {"web", 2}}
	v.Service.Objective.CoverageShare = 1.5
	v.Upstreams[1].Upstream, v.Upstreams[1].Address = "m0a", v.Upstreams[0].Address
	v.Upstreams[2].Group, v.Upstreams[2].Weight, v.Upstreams[2].Slots = 3, -1, 0
	var errs FieldErrors
	if !errors.As(v.Validate(), &errs) {
		t.Fatal("the value was accepted")
	}
	var got []string
	for _, f := range errs {
		got = append(got, f.Upstream+"."+f.Field+"="+f.Value)
	}
	want := []string{
		".deadline=0s", ".budget=200", ".queue=-1", ".callers=web=1 web=2", ".coverage=1.5",
		"m0a.name=m0a", "m0a.address=127.0.0.1:9000", "m1a.weight=-1", "m1a.slots=0", "m1a.group=3",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("invalid cells (-want +got):\n%s", diff)
	}
}

// TestSnapshotWith guards against a late message that reverts a value or restores a removed service.
func TestSnapshotWith(t *testing.T) {
	var s *Snapshot
	row := NewServiceRow("roster")
	s = s.WithValue(exampleValue()).WithValue(&Value{Revision: 5, Service: row}).WithValue(&Value{Revision: 9, Service: row, Removed: true})
	s = s.WithValue(&Value{Revision: 8, Service: row}).WithValue(&Value{Revision: 9, Service: row})
	s = s.WithValue(&Value{Revision: 7, Service: NewServiceRow(FleetService), Fleet: Fleet{Max: 20}})
	got := []any{s.FindService("roster") == nil, s.Revision("roster"), s.FindService("matching").Revision, s.FleetMax(), len(s.AllValues())}
	if diff := cmp.Diff([]any{true, uint64(9), uint64(4), 20, 3}, got); diff != "" {
		t.Errorf("snapshot (-want +got):\n%s", diff)
	}
}

// FuzzDecode guards against a decoder that panics, or that accepts a value that does not survive encoding and decoding.
func FuzzDecode(f *testing.F) {
	data, _ := Encode(exampleValue())
	for _, s := range []string{string(data), `{"removed":true}`, `{"service":{"budget":5,"callers":"a=1 b=2"}}`, `{"service":null}`, `[]`} {
		f.Add("matching", []byte(s))
	}
	f.Add(FleetService, []byte(`{"fleet":{"max":12}}`))
	f.Fuzz(func(t *testing.T, service string, data []byte) {
		v, err := Decode(service, 1, data)
		if err != nil {
			return
		}
		again, err := Encode(v)
		if err != nil {
			t.Fatalf("a decoded value does not encode: %v", err)
		}
		w, err := Decode(service, 1, again)
		if err != nil {
			t.Fatalf("an encoded value does not decode: %v\n%s", err, again)
		}
		if third, _ := Encode(w); string(third) != string(again) {
			t.Fatalf("the encoded form changes on the second round trip:\n%s\n%s", again, third)
		}
	})
}
