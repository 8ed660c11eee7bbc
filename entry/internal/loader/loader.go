// Package loader reads the operators' table from the platform: the whole range at the start, then its changes by a watch.
package loader

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

const (
	pageKeys  = 500
	watchWait = 20 * time.Second
	pause     = 500 * time.Millisecond // before the next try after a failure
)

// Loader follows the table. Adopt is called with each new state.
type Loader struct {
	Address netip.AddrPort
	Timeout time.Duration
	Adopt   func(*tabler.Snapshot)
	Log     *zap.Logger
	client  http.Client
	table   *tabler.Snapshot
}

// Run follows the table until the context ends.
func (l *Loader) Run(ctx context.Context) {
	l.table = &tabler.Snapshot{}
	revision, loaded := uint64(0), false
	for ctx.Err() == nil {
		var err error
		if !loaded {
			revision, err = l.load(ctx)
			loaded = err == nil
		} else {
			revision, loaded, err = l.watch(ctx, revision)
		}
		if err != nil && ctx.Err() == nil {
			l.Log.Warn("loader: the platform gives no table", zap.Error(err))
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
		}
	}
}

func (l *Loader) load(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	var r encoder.RangeReply
	q := url.Values{"prefix": {tabler.KeyPrefix}, "limit": {strconv.Itoa(pageKeys)}}
	if err := l.get(ctx, encoder.PathRange, q, &r); err != nil {
		return 0, err
	}
	l.take(r.Items)
	return r.Revision, nil
}

func (l *Loader) watch(ctx context.Context, after uint64) (uint64, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+l.Timeout)
	defer cancel()
	var r encoder.WatchReply
	q := url.Values{
		"prefix": {tabler.KeyPrefix}, "after": {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(watchWait.Milliseconds(), 10)},
	}
	if err := l.get(ctx, encoder.PathWatch, q, &r); err != nil {
		return after, true, err
	}
	if r.Compacted {
		return after, false, nil
	}
	if len(r.Items) > 0 {
		l.take(r.Items)
	}
	return r.Revision, true, nil
}

// take adopts the valid values that are newer than those in effect. An invalid value changes nothing.
func (l *Loader) take(items []encoder.KeyValue) {
	for _, kv := range items {
		service, ok := tabler.ServiceOf(kv.Key)
		if !ok || kv.Deleted || kv.Revision <= l.table.Revision(service) {
			continue
		}
		v, err := tabler.Decode(service, kv.Revision, kv.Value)
		if err != nil {
			l.Log.Error("loader: a table value is not valid and is not adopted", zap.String("key", kv.Key), zap.Error(err))
			continue
		}
		l.table = l.table.With(v)
	}
	l.Adopt(l.table)
}

func (l *Loader) get(ctx context.Context, path string, q url.Values, v any) error {
	u := url.URL{Scheme: "http", Host: l.Address.String(), Path: path, RawQuery: q.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return eris.Wrap(err, "make platform request")
	}
	reply, err := l.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "ask platform")
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return eris.Errorf("platform answers %s with status %d", path, reply.StatusCode)
	}
	return encoder.Decode(reply.Body, encoder.MaxPlatformBytes, v)
}
