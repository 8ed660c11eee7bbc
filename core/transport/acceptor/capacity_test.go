package acceptor

import "testing"

// TestCapacity guards against callers that leave no descriptors for upstreams or no memory for requests, and against a limit that no setting asks for.
func TestCapacity(t *testing.T) {
	cases := []struct {
		name    string
		sockets int
		memory  int64
		want    int
	}{
		{"no limits", 0, 0, 0},
		{"descriptors", 3900, 0, 1950},
		{"memory", 0, 136 << 20, 1088},
		{"the smaller one", 3900, 284 << 20, 1950},
		{"hardly any", 1, 1, 1},
	}
	for _, c := range cases {
		if got := Capacity(c.sockets, c.memory); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
