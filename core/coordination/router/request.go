package router

import (
	"encoding/json"
	"strconv"
	"time"

	"comfreyroute/core/coordination/scheduler"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

const (
	// answerMargin is how long before the deadline a request is answered at the latest, so that the answer reaches the
	// caller in time: two one-way delays of 1 ms to callers (1.6 of the design page) and 2 ms for the loops of the VM.
	answerMargin = 4 * time.Millisecond
	// marginShare bounds the margin of short deadlines to a part of the time that is left.
	marginShare = 4
	// maxAttempts bounds the attempts of one sub-request: the first, its retries, reroutes and hedges.
	maxAttempts = 4
	// maxPauses bounds the pauses of a sub-request for which no connection was free. With pauses that double from firstPause
	// to maxPause they cover the default deadline.
	maxPauses  = 12
	firstPause = 500 * time.Microsecond
	maxPause   = 8 * time.Millisecond
)

type requestState int

const (
	stateQueued requestState = iota // waits for admission
	stateRunning
	stateFinished
)

// request is one request of a caller. A lookup or a call has one sub-request.
type request struct {
	id          RequestID
	caller      string
	service     *service
	kind        encoder.SubKind
	query       string
	body        json.RawMessage
	minCoverage float64
	signature   uint64
	probeGroup  int // group of the only sub-request of a suspect that is probed, noProbe for others
	state       requestState
	began       time.Time
	until       time.Time // when it is answered at the latest
	subs        []sub
	pending     int    // sub-requests without a result
	index       *index // nil until a search has chosen its snapshot
	restarted   bool
	hedgeAt     time.Time // next time that a hedge or something that waits is looked at
	patience    time.Time // when a search that prefers latency stops waiting; zero for never
	due         time.Time // next time that it needs attention
	place       int       // in the timers, -1 when absent
}

type subState uint8

const (
	subIdle subState = iota
	subWaiting
	subSent
	subHeld // reset without an explanation
	subDone
	subFailed
)

// sub is one sub-request: all attempts for one group.
type sub struct {
	state       subState
	attempts    uint8
	possiblyRun bool // an upstream may have run it
	notHeld     bool // a replica did not hold the version
	owing       bool // takes a token when it leaves the wait queue
	live        scheduler.InFlight[AttemptID]
	tried       [maxAttempts]int // upstreams of the attempts, -1 for one that is gone
	hedgeAt     time.Time
	resumeAt    time.Time // end of the pause after no connection was free
	pauses      uint8
	refused     uint8  // bits of the attempts in tried that were not written
	counted     bool   // as a primary
	reason      string // of the last failure
	retryAfter  int64  // ms, from the last refusal
	version     uint64 // of results
	layout      string
	total       int
	results     []encoder.ShardResult
}

// Due implements scheduler.Item.
func (r *request) Due() time.Time { return r.due }

// HeapIndex implements scheduler.Item.
func (r *request) HeapIndex() *int { return &r.place }

func (r *request) version() uint64 {
	if r.index == nil {
		return 0
	}
	return r.index.version
}

// group returns the group of a sub-request for selection, -1 for any.
func (r *request) group(g int) int {
	if r.service.point() {
		return -1
	}
	return g
}

func (m *Machine) arrive(now time.Time, e RequestArrived) {
	if m.requests[e.Request] != nil {
		panic("router: a request id was used twice")
	}
	s := m.find(e.Service)
	r := &request{
		id: e.Request, caller: e.Caller, service: s, kind: e.Kind, query: e.Query, body: e.Body,
		minCoverage: e.MinCoverage, signature: signature(&e), probeGroup: noProbe, place: -1,
	}
	if s == nil || s.removed {
		m.reject(r, reasonUnknownService, 0)
		return
	}
	if (e.Kind == encoder.SubSearch) != (s.row.Kind == tabler.KindSearch) {
		m.reject(r, reasonKind, 0)
		return
	}
	deadline := e.Deadline
	if deadline.IsZero() {
		deadline = now.Add(s.row.Deadline)
	}
	r.until = deadline.Add(-min(answerMargin, deadline.Sub(now)/marginShare))
	if !now.Before(r.until) {
		m.reject(r, reasonTimeout, 0)
		return
	}
	m.admit(now, r)
}

// start runs an admitted request.
func (m *Machine) start(now time.Time, r *request) {
	r.state = stateRunning
	r.began = now
	if !m.cleared(now, r) {
		return
	}
	if r.kind == encoder.SubSearch {
		m.startSearch(now, r)
	} else {
		m.startPoint(now, r)
	}
	if r.state == stateRunning {
		m.schedule(r)
	}
}

// finish forgets a request: its attempts are cancelled and nothing more happens for it.
func (m *Machine) finish(now time.Time, r *request) {
	for g := range r.subs {
		m.cancelAll(now, &r.subs[g])
	}
	m.release(now, r)
	r.state = stateFinished
	m.timers.Remove(r)
	delete(m.requests, r.id)
}

func (m *Machine) cancelAll(now time.Time, b *sub) {
	for k, id := range b.live {
		if id != 0 {
			b.live[k] = 0
			m.cancel(now, id)
		}
	}
}

// abandon releases everything of a request whose caller is gone.
func (m *Machine) abandon(now time.Time, r *request) { m.finish(now, r) }

// reject answers a request of which nothing was sent.
func (m *Machine) reject(r *request, reason string, retryAfter time.Duration) {
	ms := retryAfter.Milliseconds()
	if r.kind == encoder.SubSearch {
		m.emit(AnswerSearch{Request: r.id, Answer: &encoder.SearchAnswer{
			RequestID: r.label(), Outcome: encoder.OutcomeNotRun, Reason: reason, RetryAfterMS: ms,
		}})
		return
	}
	m.emit(AnswerPoint{Request: r.id, Answer: &encoder.CallAnswer{
		RequestID: r.label(), Outcome: encoder.OutcomeNotRun, Reason: reason, RetryAfterMS: ms,
	}})
}

func (r *request) label() string { return strconv.FormatUint(uint64(r.id), 10) }

// deadline answers a request with what it has.
func (m *Machine) deadline(now time.Time, r *request) {
	if r.state == stateQueued {
		m.drop(now, r)
		return
	}
	if r.kind == encoder.SubSearch {
		m.giveUp(now, r, reasonTimeout)
		return
	}
	m.pointDeadline(now, r)
}
