package forwarder

import (
	"testing"
	"time"
)

// TestLateRequestsAtStop guards against requests that are taken late in the grace time of a planned stop and cut without an answer at its end,
// among them requests that must not run twice.
func TestLateRequestsAtStop(t *testing.T) {
	const grace = 5 * time.Second
	h := newReadyHarness(t, 2)
	for range 60 { // the route's usual latency becomes known
		h.request("/once/x", 0)
		h.advance(30 * time.Millisecond)
		h.reply("point")
	}
	h.step(StopBegun{AnswerBy: h.now.Add(grace)})
	stop := h.now.Add(grace)
	early := h.request("/once/x", 0)
	h.advance(30 * time.Millisecond)
	h.reply("point")
	if _, ok := h.answers[early].Outcome.(Relayed); !ok {
		t.Errorf("a request at the begin of the grace time: %#v, want its reply", h.answers[early].Outcome)
	}
	h.advance(stop.Sub(h.now) - 500*time.Millisecond)
	slow := h.request("/once/x", 0)
	h.takeSend("point")
	h.advance(480 * time.Millisecond)
	late := h.request("/once/x", 0)
	if o, ok := h.answers[late].Outcome.(Refused); !ok || o.Reason != Stopping || o.RetryAfter <= 0 {
		t.Errorf("a request that the rest of the grace time does not fit: %#v, want a refusal", h.answers[late].Outcome)
	}
	if len(h.pending) > 0 {
		t.Error("the refused request was sent")
	}
	h.advance(20 * time.Millisecond)
	if o, ok := h.answers[slow].Outcome.(Unknown); !ok || o.Reason != Expired {
		t.Errorf("a request without a reply at the end of the grace time: %#v, want an unknown outcome", h.answers[slow].Outcome)
	}
	after := h.request("/one/x", 0)
	if _, ok := h.answers[after].Outcome.(Refused); !ok {
		t.Errorf("a request after the grace time: %#v, want a refusal", h.answers[after].Outcome)
	}
}

// TestStopEndsRequestsInProgress guards against requests that began before the stop and outlast the grace time.
func TestStopEndsRequestsInProgress(t *testing.T) {
	h := newReadyHarness(t, 2)
	once, all := h.request("/once/x", 0), h.request("/all/x", 0)
	h.reply("shard0")
	h.step(StopBegun{AnswerBy: h.now.Add(200 * time.Millisecond)})
	h.advance(200 * time.Millisecond)
	for _, id := range []RequestID{once, all} {
		if _, ok := h.answers[id].Outcome.(Unknown); !ok {
			t.Errorf("request %d has the outcome %#v at the end of the grace time, want an unknown one", id, h.answers[id].Outcome)
		}
	}
}
