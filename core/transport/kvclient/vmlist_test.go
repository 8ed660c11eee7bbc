package kvclient

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/protocol/encoder"
)

// TestOddVMEntries guards against a VM list that is not followed any more because another writer left one odd entry in it.
func TestOddVMEntries(t *testing.T) {
	const first = `{"name":"vm1","role":"entry","address":"10.0.0.1:80","failure_domain":"a","state":"live"}`
	const last = `{"name":"vm9","role":"entry","address":"10.0.0.9:80","failure_domain":"b","state":"live"}`
	want := []encoder.ListedVM{
		{Name: "vm1", Role: "entry", Address: "10.0.0.1:80", FailureDomain: "a", State: encoder.VMLive},
		{Name: "vm9", Role: "entry", Address: "10.0.0.9:80", FailureDomain: "b", State: encoder.VMLive},
	}
	cases := []struct {
		name    string
		odd     string
		skipped int
	}{
		{"none", ``, 0},
		{"deeply nested", strings.Repeat("[", 20000) + strings.Repeat("]", 20000), 1},
		{"deeply nested field", `{"name":` + strings.Repeat(`{"a":`, 20000) + `1` + strings.Repeat("}", 20000) + `}`, 1},
		{"number too large", `{"name":"vm2","role":"entry","state":1e400}`, 1},
		{"number", `1e999999`, 1},
		{"field of another type", `{"name":7}`, 1},
		{"port out of range", `{"name":"vm2","role":"entry","address":"10.0.0.2:70000","state":"live"}`, 1},
		{"null", `null`, 1},
		{"brackets in a string", `"]}\"]"`, 1},
		{"unknown field", `{"name":"vm2","role":"entry","rack":"r"}`, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			entries := []string{first, last}
			if c.odd != "" {
				entries = []string{first, c.odd, last}
			}
			l := newClient(t, respondWith(http.StatusOK, ` { "vms" : [ `+strings.Join(entries, " , ")+" ] } ")).ListVMs(context.Background())
			if l.Status != OK || l.Skipped != c.skipped {
				t.Fatalf("status %v, %d entries skipped, want %d: %v", l.Status, l.Skipped, c.skipped, l.Err)
			}
			var got []encoder.ListedVM
			for _, vm := range l.VMs {
				if vm.Name != "vm2" {
					got = append(got, vm)
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("VMs (-want +got):\n%s", diff)
			}
		})
	}
	for _, body := range []string{``, `{"vms":[`, `{"vms":[{]}`, `{"vms":[1,]}`, `{"vms":{}}`, `{"vms":[]} x`, `{"other":[]}`, `{"vms":["a]}`, `[]`} {
		if l := newClient(t, respondWith(http.StatusOK, body)).ListVMs(context.Background()); l.Status == OK {
			t.Errorf("%s is accepted as a VM list", body)
		}
	}
}

// TestTooManyChanges guards against a watch that is repeated for ever because its response is over the bound.
func TestTooManyChanges(t *testing.T) {
	long := strings.Repeat(" ", encoder.MaxPlatformBytes) + `{"revision":9}`
	r := newClient(t, respondWith(http.StatusOK, long)).Watch(context.Background(), "p", 7, 0)
	if diff := cmp.Diff(WatchResult{Status: OK, Revision: 7, Compacted: true}, r); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}
