package publisher

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/platform/translator"
)

// fakeStore returns the given errors of its calls in turn, and then none. It records what it takes.
type fakeStore struct {
	errors []error
	leases int
	taken  []quarantiner.Publication
	under  []uint64 // leases
}

func (s *fakeStore) next() error {
	if len(s.errors) == 0 {
		return nil
	}
	err := s.errors[0]
	s.errors = s.errors[1:]
	return err
}

func (s *fakeStore) GrantLease(_ context.Context, ttl time.Duration) (translator.Lease, error) {
	if err := s.next(); err != nil {
		return translator.Lease{}, err
	}
	s.leases++
	return translator.Lease{ID: uint64(s.leases), TTL: ttl}, nil
}

func (s *fakeStore) PublishEvidence(_ context.Context, lease translator.Lease, p quarantiner.Publication) error {
	if err := s.next(); err != nil {
		return err
	}
	s.taken, s.under = append(s.taken, p), append(s.under, lease.ID)
	return nil
}

// TestPublish guards against evidence that other VMs never hear of because a call to the store has failed or a lease has ended, and against old
// evidence that is written after newer one.
func TestPublish(t *testing.T) {
	unavailable := eris.New("refused")
	evidence := func(signature uint64) []quarantiner.Evidence { return []quarantiner.Evidence{{Signature: signature}} }
	cases := []struct {
		name   string
		errors []error
		pause  time.Duration // before the second publication
		want   []uint64      // signatures
		under  []uint64      // leases
	}{
		{"two in turn", nil, time.Second, []uint64{1, 2}, []uint64{1, 1}},
		{"no lease at first", []error{unavailable}, 5 * time.Second, []uint64{1, 2}, []uint64{1, 1}},
		{"the write fails", []error{nil, unavailable, unavailable}, 5 * time.Second, []uint64{1, 2}, []uint64{1, 1}},
		{"newer evidence while the store is away", []error{unavailable, unavailable, unavailable, unavailable}, 50 * time.Millisecond, []uint64{2}, []uint64{1}},
		{"the lease is lost", []error{nil, translator.ErrLeaseNotFound}, 5 * time.Second, []uint64{1, 2}, []uint64{2, 2}},
		{"the lease is old", nil, leaseTTL, []uint64{1, 2}, []uint64{1, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, log := &fakeStore{errors: c.errors}, logger.New(io.Discard, "vm1")
				p := &Publisher{Store: s, VM: "vm1", Log: log}
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() {
					defer close(done)
					p.Run(ctx)
				}()
				p.Publish(evidence(1))
				time.Sleep(c.pause)
				p.Publish(evidence(2))
				time.Sleep(10 * time.Second)
				cancel()
				<-done
				if err := log.Close(); err != nil {
					t.Error(err)
				}
				var got []uint64
				for _, p := range s.taken {
					got = append(got, p.Evidence[0].Signature)
				}
				if diff := cmp.Diff(c.want, got) + cmp.Diff(c.under, s.under); diff != "" {
					t.Errorf("signatures and leases (-want +got):\n%s", diff)
				}
			})
		})
	}
}
