package receiver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/entry/internal/looper"
	"comfreyroute/entry/internal/measurer"
)

// withRequestID returns a copy of a with the request ID. It copies the answer because the trace still refers to the original.
func withRequestID(a looper.Answer, id string) looper.Answer {
	if a.Search != nil {
		search := *a.Search
		search.RequestID = id
		return looper.Answer{Search: &search}
	}
	point := *a.Point
	point.RequestID = id
	return looper.Answer{Point: &point}
}

func notRunAnswer(kind encoder.SubKind, reason string, retry time.Duration) looper.Answer {
	if kind == encoder.SubSearch {
		return looper.Answer{Search: &encoder.SearchAnswer{
			Outcome: encoder.OutcomeNotRun, Reason: reason, RetryAfterMS: retry.Milliseconds(),
			Covered: []int{}, Missing: []encoder.MissingShard{}, Results: []encoder.ShardResult{},
		}}
	}
	return looper.Answer{Point: &encoder.CallAnswer{
		Outcome: encoder.OutcomeNotRun, Reason: reason, RetryAfterMS: retry.Milliseconds(),
	}}
}

// lateAnswer returns the answer to a request that the routing loop did not answer in time. Its outcome is unknown, because parts of
// the request may have run.
func lateAnswer(kind encoder.SubKind) looper.Answer {
	a := notRunAnswer(kind, "late", 0)
	if a.Search != nil {
		a.Search.Outcome = encoder.OutcomeUnknown
	} else {
		a.Point.Outcome = encoder.OutcomeUnknown
	}
	return a
}

// writeRefusal answers a request that this VM does not accept. The outcome of a refused call is unknown, because an earlier attempt
// with its key or ticket may have run on another VM.
func (r *Receiver) writeRefusal(c iris.Context, sub encoder.SubKind, reason string) {
	if r.admissionClosed.Load() {
		reason = reasonLeaving
	}
	measurer.CountRefusal(string(sub), reason)
	a := notRunAnswer(sub, reason, retryDelay)
	if a.Search != nil {
		writeJSON(c, http.StatusServiceUnavailable, a.Search.RetryAfterMS, a.Search)
		return
	}
	if sub == encoder.SubCall {
		a.Point.Outcome = encoder.OutcomeUnknown
	}
	writeJSON(c, http.StatusServiceUnavailable, a.Point.RetryAfterMS, a.Point)
}

// httpStatus returns the HTTP status code for an outcome.
func httpStatus(o encoder.Outcome) int {
	switch o {
	case encoder.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case encoder.OutcomeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusOK
	}
}

func writeJSON(c iris.Context, status int, retryMS int64, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		writeError(c, http.StatusInternalServerError, "the answer cannot be encoded")
		return
	}
	if retryMS > 0 {
		c.Header("Retry-After", strconv.FormatInt((retryMS+999)/1000, 10))
	}
	c.ContentType(contentTypeJSON)
	c.StatusCode(status)
	_, _ = c.Write(data)
}

// writeError answers an invalid request.
func writeError(c iris.Context, status int, message string) {
	measurer.CountRejection(status)
	writeJSON(c, status, 0, struct {
		Outcome encoder.Outcome `json:"outcome"`
		Reason  string          `json:"reason"`
	}{encoder.OutcomeNotRun, message})
}

// validCaller reports whether a caller's name is short enough and can be forwarded in an HTTP header.
func validCaller(name string) bool {
	if len(name) > maxCallerBytes {
		return false
	}
	for i := range len(name) {
		if name[i] < ' ' || name[i] > '~' {
			return false
		}
	}
	return true
}
