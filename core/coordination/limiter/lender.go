package limiter

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// loanTime is how long a lender gives up a part of its share.
	loanTime = 2 * time.Second
	// borrowTime is how long the borrower uses it, from the moment it asked. The borrower asks before the lender gives, so
	// the borrower's time ends first, however long the messages take. The margin of 1 % covers clocks that run at
	// different rates.
	borrowTime = loanTime - loanTime/100
	// lendable is the part of its own share that a VM lends at most. A VM that replaced another one goes without this part
	// for loanTime, because a borrower may still use what the replaced VM lent.
	lendable = 0.5
	// askInterval is the least time between two requests for a loan.
	askInterval = 50 * time.Millisecond
	// loansKept bounds the loans in both directions that a VM keeps.
	loansKept = 64
)

// LoanRequest asks a peer for a part of its share of a limit, in units of the limit. Identifiers of one VM increase.
type LoanRequest struct {
	ID     uint64
	Amount float64
}

// LoanGrant tells how much of a request was granted.
type LoanGrant struct {
	ID     uint64
	Amount float64
}

// Lender moves parts of a fleet limit between VMs. The zero value has no share. What all VMs use together stays within the
// sum of their static shares in any order of messages, losses, pauses, restarts and views, because a lender stops using a
// part before the borrower may start, and the borrower stops before the lender starts again.
//
// A caller must read Share at the moment at which it uses it.
type Lender struct {
	share   float64
	started time.Time
	lent    []loan
	held    []loan // borrowed
	asked   loan   // the request without an answer; zero id for none
	askedAt time.Time
	lastID  uint64
	served  map[string]uint64 // last request of each peer
}

type loan struct {
	id     uint64
	amount float64
	until  time.Time
}

// Configure sets this VM's static share of the limit. The first call starts the time after which a starting VM uses its
// whole share. A changed share ends what was borrowed under the old one.
func (l *Lender) Configure(now time.Time, share float64) {
	if l.started.IsZero() {
		l.started = now
	}
	if share != l.share {
		l.held, l.asked = nil, loan{}
	}
	l.share = max(0, share)
}

// Share returns what this VM may use now.
func (l *Lender) Share(now time.Time) float64 {
	own := max(0, l.share-total(l.lent, now))
	if l.starting(now) {
		own = l.share * (1 - lendable)
	}
	return own + total(l.held, now)
}

func (l *Lender) starting(now time.Time) bool {
	return l.started.IsZero() || now.Sub(l.started) < loanTime
}

// RequestLoan returns a request for a loan and the peer to send it to, chosen at random. It returns false while a request may still
// be answered or was sent a moment ago.
func (l *Lender) RequestLoan(now time.Time, r *rand.Rand, peers []string, wanted float64) (LoanRequest, string, bool) {
	if wanted <= 0 || len(peers) == 0 || !l.askedAt.IsZero() && now.Sub(l.askedAt) < askInterval {
		return LoanRequest{}, "", false
	}
	l.held = current(l.held, now)
	if len(l.held) >= loansKept {
		return LoanRequest{}, "", false
	}
	// The time keeps identifiers increasing when this VM restarts under the same name.
	l.lastID = max(l.lastID+1, uint64(max(0, now.UnixNano())))
	l.askedAt = now
	l.asked = loan{id: l.lastID, amount: wanted, until: now.Add(borrowTime)}
	return LoanRequest{ID: l.lastID, Amount: wanted}, peers[r.IntN(len(peers))], true
}

// HandleRequest decides about a request of a peer. used is what this VM needs itself. It returns false when nothing is granted;
// no answer is sent then. A repeated or overtaken request is not granted again.
func (l *Lender) HandleRequest(now time.Time, peer string, q LoanRequest, used float64) (LoanGrant, bool) {
	l.lent = current(l.lent, now)
	if q.ID <= l.served[peer] || len(l.lent) >= loansKept || l.starting(now) {
		return LoanGrant{}, false
	}
	lent := total(l.lent, now)
	amount := min(q.Amount, l.share*lendable-lent, l.share-lent-used)
	if amount <= 0 {
		return LoanGrant{}, false
	}
	if len(l.served) >= loansKept {
		// Granting a repeated request wastes a part for loanTime, but the borrower takes only the first answer.
		clear(l.served)
	}
	if l.served == nil {
		l.served = make(map[string]uint64)
	}
	l.served[peer] = q.ID
	l.lent = append(l.lent, loan{id: q.ID, amount: amount, until: now.Add(loanTime)})
	return LoanGrant{ID: q.ID, Amount: amount}, true
}

// HandleGrant takes the answer to a request. An answer to an earlier request, or a second one, is ignored.
func (l *Lender) HandleGrant(now time.Time, g LoanGrant) {
	if g.ID == 0 || g.ID != l.asked.id || g.Amount <= 0 {
		return
	}
	granted := l.asked
	granted.amount = min(granted.amount, g.Amount)
	l.asked = loan{}
	if now.Before(granted.until) {
		l.held = append(current(l.held, now), granted)
	}
}

// NextChange returns the next time at which Share changes by itself.
func (l *Lender) NextChange(now time.Time) (time.Time, bool) {
	var first time.Time
	consider := func(t time.Time) {
		if t.After(now) && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	if !l.started.IsZero() {
		consider(l.started.Add(loanTime))
	}
	for _, x := range l.lent {
		consider(x.until)
	}
	for _, x := range l.held {
		consider(x.until)
	}
	return first, !first.IsZero()
}

func total(loans []loan, now time.Time) float64 {
	sum := 0.0
	for _, x := range loans {
		if now.Before(x.until) {
			sum += x.amount
		}
	}
	return sum
}

func current(loans []loan, now time.Time) []loan {
	return slices.DeleteFunc(loans, func(x loan) bool { return !now.Before(x.until) })
}
