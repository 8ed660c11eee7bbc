package relayer

import (
	"context"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/elector"
	"comfreyroute/core/coordination/reporter"
	"comfreyroute/gateway/internal/logger"
)

// exchangeTimeout bounds a call, so that a VM that lost power costs one interval.
const exchangeTimeout = 400 * time.Millisecond

// Exchange passes reports and ratings of upstreams between VMs where the requests for changes do not carry them, or not soon enough: from a VM that
// asks the store itself, or has news while a rating is urgent, to the collecting VM of its failure domain, and from there to those of the other
// domains. Its exported fields are set before Run.
type Exchange struct {
	Collector   elector.Collector
	History     *History
	TakeReports func() []reporter.Report
	TakeNews    func() []reporter.Report // as TakeReports, but none if no upstream has failed or been slow
	OnRatings   func([]reporter.Rating)
	Log         *logger.Logger

	mu      sync.Mutex // guards Collector, carried and urgent
	carried bool       // a request for changes carries the reports of this VM
	urgent  bool       // so were the last ratings
	wake    chan struct{}
	clients map[string]*Client // by failure domain
}

// SetMembers replaces the VMs that are registered.
func (e *Exchange) SetMembers(now time.Time, all []elector.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Collector.SetMembers(now, all)
	e.notify()
}

// Active reports whether the failure domain is large enough to exchange reports.
func (e *Exchange) Active(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.Collector.Own(now)
	return ok
}

// Carry tells where the next request for changes goes, an empty name for the store. It reports whether the request is to carry the reports of
// this VM, which are then not sent otherwise.
func (e *Exchange) Carry(now time.Time, source string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	own, ok := e.Collector.Own(now)
	e.carried = ok && own.Name == source
	if !e.carried {
		e.notify()
	}
	return e.carried
}

// SetRatings tells the ratings that the response to a request for changes has carried.
func (e *Exchange) SetRatings(ratings []reporter.Rating) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.urgent = anyUrgent(ratings); e.urgent {
		e.notify()
	}
}

// notify ends the wait of Run. The caller holds e.mu.
func (e *Exchange) notify() {
	select {
	case e.wakeChannel() <- struct{}{}:
	default:
	}
}

// wakeChannel returns the channel of notify. The caller holds e.mu.
func (e *Exchange) wakeChannel() chan struct{} {
	if e.wake == nil {
		e.wake = make(chan struct{}, 1)
	}
	return e.wake
}

// Run exchanges reports until the context is done. It waits while there is nothing to do.
func (e *Exchange) Run(ctx context.Context) {
	e.mu.Lock()
	wake := e.wakeChannel()
	e.mu.Unlock()
	for ctx.Err() == nil {
		pause, ok := e.step(ctx)
		if !ok {
			select {
			case <-wake:
			case <-ctx.Done():
			}
			continue
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// step makes the calls that are due, and returns when the next ones will be. It returns false if none will be until notify is called.
func (e *Exchange) step(ctx context.Context) (time.Duration, bool) {
	now := time.Now()
	e.mu.Lock()
	own, ok := e.Collector.Own(now)
	others, carried, urgent := e.Collector.Others(now), e.carried, e.urgent
	e.mu.Unlock()
	switch {
	case !ok || carried && !urgent:
		return 0, false
	case carried:
		if news := e.TakeNews(); len(news) > 0 {
			if r := e.call(ctx, own, ChangesRequest{Reports: news}); r != nil {
				e.OnRatings(r.Ratings)
			}
			e.client(own.FailureDomain).Close() // the collecting VM would hold a second connection of each follower
		}
		return troubleInterval, true
	case own.Name != e.Collector.Self.Name:
		r := e.call(ctx, own, ChangesRequest{Reports: e.TakeReports()})
		if r == nil {
			return troubleInterval, true
		}
		e.OnRatings(r.Ratings)
		return intervalAfter(r.Ratings), true
	default:
		ratings := e.History.MergeReports(now, e.TakeReports())
		e.OnRatings(ratings)
		local := e.History.UrgentRatings(now)
		if len(local) == 0 {
			return intervalAfter(ratings), true
		}
		var calls sync.WaitGroup
		for _, m := range others {
			calls.Go(func() { e.call(ctx, m, ChangesRequest{Domain: own.FailureDomain, Ratings: local}) })
		}
		calls.Wait()
		return intervalAfter(ratings), true
	}
}

// call sends reports or ratings to a VM. It returns nil if the VM does not answer.
func (e *Exchange) call(ctx context.Context, m elector.Member, q ChangesRequest) *ChangesResponse {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	q.Exchange, q.After = true, math.MaxUint64 // a VM of an older build answers at once, without changes
	r, err := e.client(m.FailureDomain).ChangesSince(ctx, m.Address, q)
	if err != nil {
		e.Log.Warn("exchange: VM did not take reports", zap.String("peer", m.Name), zap.Error(err))
		e.mu.Lock()
		defer e.mu.Unlock()
		e.Collector.Failed(time.Now(), m.Name)
		return nil
	}
	return r
}

// client returns the client for the collecting VM of a failure domain.
func (e *Exchange) client(domain string) *Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clients == nil {
		e.clients = map[string]*Client{}
	}
	if e.clients[domain] == nil {
		e.clients[domain] = &Client{}
	}
	return e.clients[domain]
}
