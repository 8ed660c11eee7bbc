package forwarder

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestUnsignedSuccess guards against a success that reaches the caller although nothing proves that an upstream gave it.
func TestUnsignedSuccess(t *testing.T) {
	unsigned := Replied{Reply: &Reply{Status: 200, Body: []byte("x")}}
	signed := Replied{Reply: &Reply{Status: 200, Signature: "stamp"}}
	overrun := Replied{Reply: &Reply{Status: 200, Signature: "stamp", Overrun: true}}
	cases := []struct {
		name    string
		path    string
		replies []Result // of the upstreams, in turn
		want    Outcome
	}{
		{"another upstream answers", "/one/x", []Result{unsigned, signed}, Relayed(signed)},
		{"no attempt is left", "/one/x", []Result{unsigned, unsigned}, Unknown{Reason: Errored}},
		{"must not run twice", "/once/x", []Result{unsigned}, Unknown{Reason: Errored}},
		{"too long, another upstream answers", "/one/x", []Result{overrun, signed}, Relayed(signed)},
		{"too long, must not run twice", "/once/x", []Result{overrun}, Unknown{Reason: Errored}},
		{"an error before", "/one/x", []Result{failedReply(500), unsigned}, Unknown{Reason: Errored}},
		{"an error after", "/one/x", []Result{unsigned, failedReply(500)}, Relayed{Reply: failedReply(500).Reply}},
		{"no content", "/once/x", []Result{Replied{Reply: &Reply{Status: 204}}}, Unknown{Reason: Errored}},
		{"a failure needs no signature", "/once/x", []Result{Replied{Reply: &Reply{Status: 404}}}, Relayed{Reply: &Reply{Status: 404}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t, 1)
			for range 40 { // tokens for a retry
				h.request("/one/x", 0)
				h.reply("point")
			}
			id := h.request(c.path, 0)
			for _, reply := range c.replies {
				h.endAttempt(h.takeSend("point"), reply)
			}
			if diff := cmp.Diff(c.want, h.answers[id].Outcome); diff != "" || len(h.pending) > 0 {
				t.Errorf("%d sends pending, outcome (-want +got):\n%s", len(h.pending), diff)
			}
		})
	}
	t.Run("from a peer", func(t *testing.T) {
		h := newReadyHarness(t, 4)
		h.listPeers(5)
		h.strand()
		id := h.request("/once/x", 0)
		s, ok := h.takeDetour()
		if !ok {
			t.Fatal("the request does not go through a peer")
		}
		h.endAttempt(s, PeerAnswered{Outcome: Relayed(unsigned), Runs: 1})
		if diff := cmp.Diff(Outcome(Unknown{Reason: Errored}), h.answers[id].Outcome); diff != "" {
			t.Errorf("outcome (-want +got):\n%s", diff)
		}
	})
}
