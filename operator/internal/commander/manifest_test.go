package commander

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCheckManifest guards against an exit code by which a script would send a manifest with faults, or none.
func TestCheckManifest(t *testing.T) {
	const good = `{"version":8,"routes":[{"name":"a","host":"h","prefix":"/","kind":"idempotent","max-attempts":1,"service":"s"}],"services":[{"name":"s","max-conns":1}]}`
	directory := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	manifest, bad, older := file("good", good), file("bad", strings.Replace(good, `"max-attempts":1`, `"max-attempts":0`, 1)), file("older", strings.Replace(good, "8", "7", 1))
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/kv-key" && r.URL.Query().Get("key") == "op/config" {
			_, _ = w.Write([]byte(`{"key":"op/config","value":"eyJ2ZXJzaW9uIjo5fQ==","revision":3}`)) // {"version":9}
		}
	}))
	defer store.Close()
	address := store.Listener.Addr().String()
	cases := []struct {
		name      string
		arguments []string
		code      int
		shown     string
	}{
		{"fine", []string{"check", manifest}, ExitOK, "0 findings"},
		{"findings", []string{"check", bad}, ExitFindings, "error: routes[0].max-attempts (a) is 0, want 1 or more"},
		{"findings as JSON", []string{"check", "-json", bad}, ExitFindings, `"path":"routes[0].max-attempts"`},
		{"against a file", []string{"check", "-against", older, manifest}, ExitOK, "differs: version: 7 -> 8"},
		{"against the store", []string{"check", "-store", address, manifest}, ExitFindings, "version is 8, want more than 9"},
		{"broken JSON", []string{"check", file("broken", good[:20])}, ExitUnusable, ""},
		{"the version in force is a table", []string{"check", "-against", file("table", "a,b\n"), manifest}, ExitUnusable, ""},
		{"compared, but a table", []string{"check", "-against", manifest, file("table", "a,b\n")}, ExitUnusable, ""},
		{"two versions in force", []string{"check", "-against", older, "-store", address, manifest}, ExitUnusable, ""},
		{"unreachable store", []string{"check", "-store", "127.0.0.1:1", manifest}, ExitUnusable, ""},
		{"a table", []string{"check", file("table", "a,b\n")}, ExitInvalid, ""},
		{"no file", []string{"check"}, ExitUsage, ""},
	}
	for _, c := range cases {
		var out, errors bytes.Buffer
		code := Run(t.Context(), "comfreyctl", c.arguments, &out, &errors)
		if diff := cmp.Diff(c.code, code); diff != "" || !strings.Contains(out.String(), c.shown) {
			t.Errorf("%s: exit code (-want +got):\n%s%s%s", c.name, diff, out.String(), errors.String())
		}
	}
}
