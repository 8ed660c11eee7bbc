package watcher

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestEvacuations guards against requests to an evacuated failure domain: a VM that learns of it too late, also from a peer, or after it has
// used its upstreams, or forgets it while the store is away. It guards against one that never ends, too.
func TestEvacuations(t *testing.T) {
	const bound = 3 * time.Second
	cases := []struct {
		name  string
		write func(s *memoryStore)
		want  []string
	}{
		{"evacuated before the VMs start", func(*memoryStore) {}, []string{"z0"}},
		{"a further one", func(s *memoryStore) { s.put("op/evacuate/z1", "now") }, []string{"z0", "z1"}},
		{"taken back", func(s *memoryStore) { s.put("op/evacuate/z0", "") }, nil},
		{"taken back and evacuated again", func(s *memoryStore) { s.put("op/evacuate/z0", ""); s.put("op/evacuate/z0", "again") }, []string{"z0"}},
		{"store down", func(s *memoryStore) { s.down = true; time.Sleep(time.Minute) }, []string{"z0"}},
		{"store restored from a copy with it", func(s *memoryStore) {
			saved := s.copyOf()
			s.put("op/evacuate/z0", "")
			time.Sleep(bound)
			s.restore(saved)
		}, []string{"z0"}},
		{"store restored from a copy without it", func(s *memoryStore) {
			s.put("op/evacuate/z1", "now")
			time.Sleep(bound)
			saved := newMemoryStore()
			saved.putManifest(2)
			s.restore(saved)
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newMemoryStore()
				s.putManifest(2)
				s.putUpstream("a", "ready", 1)
				s.put("op/evacuate/z0", "now")
				vms, stop := startVMs(t, s, 4)
				defer stop()
				c.write(s)
				time.Sleep(bound)
				for _, v := range vms {
					if diff := cmp.Diff(c.want, v.evacuated, cmpopts.EquateEmpty()); diff != "" {
						t.Errorf("%s: evacuated failure domains (-want +got):\n%s", v.watcher.Elector.Self.Name, diff)
					}
					if diff := cmp.Diff([]string{"z0"}, v.first); diff != "" {
						t.Errorf("%s: before the first upstreams (-want +got):\n%s", v.watcher.Elector.Self.Name, diff)
					}
				}
			})
		})
	}
}
