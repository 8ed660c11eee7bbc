package measurer

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestParseUsage guards against wrong fields when the program name contains spaces or brackets, and against a truncated line that
// is accepted.
func TestParseUsage(t *testing.T) {
	const rest = " S 1 1 1 0 -1 4194304 100 0 0 0 150 50 0 0 20 0 9 0 1000 999999 7 18446744073709551615"
	want := Usage{CPU: 2 * time.Second, Resident: 7 * int64(os.Getpagesize())}
	cases := []struct {
		name, line string
		faulty     bool
	}{
		{"plain", "12 (entry)" + rest, false},
		{"spaces and brackets", "12 (a (b) c)" + rest, false},
		{"too few fields", "12 (entry) S 1", true},
		{"empty", "", true},
	}
	for _, c := range cases {
		got, err := parseUsage([]byte(c.line))
		if (err != nil) != c.faulty {
			t.Errorf("%s: error %v", c.name, err)
		} else if diff := cmp.Diff(want, got); !c.faulty && diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}
