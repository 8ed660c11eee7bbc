package router

import (
	"fmt"
	"strings"
	"time"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
)

// checker holds what the invariants need to know about a run, apart from the state of the machine.
type checker struct {
	table    *tabler.Snapshot
	requests map[RequestID]*checkedRequest
	attempts map[AttemptID]*checkedAttempt
	stopped  map[string]bool // draining and leaving upstreams of the table
	tokens   map[string]float64
}

type checkedRequest struct {
	event    RequestArrived
	deadline time.Time
	answered bool
	gone     bool
	versions map[int]uint64 // last version asked of each group
	unsent   map[int]bool   // the last attempt of the group was not written
	free     map[int]int    // reroutes of each group
	changes  map[int]int    // of the version in each group
	ran      bool           // a call may have run
}

type checkedAttempt struct {
	send  Send
	group int
	ended bool
	live  bool // neither ended nor cancelled
}

func newChecker() *checker {
	return &checker{
		requests: make(map[RequestID]*checkedRequest), attempts: make(map[AttemptID]*checkedAttempt),
		stopped: make(map[string]bool), tokens: make(map[string]float64),
	}
}

const tolerance = 1e-6

func budgetCap(v *tabler.Value) float64 {
	return float64(budgetLimit(v.GroupCount()))
}

// step checks the actions that follow an event. It returns the first violation.
func (c *checker) step(now time.Time, ev Event, actions []Action) error {
	c.before(now, ev)
	for _, a := range actions {
		if err := c.action(now, a); err != nil {
			return fmt.Errorf("%w\nafter %T%+v", err, ev, ev)
		}
	}
	if e, ok := ev.(CallerGone); ok {
		for id, a := range c.attempts {
			if a.send.Request == e.Request && a.live {
				return fmt.Errorf("attempt %d still runs after its caller is gone", id)
			}
		}
	}
	return nil
}

func (c *checker) before(now time.Time, ev Event) {
	switch e := ev.(type) {
	case TableAdopted:
		c.table = e.Table
		for name := range c.stopped {
			if !c.listed(name) {
				delete(c.stopped, name) // an operator who adds it again wants it to be used
			}
		}
		for _, v := range e.Table.Values {
			if _, ok := c.tokens[v.Service.Service]; !ok {
				c.tokens[v.Service.Service] = budgetCap(v)
			}
		}
	case RequestArrived:
		d := e.Deadline
		if d.IsZero() {
			d = now.Add(tabler.DefaultDeadline)
		}
		c.requests[e.Request] = &checkedRequest{
			event: e, deadline: d, versions: make(map[int]uint64), unsent: make(map[int]bool), free: make(map[int]int),
			changes: make(map[int]int),
		}
	case CallerGone:
		if r := c.requests[e.Request]; r != nil {
			r.gone = true
		}
	case ReplyArrived:
		a := c.attempts[e.Attempt]
		if a == nil || a.ended {
			return // a second end, which the machine ignores
		}
		if a.live { // the end of a cancelled attempt decides nothing
			c.requests[a.send.Request].unsent[a.group] = false
		}
		a.ended, a.live = true, false
		if s := e.Reply.Status; s != encoder.StatusShed && s != encoder.StatusDraining {
			c.requests[a.send.Request].ran = true
		}
		c.report(e.Reply)
	case AttemptFailed:
		if a := c.attempts[e.Attempt]; a != nil && !a.ended {
			r := c.requests[a.send.Request]
			if a.live {
				// A search that was lost on an unresponsive connection cost its upstream nothing, like one that was not written.
				r.unsent[a.group] = !e.Written || e.Failure == FailureUnresponsive && a.send.Kind != encoder.SubCall
			}
			a.ended, a.live = true, false
			r.ran = r.ran || e.Written
		}
	case UpstreamSeen:
		c.report(e.Reply)
	case UpstreamLeaving:
		c.stop(e.Upstream, e.Leaving)
	}
}

func (c *checker) report(r *encoder.SubReply) {
	c.stop(r.Upstream, r.Draining || r.Status == encoder.StatusDraining)
}

func (c *checker) stop(name string, stopped bool) {
	if stopped && c.listed(name) {
		c.stopped[name] = true
	} else {
		delete(c.stopped, name)
	}
}

// listed tells whether the table has an upstream.
func (c *checker) listed(name string) bool {
	for _, v := range c.table.Values {
		for i := range v.Upstreams {
			if v.Upstreams[i].Upstream == name {
				return true
			}
		}
	}
	return false
}

