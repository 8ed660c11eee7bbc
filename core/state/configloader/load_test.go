package configloader

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

const minimal = "[vm]\ndomain = d1\ncallers = 127.0.0.1:8000\npeers = 127.0.0.1:8001\n[platform]\naddress = 127.0.0.1:8002\n"

// TestLoadDefaults guards against a file that is rejected because it omits a setting with a default, and against a key that is
// ignored.
func TestLoadDefaults(t *testing.T) {
	want := Defaults()
	want.VM = VM{ID: "127.0.0.1:8001", FailureDomain: "d1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:8000"),
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:8001")}
	want.Platform.Address = netip.MustParseAddrPort("127.0.0.1:8002")
	set := want
	set.Platform.CallRate, set.Limits.Memory, set.Shutdown.HardLimit, set.Policy.Hedge = 2.5, 1<<30, 90*time.Second, false
	cases := []struct {
		input string
		want  Settings
	}{
		{minimal, want},
		{minimal + "calls = 2.5 ; a comment\n[limits]\nmemory = 1GiB\n[shutdown]\nlimit = 90s\n[policy]\nhedge = off\n", set},
	}
	for _, c := range cases {
		path := filepath.Join(t.TempDir(), "entry.ini")
		if err := os.WriteFile(path, []byte(c.input), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := Load(path)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(&c.want, got, cmpopts.EquateComparable(netip.AddrPort{}, netip.Addr{})); diff != "" {
			t.Errorf("settings (-want +got):\n%s", diff)
		}
	}
}

// TestParseListsEveryError guards against a parser that stops at the first error, so that an operator needs one start of the
// daemon for each error.
func TestParseListsEveryError(t *testing.T) {
	input := "[vm]\ndomain = d1\ncallers = localhost:8000\ncolor = red\n[platform]\ncalls = NaN\ntimeout = 5\n" +
		"[limits]\nmemory = 512MB\nbody = 1GiB\ntrace = 1\ntrace = 1\n[shutdown]\nwait = 2m\n[policy]\nhedge = true\n[color]\nred = 1\n"
	_, err := Parse("entry.ini", []byte(input))
	var errs SettingErrors
	if !errors.As(err, &errs) {
		t.Fatalf("error is %v, want SettingErrors", err)
	}
	var got []string
	for _, f := range errs {
		got = append(got, f.File+" "+f.Section+" "+f.Key+" "+f.Value)
		if f.Allowed == "" {
			t.Errorf("%v does not name the allowed values", f)
		}
	}
	want := []string{
		"entry.ini vm callers localhost:8000", "entry.ini vm color red", "entry.ini platform calls NaN", "entry.ini platform timeout 5",
		"entry.ini limits memory 512MB", "entry.ini limits body 1GiB", "entry.ini limits trace 1, 1", "entry.ini policy hedge true",
		"entry.ini color  ", "entry.ini vm peers ", "entry.ini platform address ", "entry.ini shutdown limit 1m0s",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("invalid settings (-want +got):\n%s", diff)
	}
}

// FuzzParse guards against a file that makes the parser panic, and against settings that are accepted without a required value.
func FuzzParse(f *testing.F) {
	for _, s := range []string{minimal, "[vm]\nid = %(id)s\n", "[policy]\nseed = -1\n", "[", "a", "[vm]\nid = \"\"\"x\n", "[shutdown]\nlimit = 1h\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.ini", data)
		if err == nil && (!s.VM.PeerAddress.IsValid() || !s.VM.CallerAddress.IsValid() || s.VM.FailureDomain == "" || !s.Platform.Address.IsValid()) {
			t.Fatalf("accepted without a required setting: %+v", s)
		}
	})
}
