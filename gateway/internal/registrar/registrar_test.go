package registrar

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap/zapcore"

	"comfreyroute/core/coordination/elector"
	"comfreyroute/gateway/internal/logger"
	"comfreyroute/platform/translator"
)

// script is a store whose calls have the errors that a test says, in turn.
type script struct {
	calls  []string
	errors []error
	end    context.CancelFunc
}

func (s *script) next(call string) error {
	s.calls = append(s.calls, call)
	if len(s.errors) == 0 {
		s.end()
		return nil
	}
	err := s.errors[0]
	s.errors = s.errors[1:]
	return err
}

func (s *script) RegisterVM(_ context.Context, m elector.Member, ttl time.Duration) (uint64, time.Duration, error) {
	return 7, ttl, s.next("register " + m.Name)
}
func (s *script) RenewLease(context.Context, uint64) error { return s.next("renew") }
func (s *script) RevokeLease(context.Context, uint64) error {
	s.calls = append(s.calls, "release")
	return nil
}

// TestRegistrar guards against an entry that is missing after its lease has ended or a call has failed, and against one that outlives a VM
// that stops.
func TestRegistrar(t *testing.T) {
	away := eris.New("the store is away")
	cases := []struct {
		name   string
		errors []error
		want   []string
		least  time.Duration
		most   time.Duration
		gone   bool // the entry, after 5 s
	}{
		{"calm", []error{nil, nil}, []string{"register vm", "renew", "renew", "release"}, 40 * time.Second, 41 * time.Second, false},
		{"the lease has ended", []error{nil, translator.ErrLeaseNotFound, nil}, []string{"register vm", "renew", "register vm", "renew", "release"},
			40 * time.Second, 41 * time.Second, false},
		{"a renewal fails", []error{nil, away}, []string{"register vm", "renew", "renew", "release"}, 22 * time.Second, 25 * time.Second, false},
		{"the store is away", []error{away, away, nil}, []string{"register vm", "register vm", "register vm", "renew", "release"},
			24 * time.Second, 29 * time.Second, false},
		{"the entry is taken away", []error{nil, nil}, []string{"register vm", "register vm", "renew", "release"}, 25 * time.Second, 28 * time.Second, true},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := &script{errors: c.errors, end: cancel}
			log := logger.New(zapcore.AddSync(io.Discard), "vm")
			began := time.Now()
			removed := make(chan struct{}, 1)
			if c.gone {
				time.AfterFunc(5*time.Second, func() { removed <- struct{}{} })
			}
			(&Registrar{Store: s, Self: elector.Member{Name: "vm"}, Removed: removed, Log: log}).Run(ctx)
			if diff := cmp.Diff(c.want, s.calls); diff != "" {
				t.Errorf("%s: calls (-want +got):\n%s", c.name, diff)
			}
			if took := time.Since(began); took < c.least || took > c.most {
				t.Errorf("%s: took %v, want %v to %v", c.name, took, c.least, c.most)
			}
			if err := log.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}