func (c *checker) action(now time.Time, action Action) error {
	switch a := action.(type) {
	case Send:
		return c.send(now, a)
	case Cancel:
		c.attempts[a.Attempt].live = false
	case AnswerSearch:
		if err := c.answer(now, a.Request); err != nil {
			return err
		}
		return c.search(c.requests[a.Request], a.Answer)
	case AnswerPoint:
		if err := c.answer(now, a.Request); err != nil {
			return err
		}
		r := c.requests[a.Request]
		if r.event.Kind == encoder.SubCall && a.Answer.Outcome == encoder.OutcomeNotRun && (r.ran || c.running(a.Request)) {
			return fmt.Errorf("call %d is answered as not run and may have run", a.Request)
		}
	}
	return nil
}

// running tells whether an attempt of a request has no reported end.
func (c *checker) running(id RequestID) bool {
	for _, a := range c.attempts {
		if a.send.Request == id && !a.ended {
			return true
		}
	}
	return false
}

func (c *checker) send(now time.Time, s Send) error {
	r := c.requests[s.Request]
	v := c.table.FindService(s.Service)
	group, weight := -1, 0
	for i := range v.Upstreams {
		if u := &v.Upstreams[i]; u.Upstream == s.Upstream {
			group, weight = u.Group, u.Weight
		}
	}
	if v.Service.Kind == tabler.KindPoint {
		group = 0
	}
	switch {
	case r.answered || r.gone:
		return fmt.Errorf("request %d sends after its end", s.Request)
	case weight == 0 || c.stopped[s.Upstream]:
		return fmt.Errorf("request %d sends to %s, which gets no new work", s.Request, s.Upstream)
	case !now.Before(r.deadline):
		return fmt.Errorf("request %d sends after its deadline", s.Request)
	case s.Kind == encoder.SubCall && (r.ran || c.running(s.Request)):
		return fmt.Errorf("call %d goes to a second upstream after it may have run", s.Request)
	}
	last, again := r.versions[group]
	r.versions[group] = s.Version
	c.attempts[s.Attempt] = &checkedAttempt{send: s, group: group, live: true}
	switch {
	case !again:
		c.tokens[s.Service] = min(budgetCap(v), c.tokens[s.Service]+v.Service.HedgeBudget)
	case last != s.Version:
		r.free[group] = 0
		if last != 0 {
			r.changes[group]++
		}
		if r.changes[group] > 1 {
			return fmt.Errorf("request %d changes its index version twice", s.Request)
		}
	case r.unsent[group]:
		if r.free[group]++; r.free[group] > maxAttempts*(maxPauses+1) {
			return fmt.Errorf("request %d is rerouted without bound", s.Request)
		}
	default:
		if c.tokens[s.Service]--; c.tokens[s.Service] < -tolerance {
			return fmt.Errorf("request %d: hedges and retries are above the budget", s.Request)
		}
	}
	return nil
}

func (c *checker) answer(now time.Time, id RequestID) error {
	r := c.requests[id]
	switch {
	case r.answered:
		return fmt.Errorf("request %d has a second answer", id)
	case r.gone:
		return fmt.Errorf("request %d is answered after its caller is gone", id)
	case now.After(r.deadline):
		return fmt.Errorf("request %d is answered after its deadline", id)
	}
	r.answered = true
	return nil
}

// tag marks a result with where it came from.
func tag(version uint64, layout string, shard int) string {
	return fmt.Sprintf("%d/%s/%d", version, layout, shard)
}

func (c *checker) search(r *checkedRequest, a *encoder.SearchAnswer) error {
	seen := make([]int, a.ShardsTotal)
	for _, s := range a.Covered {
		seen[s]++
	}
	for _, s := range a.Missing {
		seen[s.Shard]++
		if s.Reason == "" {
			return fmt.Errorf("request %d: shard %d is missing without a reason", r.event.Request, s.Shard)
		}
	}
	for s, n := range seen {
		if n != 1 {
			return fmt.Errorf("request %d: shard %d is listed %d times", r.event.Request, s, n)
		}
	}
	if len(a.Results) != len(a.Covered) {
		return fmt.Errorf("request %d: %d results for %d covered shards", r.event.Request, len(a.Results), len(a.Covered))
	}
	for k, s := range a.Results {
		if want := tag(a.Snapshot, a.Layout, a.Covered[k]); s.Shard != a.Covered[k] || strings.Join(s.Items, " ") != want {
			return fmt.Errorf("request %d: the result of shard %d is %v, not of %s", r.event.Request, s.Shard, s.Items, want)
		}
	}
	if a.Outcome == encoder.OutcomeDone && (a.ShardsTotal == 0 || len(a.Missing) > 0) {
		return fmt.Errorf("request %d is done with %d shards missing of %d", r.event.Request, len(a.Missing), a.ShardsTotal)
	}
	return nil
}

// finished tells which requests have no answer although their callers wait.
func (c *checker) finished() error {
	for id, r := range c.requests {
		if !r.answered && !r.gone {
			return fmt.Errorf("request %d has no answer", id)
		}
	}
	return nil
}
