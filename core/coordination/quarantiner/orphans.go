package quarantiner

import (
	"slices"
	"time"
)

const (
	// OrphanWindow is how long after the end of its attempt an orphan counts as running. Upstreams are told the deadline of each request and stop
	// work when it has passed; most of them also stop when the connection closes.
	OrphanWindow = 5 * time.Second
	// maxOrphans bounds the orphans that are kept, about 500 kB.
	maxOrphans = 4 << 10
	// sweepInterval is the time between two looks at all orphans.
	sweepInterval = time.Second
)

// Orphan is a run of a request whose result nobody waits for: its attempt has timed out or was cancelled, and the upstream may still work on it.
type Orphan struct {
	Signature uint64
	Run       Crash // the crash that there is if the upstream crashes now
	EndedAt   time.Time
}

// Orphans keeps the orphans of a VM until their upstreams have crashed or outlived them. A request that crashes its upstream only after its caller
// has left is not reset by the crash, so that its attempt shows nothing. The zero value is empty. It is not safe for concurrent use.
type Orphans struct {
	byUpstream map[upstreamKey][]Orphan
	count      int
	sweptAt    time.Time
}

// Add adds an orphan. A second one of the same request at the same upstream replaces the first. When there are too many, it is dropped.
func (t *Orphans) Add(now time.Time, o Orphan) {
	if now.Sub(t.sweptAt) > sweepInterval {
		t.sweep(now)
	}
	k := upstreamKey{o.Run.Service, o.Run.Upstream}
	all := t.byUpstream[k]
	if i := slices.IndexFunc(all, func(p Orphan) bool { return p.Signature == o.Signature && p.Run == o.Run }); i >= 0 {
		all[i] = o
		return
	}
	if t.count >= maxOrphans {
		return
	}
	if t.byUpstream == nil {
		t.byUpstream = map[upstreamKey][]Orphan{}
	}
	t.byUpstream[k] = append(all, o)
	t.count++
}

// sweep drops the orphans that are too old to be the cause of a crash, and whose upstreams have not been heard of since.
func (t *Orphans) sweep(now time.Time) {
	t.sweptAt = now
	for k := range t.byUpstream {
		t.take(k, func(o Orphan) bool { return now.Sub(o.EndedAt) > 2*OrphanWindow })
	}
}

// Empty reports whether there are no orphans.
func (t *Orphans) Empty() bool { return t.count == 0 }

// Has reports whether an upstream may still run orphans.
func (t *Orphans) Has(service, upstream string) bool {
	return t.count > 0 && len(t.byUpstream[upstreamKey{service, upstream}]) > 0
}

// TakeCrashed removes the orphans of an upstream that has crashed, and returns those that it may have been running.
func (t *Orphans) TakeCrashed(at time.Time, c Crash) []Orphan {
	crashed := t.take(upstreamKey{c.Service, c.Upstream}, func(o Orphan) bool { return o.Run.Started.Equal(c.Started) })
	return slices.DeleteFunc(crashed, func(o Orphan) bool { return at.Sub(o.EndedAt) > OrphanWindow })
}

// TakeReplaced removes the orphans of an upstream that has started again at a time, and returns those that it may have been running.
func (t *Orphans) TakeReplaced(at time.Time, service, upstream string, started time.Time) []Orphan {
	replaced := t.take(upstreamKey{service, upstream}, func(o Orphan) bool { return !o.Run.Started.Equal(started) })
	return slices.DeleteFunc(replaced, func(o Orphan) bool { return at.Sub(o.EndedAt) > OrphanWindow })
}

// TakeSurvived removes and returns the orphans that an upstream has outlived, because it replies at a time.
func (t *Orphans) TakeSurvived(at time.Time, service, upstream string) []Orphan {
	return t.take(upstreamKey{service, upstream}, func(o Orphan) bool { return at.Sub(o.EndedAt) > OrphanWindow })
}

// Drop removes the orphans of an upstream.
func (t *Orphans) Drop(service, upstream string) {
	t.take(upstreamKey{service, upstream}, func(Orphan) bool { return true })
}

// take removes and returns selected orphans of an upstream.
func (t *Orphans) take(k upstreamKey, selected func(Orphan) bool) []Orphan {
	all := t.byUpstream[k]
	if len(all) == 0 {
		return nil
	}
	var taken, kept []Orphan
	for _, o := range all {
		if selected(o) {
			taken = append(taken, o)
		} else {
			kept = append(kept, o)
		}
	}
	t.count -= len(taken)
	if len(kept) == 0 {
		delete(t.byUpstream, k)
	} else if len(taken) > 0 {
		t.byUpstream[k] = kept
	}
	return taken
}
