package driver

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"comfreyroute/core/coordination/forwarder"
)

// fakeTransport records the actions. A Send to port 1 fails immediately as unreachable.
type fakeTransport struct {
	mu      sync.Mutex
	sends   []forwarder.Send
	cancels int
}

func (tr *fakeTransport) Do(a forwarder.Action) forwarder.Event {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	switch a := a.(type) {
	case forwarder.Send:
		tr.sends = append(tr.sends, a)
		if a.Address.Port() == 1 {
			return forwarder.AttemptEnded{Attempt: a.Attempt, Result: forwarder.Failed{Failure: forwarder.Unreachable}}
		}
	case forwarder.Cancel:
		tr.cancels++
	}
	return nil
}

func newDriver(ports ...uint16) (*Driver, *fakeTransport) {
	tr := &fakeTransport{}
	d := &Driver{Transport: tr}
	var upstreams []forwarder.Upstream
	for i, p := range ports {
		upstreams = append(upstreams, forwarder.Upstream{
			Name: string(rune('a' + i)), Service: "s", Slots: 1, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), p),
		})
	}
	d.HandleEvent(forwarder.UpstreamsListed{Upstreams: upstreams})
	d.HandleEvent(forwarder.ManifestAdopted{Manifest: forwarder.NewManifest(1, []forwarder.Route{{
		Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: 100 * time.Millisecond, MaxAttempts: 1,
		Destination: forwarder.Split{Services: []forwarder.WeightedService{{Service: "s", Weight: 1}}},
	}}, []forwarder.Service{{Name: "s", MaxConnections: 100}}, forwarder.Limits{})})
	return d, tr
}

func (d *Driver) submitTestRequest() (forwarder.RequestID, <-chan forwarder.Answer) {
	return d.SubmitRequest(forwarder.RequestArrived{Message: &forwarder.Message{Host: "h", Path: "/x"}})
}

// TestImmediateFailure guards against a lost event of a Send that fails to start: it must reach the machine in the same call.
func TestImmediateFailure(t *testing.T) {
	d, tr := newDriver(1, 1)
	_, answers := d.submitTestRequest()
	a := <-answers
	if o, ok := a.Outcome.(forwarder.Refused); !ok || len(tr.sends) != 2 {
		t.Errorf("outcome %+v after %d sends", o, len(tr.sends))
	}
}

// TestTimer guards against a request that is never answered because its upstream does not reply.
func TestTimer(t *testing.T) {
	d, _ := newDriver(2)
	_, answers := d.submitTestRequest()
	select {
	case a := <-answers:
		if _, ok := a.Outcome.(forwarder.Unknown); !ok {
			t.Errorf("outcome %+v", a.Outcome)
		}
	case <-time.After(10 * time.Second):
		t.Error("no answer")
	}
}

// TestCancelRequest guards against attempts that continue after the caller has left.
func TestCancelRequest(t *testing.T) {
	d, tr := newDriver(2)
	id, _ := d.submitTestRequest()
	d.CancelRequest(id)
	d.CancelRequest(id)
	if tr.cancels != 1 {
		t.Errorf("%d attempts cancelled, want 1", tr.cancels)
	}
}
