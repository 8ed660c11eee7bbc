package budgeter

import "time"

const (
	// periodsPerHalf is how many periods count the primary sub-requests of half a window.
	periodsPerHalf = 10
	// periodCount includes the current period, which is incomplete.
	periodCount = periodsPerHalf + 1
)

// Window limits the extra sends (hedges and retries) of one VM to a service in every span of a fixed length: at most the slack, and a
// share of the primary sub-requests of that span or of the one that began half a span earlier, whichever has more. Unlike a Budget,
// it grants the slack again in each span, so that a VM with few requests is not without extra sends for long after a fault.
//
// Either of two rules grants an extra send. The first one compares the extra sends of the last span with the primaries of its second
// half: these belong to every span that contains the extra send, or to the one half a span earlier. The second rule is a token bucket.
// Its level may be negative, because extra sends that the first rule granted take tokens too. The zero value grants nothing.
type Window struct {
	span   time.Duration
	gain   int64 // millionths of a token for each primary sub-request
	slack  int64 // millionths of a token
	level  int64 // of the token bucket, at most slack
	filled bool  // level was initialized

	extras     []time.Time // extra sends of the last span, in order of time
	primaries  [periodCount]int64
	period     int // index of the current period in primaries
	periodEnds time.Time
}

// Configure sets the length of a span, the share of extra sends per primary, from 0 to 1, and the slack in tokens, which may have a
// fraction. It keeps what was counted.
func (w *Window) Configure(span time.Duration, share, slack float64) {
	previous := w.slack
	w.span, w.gain, w.slack = max(0, span), int64(min(max(share, 0), 1)*tokenUnit), int64(max(slack, 0)*tokenUnit)
	if !w.filled {
		w.level, w.filled = w.slack, true
		return
	}
	w.level = min(w.level+min(0, w.slack-previous), w.slack)
}

// AddPrimaries counts n primary sub-requests.
func (w *Window) AddPrimaries(now time.Time, n int) {
	w.advance(now)
	w.primaries[w.period] += int64(n)
	w.level = min(w.slack, w.level+int64(n)*w.gain)
}

// TakeToken counts an extra send, if it is within the limits. It returns false if it is not.
func (w *Window) TakeToken(now time.Time) bool {
	if w.available(now) < tokenUnit {
		return false
	}
	w.level -= tokenUnit
	w.extras = append(w.extras, now)
	return true
}

// Tokens returns the number of whole tokens that can be taken now.
func (w *Window) Tokens(now time.Time) int { return int(max(0, w.available(now)) / tokenUnit) }

// available returns what the rule that grants more has left, in millionths of a token.
func (w *Window) available(now time.Time) int64 {
	w.advance(now)
	return max(w.level, w.slack+w.recentPrimaries()*w.gain-int64(len(w.extras))*tokenUnit)
}

// ReturnToken takes back the extra send that the last TakeToken counted at the same time, because it is not made.
func (w *Window) ReturnToken() {
	w.level = min(w.slack, w.level+tokenUnit)
	w.extras = w.extras[:max(0, len(w.extras)-1)]
}

// recentPrimaries returns the number of primaries in the last half span or a little less.
func (w *Window) recentPrimaries() int64 {
	n := int64(0)
	for i := range periodsPerHalf {
		n += w.primaries[(w.period-i+periodCount)%periodCount]
	}
	return n
}

// advance moves to the period of now and drops the extra sends that are older than a span.
func (w *Window) advance(now time.Time) {
	period := w.span / (2 * periodsPerHalf)
	if w.periodEnds.IsZero() {
		w.periodEnds = now.Add(period)
	}
	if late := now.Sub(w.periodEnds); late >= 0 && period > 0 {
		steps := 1 + int(late/period)
		for range min(steps, periodCount) {
			w.period = (w.period + 1) % periodCount
			w.primaries[w.period] = 0
		}
		w.periodEnds = w.periodEnds.Add(time.Duration(steps) * period)
	}
	old := 0
	for old < len(w.extras) && now.Sub(w.extras[old]) > w.span {
		old++
	}
	w.extras = append(w.extras[:0], w.extras[old:]...)
}
