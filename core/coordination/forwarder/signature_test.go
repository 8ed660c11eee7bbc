package forwarder

import (
	"net/http"
	"testing"
)

// TestSignature guards against a request that is not recognized when it comes again, and against different requests that are taken for one.
func TestSignature(t *testing.T) {
	base := func() *Message {
		return &Message{RequestID: "1", Method: "POST", Host: "h", Path: "/a", Target: "/a?x=1", Body: []byte("b"), Header: http.Header{"Cookie": {"c"}, "User-Agent": {"u"}}}
	}
	cases := []struct {
		name   string
		change func(*Message)
		same   bool
	}{
		{"id", func(m *Message) { m.RequestID = "2" }, true},
		{"program of the caller", func(m *Message) { m.Header.Set("User-Agent", "v") }, true},
		{"method", func(m *Message) { m.Method = "PUT" }, false},
		{"host", func(m *Message) { m.Host = "i" }, false},
		{"path", func(m *Message) { m.Target = "/b?x=1" }, false},
		{"query", func(m *Message) { m.Target = "/a?x=2" }, false},
		{"credentials", func(m *Message) { m.Header.Set("Cookie", "d") }, false},
		{"credentials of another kind", func(m *Message) { m.Header = http.Header{"Authorization": {"c"}} }, false},
		{"body", func(m *Message) { m.Body = []byte("c") }, false},
		{"end of the host moved to the path", func(m *Message) { m.Host, m.Target = "", "h/a?x=1" }, false},
	}
	for _, c := range cases {
		m := base()
		c.change(m)
		if same := m.Signature(Identity{}) == base().Signature(Identity{}); same != c.same {
			t.Errorf("%s changed: same signature %t, want %t", c.name, same, c.same)
		}
	}
}

// TestSignatureOfCustomer guards against a request that is not recognized when it comes through a peer, which does not get the caller's key, or with
// another key of the same customer.
func TestSignatureOfCustomer(t *testing.T) {
	signature := func(key, customer string) uint64 {
		m := &Message{Method: "GET", Host: "h", Target: "/a"}
		if key != "" {
			m.Identity = http.Header{"X-Api-Key": {key}}
		}
		return m.Signature(Identity{Verified: true, Customer: customer})
	}
	first := signature("k", "acme")
	if signature("", "acme") != first || signature("l", "acme") != first {
		t.Error("the signature depends on the key, want it to depend on the customer")
	}
	if signature("k", "other") == first {
		t.Error("requests of two customers have the same signature")
	}
}
