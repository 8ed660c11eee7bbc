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
		if same := m.Signature() == base().Signature(); same != c.same {
			t.Errorf("%s changed: same signature %t, want %t", c.name, same, c.same)
		}
	}
}
