package encoder

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestDecodeRejects guards against accepting malformed or oversized input.
func TestDecodeRejects(t *testing.T) {
	cases := []struct {
		name     string
		input    string
		limit    int64
		accepted bool
	}{
		{"valid", `{"service":"matching","query":"q"}`, 100, true},
		{"unknown field", `{"service":"matching","limit":1}`, 100, false},
		{"trailing value", `{"service":"matching"}{}`, 100, false},
		{"trailing space", "{\"service\":\"matching\"}\n", 100, true},
		{"oversized", `{"service":"` + strings.Repeat("m", 100) + `"}`, 100, false},
		{"truncated", `{"service":`, 100, false},
		{"wrong type", `{"service":7}`, 100, false},
		{"empty", ``, 100, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r SearchRequest
			err := Decode(strings.NewReader(c.input), c.limit, &r)
			if diff := cmp.Diff(c.accepted, err == nil); diff != "" {
				t.Errorf("accepted (-want +got):\n%s\nerror: %v", diff, err)
			}
		})
	}
}

// FuzzDecode guards against malformed input that makes the decoder panic, and against accepting empty input.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{`{"service":"matching","query":"q"}`, `{"held":[{"version":1,"shards":[0]}]}`, `[]`, `null`, `{"`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, v := range []any{&SearchRequest{}, &LookupRequest{}, &CallRequest{}, &TicketsRequest{}, &SubReply{}, &RangeReply{}, &WatchReply{}, &VMList{}} {
			if err := DecodeBytes(data, MaxCallerBytes, v); err == nil && len(data) == 0 {
				t.Fatal("empty input was accepted")
			}
		}
	})
}
