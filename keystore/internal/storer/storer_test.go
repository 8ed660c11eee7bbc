package storer

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"comfreyroute/core/protocol/encoder"
)

// TestLease guards against keys that outlive their lease, and against the renewal of an expired lease.
func TestLease(t *testing.T) {
	var s Store
	start := time.Unix(1000, 0)
	id := s.GrantLease(start, time.Second)
	for _, k := range []string{"b", "a"} {
		s.Put(k, encoder.PutRequest{Lease: id})
	}
	s.Put("kept", encoder.PutRequest{})
	if _, ok := s.RenewLease(start.Add(900*time.Millisecond), id, 0); !ok {
		t.Fatal("renewal before the expiry failed")
	}
	s.ExpireLeases(start.Add(1800 * time.Millisecond))
	if got := len(s.Range("", "", 0).Items); got != 3 {
		t.Errorf("%d keys before the renewed lease expired, want 3", got)
	}
	s.ExpireLeases(start.Add(1900 * time.Millisecond))
	want := encoder.RangeReply{Revision: 5, Items: []encoder.KeyValue{{Key: "kept", Revision: 3}}}
	if diff := cmp.Diff(want, s.Range("", "", 0)); diff != "" {
		t.Errorf("keys after the lease expired (-want +got):\n%s", diff)
	}
	if _, ok := s.RenewLease(start.Add(2*time.Second), id, 0); ok {
		t.Error("an expired lease was renewed")
	}
}

// TestVMList guards against changes of the VM list that become visible early or out of order.
func TestVMList(t *testing.T) {
	var l VMList
	start := time.Unix(1000, 0)
	l.SetVM(start, encoder.ListedVM{Name: "vm1", State: encoder.VMLive})
	l.SetLag(10 * time.Second)
	l.SetVM(start, encoder.ListedVM{Name: "vm1", State: encoder.VMLeaving})
	l.SetVM(start.Add(time.Second), encoder.ListedVM{Name: "vm2", State: encoder.VMLive})
	l.SetLag(0)
	l.RemoveVM(start.Add(2*time.Second), "vm1")
	cases := []struct {
		after time.Duration
		want  string
	}{
		{9 * time.Second, "vm1 live"},
		{10 * time.Second, "vm1 leaving"},
		{11 * time.Second, "vm2 live"},
	}
	for _, c := range cases {
		var got []string
		for _, vm := range l.VisibleVMs(start.Add(c.after)).VMs {
			got = append(got, vm.Name+" "+string(vm.State))
		}
		if diff := cmp.Diff(c.want, strings.Join(got, ", ")); diff != "" {
			t.Errorf("after %v (-want +got):\n%s", c.after, diff)
		}
	}
}
