package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"comfreyroute/bench/internal/checker"
	"comfreyroute/core/protocol/encoder"
)

// HTTP paths of an entry VM for callers.
const (
	pathSearch = "/v1/search"
	pathLookup = "/v1/lookup"
	pathCall   = "/v1/call"
)

// request is one request of the load.
type request struct {
	RequestClass
	entry        netip.AddrPort
	intendedTime time.Time
	isMeasured   bool
	query        string
}

// answer is the result of a request.
type answer struct {
	latency       time.Duration
	outcome       encoder.Outcome // empty if the request failed
	coveredShards int
	missingShards int
	callBody      string // only set for a call
	wrong         string // what is wrong with the answer; empty if it is correct
	failure       string // why there is no answer
}

func (r *loadRun) send(ctx context.Context, q request) answer {
	switch q.Kind {
	case encoder.SubLookup:
		return r.lookup(ctx, q)
	case encoder.SubCall:
		return r.call(ctx, q)
	default:
		return r.search(ctx, q)
	}
}

func (r *loadRun) search(ctx context.Context, q request) answer {
	var a encoder.SearchAnswer
	body := encoder.SearchRequest{Service: q.Service, Query: q.query, DeadlineMS: r.config.Deadline.Milliseconds()}
	if err := r.post(ctx, q, pathSearch, body, &a); err != nil {
		return answer{failure: err.Error()}
	}
	x := answer{outcome: a.Outcome, coveredShards: len(a.Covered), missingShards: len(a.Missing)}
	if a.Outcome != encoder.OutcomeNotRun {
		x.wrong = r.loader.checker.CheckSearch(q.Service, q.query, &a)
	}
	return x
}

func (r *loadRun) lookup(ctx context.Context, q request) answer {
	var a encoder.CallAnswer
	body := encoder.LookupRequest{Service: q.Service, Key: q.query, DeadlineMS: r.config.Deadline.Milliseconds()}
	if err := r.post(ctx, q, pathLookup, body, &a); err != nil {
		return answer{failure: err.Error()}
	}
	x := answer{outcome: a.Outcome}
	if a.Outcome == encoder.OutcomeDone {
		x.wrong = checker.CheckLookup(q.Service, q.query, &a)
	}
	return x
}

// call sends a call with a new key. The call is recorded also when it fails, because it may have run.
func (r *loadRun) call(ctx context.Context, q request) answer {
	key, err := uuid.NewV7()
	if err != nil {
		return answer{failure: err.Error()}
	}
	text := fmt.Sprintf(`{"call":%q}`, key)
	var a encoder.CallAnswer
	body := encoder.CallRequest{Service: q.Service, Key: key.String(), Body: json.RawMessage(text), DeadlineMS: r.config.Deadline.Milliseconds()}
	if err := r.post(ctx, q, pathCall, body, &a); err != nil {
		return answer{failure: err.Error(), callBody: text}
	}
	x := answer{outcome: a.Outcome, callBody: text}
	if a.Outcome == encoder.OutcomeDone {
		x.wrong = checker.CheckCall([]byte(text), &a)
	}
	return x
}

// post sends a request and decodes its answer whatever the HTTP status is, because rejections have the same body format.
func (r *loadRun) post(ctx context.Context, q request, path string, body, reply any) error {
	deadline := r.config.Deadline
	if deadline <= 0 {
		deadline = DefaultLatencyObjective
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+answerGrace)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.entry.String()+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	h.Header.Set("Content-Type", "application/json")
	h.Header.Set(encoder.HeaderCaller, "bench")
	a, err := r.loader.http.Do(h)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	if err := encoder.Decode(a.Body, encoder.MaxReplyBytes, reply); err != nil {
		return fmt.Errorf("HTTP status %d: %w", a.StatusCode, err)
	}
	return nil
}

// record adds an answer to the report. The lag is the delay of the load generator behind the intended send time.
func (r *loadRun) record(q request, a answer, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.report
	if a.callBody != "" {
		if p.CallOutcomes[q.Service] == nil {
			p.CallOutcomes[q.Service] = make(map[string]encoder.Outcome)
		}
		p.CallOutcomes[q.Service][a.callBody] = a.outcome
	}
	if a.outcome != encoder.OutcomeNotRun {
		p.NeededSubRequests += uint64(q.Groups)
	}
	if a.wrong != "" { // counted in the warm-up too
		p.Wrong++
		p.addExample(fmt.Sprintf("wrong: %s %s: %s", q.Service, q.query, a.wrong))
	}
	if !q.isMeasured {
		return
	}
	p.Sent++
	_ = p.SendLag.RecordValue(histogramMicros(lag))
	switch a.outcome {
	case encoder.OutcomeDone, encoder.OutcomePartial:
		p.Answered++
		_ = p.Latency.RecordValue(histogramMicros(a.latency))
		if a.latency <= r.config.LatencyObjective {
			p.WithinObjective++
		}
		if a.missingShards == 0 && a.outcome == encoder.OutcomeDone {
			p.Whole++
		}
		p.CoveredShards += uint64(a.coveredShards)
		p.ReportedShards += uint64(a.coveredShards + a.missingShards)
	case encoder.OutcomeNotRun:
		p.Refused++
	case encoder.OutcomeUnknown:
		p.Unknown++
	default:
		p.Failed++
		p.addExample("failed: " + a.failure)
	}
}

// histogramMicros converts a duration to microseconds and limits it to the range of the histograms.
func histogramMicros(d time.Duration) int64 { return min(max(d.Microseconds(), minMicros), maxMicros) }
