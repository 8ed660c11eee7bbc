package runner

import (
	"testing"

	"comfreyroute/platform/translator"
)

// TestMaxCallers guards against callers that leave no descriptors for upstreams or no memory for requests, and against a limit that no setting asks for.
func TestMaxCallers(t *testing.T) {
	cases := []struct {
		name     string
		settings translator.Settings
		want     int
	}{
		{"no limits", translator.Settings{}, 0},
		{"descriptors", translator.Settings{MaxSockets: 3900}, 1950},
		{"memory", translator.Settings{MemoryBytes: 136 << 20}, 1088},
		{"the smaller one", translator.Settings{MemoryBytes: 284 << 20, MaxSockets: 3900}, 1950},
		{"hardly any", translator.Settings{MemoryBytes: 1, MaxSockets: 1}, 1},
	}
	for _, c := range cases {
		if got := maxCallers(&c.settings); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
