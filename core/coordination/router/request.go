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
	// answerMargin is the time between the latest answer to a request and its deadline, so that the answer reaches the caller in
	// time: two one-way delays of 1 ms to callers (section 1.6 of the design page) and 2 ms for the event loops of the VM.
	answerMargin = 4 * time.Millisecond
	// marginDivisor limits the margin of short deadlines to the remaining time divided by it.
	marginDivisor = 4
	// maxAttempts limits the attempts of one sub-request: the first, its retries, reroutes and hedges.
	maxAttempts = 4
	// maxPauses limits the pauses of a sub-request that finds no free connection. Pauses double from firstPause to maxPause, and
	// all of them together cover the default deadline.
	maxPauses  = 12
	firstPause = 500 * time.Microsecond
	maxPause   = 8 * time.Millisecond
)

type requestState int

const (
	stateQueued requestState = iota // waiting for admission
	stateRunning
	stateFinished
)

// request is one request of a caller. A search has one sub-request for each group; a lookup or a call has one in total.
type request struct {
	id          RequestID
	caller      string
	service     *service
	kind        encoder.SubKind
	query       string
	body        json.RawMessage
	minCoverage float64
	signature   uint64
	probeGroup  int // group to which a probe of a suspect sends its only sub-request; noProbe for other requests
	state       requestState
	startedAt   time.Time
	answerBy    time.Time // latest time of the answer
	subs        []subRequest
	pending     int           // sub-requests that have not ended
	index       *indexVersion // nil until the snapshot of a search is chosen
	restarted   bool
	checkAt     time.Time // next time to check hedges, held back and waiting sub-requests; zero for none
	partialAt   time.Time // when a search that prefers latency may answer without its last shards; zero for never
	due         time.Time // next time that the request needs processing
	heapIndex   int       // in Machine.timers, -1 if absent
}

type subState uint8

const (
	subIdle subState = iota
	subWaiting
	subSent
	subHeldBack // waits after a reset whose cause is not known yet
	subDone
	subFailed
)

// subRequest holds the state of one sub-request and of its attempts.
type subRequest struct {
	state           subState
	attempts        uint8
	possiblyRun     bool // an upstream may have executed it
	notHeld         bool // a replica did not hold the version
	needsToken      bool // takes a budget token when it leaves the wait queue
	inFlight        scheduler.InFlight[AttemptID]
	tried           [maxAttempts]int // upstream index of each attempt, -1 for a removed upstream
	hedgeAt         time.Time        // next hedge; end of the hold while held back
	resumeAt        time.Time        // end of the pause after no connection was free
	pauses          uint8
	refusedAttempts uint8  // bit k is set if no byte of attempt k was written, unless for lack of a free connection
	primaryCounted  bool   // counted in Stats.Primaries or Stats.Resent
	reason          string // of the last failure
	retryAfter      int64  // ms, from the last failure
	version         uint64 // index version of results
	layout          string
	shardsTotal     int
	results         []encoder.ShardResult
}

// Due implements scheduler.Item.
func (r *request) Due() time.Time { return r.due }

// HeapIndex implements scheduler.Item.
func (r *request) HeapIndex() *int { return &r.heapIndex }

func (r *request) version() uint64 {
	if r.index == nil {
		return 0
	}
	return r.index.version
}

// selectionGroup returns the group in which selection looks for a replica, or -1 for any group.
func (r *request) selectionGroup(g int) int {
	if r.service.isPoint() {
		return -1
	}
	return g
}

func (m *Machine) handleRequest(now time.Time, e RequestArrived) {
	if m.requests[e.Request] != nil {
		panic("router: request id is already in use")
	}
	s := m.findService(e.Service)
	r := &request{
		id: e.Request, caller: e.Caller, service: s, kind: e.Kind, query: e.Query, body: e.Body,
		minCoverage: e.MinCoverage, signature: signature(&e), probeGroup: noProbe, heapIndex: -1,
	}
	if s == nil || s.removed {
		m.rejectRequest(r, reasonUnknownService, 0)
		return
	}
	if (e.Kind == encoder.SubSearch) != (s.row.Kind == tabler.KindSearch) {
		m.rejectRequest(r, reasonWrongKind, 0)
		return
	}
	deadline := e.Deadline
	if deadline.IsZero() {
		deadline = now.Add(s.row.Deadline)
	}
	r.answerBy = deadline.Add(-min(answerMargin, deadline.Sub(now)/marginDivisor))
	if !now.Before(r.answerBy) {
		m.rejectRequest(r, reasonTimeout, 0)
		return
	}
	m.admitRequest(now, r)
}

// startRequest starts an admitted request.
func (m *Machine) startRequest(now time.Time, r *request) {
	r.state = stateRunning
	r.startedAt = now
	if !m.checkQuarantine(now, r) {
		return
	}
	if r.kind == encoder.SubSearch {
		m.startSearch(now, r)
	} else {
		m.startPoint(now, r)
	}
	if r.state == stateRunning {
		m.scheduleRequest(r)
	}
}

// finishRequest cancels all attempts of a request and removes it from the machine.
func (m *Machine) finishRequest(now time.Time, r *request) {
	for g := range r.subs {
		m.cancelAttempts(now, &r.subs[g])
	}
	m.releaseAdmission(now, r)
	r.state = stateFinished
	m.timers.Remove(r)
	delete(m.requests, r.id)
}

func (m *Machine) cancelAttempts(now time.Time, sub *subRequest) {
	for k, id := range sub.inFlight {
		if id != 0 {
			sub.inFlight[k] = 0
			m.cancelAttempt(now, id)
		}
	}
}

// abandonRequest ends a request whose caller no longer waits, without an answer.
func (m *Machine) abandonRequest(now time.Time, r *request) { m.finishRequest(now, r) }

// rejectRequest answers a request with outcome "not run". It must only be used before any attempt was sent.
func (m *Machine) rejectRequest(r *request, reason string, retryAfter time.Duration) {
	ms := retryAfter.Milliseconds()
	if r.kind == encoder.SubSearch {
		m.emit(AnswerSearch{Request: r.id, Answer: &encoder.SearchAnswer{
			RequestID: r.idString(), Outcome: encoder.OutcomeNotRun, Reason: reason, RetryAfterMS: ms,
		}})
		return
	}
	m.emit(AnswerPoint{Request: r.id, Answer: &encoder.CallAnswer{
		RequestID: r.idString(), Outcome: encoder.OutcomeNotRun, Reason: reason, RetryAfterMS: ms,
	}})
}

func (r *request) idString() string { return strconv.FormatUint(uint64(r.id), 10) }

// handleDeadline answers a request with the results it has so far.
func (m *Machine) handleDeadline(now time.Time, r *request) {
	if r.state == stateQueued {
		m.rejectQueued(now, r)
		return
	}
	if r.kind == encoder.SubSearch {
		m.giveUpSearch(now, r, reasonTimeout)
		return
	}
	m.handlePointDeadline(now, r)
}
