package limiter

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// loanDuration is how long a lender does not use the part of its share that it lent.
	loanDuration = 2 * time.Second
	// borrowDuration is how long the borrower uses that part, counted from its request. The request precedes the grant, so the
	// borrower stops first, however long the messages take. The margin of 1 % covers clocks that run at different rates.
	borrowDuration = loanDuration - loanDuration/100
	// maxLentShare is the largest part of its own share that a VM lends. A starting VM does not use this part for loanDuration:
	// it may replace a VM whose loans a borrower still uses.
	maxLentShare = 0.5
	// minRequestInterval is the shortest time between two loan requests.
	minRequestInterval = 50 * time.Millisecond
	// maxLoans bounds the loans that a VM keeps in each direction.
	maxLoans = 64
)

// LoanRequest asks a peer for a part of its share of a limit. Amount has the unit of the limit. The IDs of one VM increase.
type LoanRequest struct {
	ID     uint64
	Amount float64
}

// LoanGrant is the reply to a LoanRequest. Amount is the part that was granted.
type LoanGrant struct {
	ID     uint64
	Amount float64
}

// Lender moves parts of a fleet-wide limit between VMs. The zero value has no share. The VMs together stay within the sum of
// their static shares whatever happens to messages, VMs and views of the fleet, including reordering, losses, pauses and
// restarts: a lender stops using a part before the borrower may start, and the borrower stops before the lender resumes.
//
// Share must be read at the time of each use.
type Lender struct {
	share          float64
	started        time.Time
	lent           []loan
	borrowed       []loan
	pendingRequest loan // the request without a grant; its id is 0 if there is none
	lastRequestAt  time.Time
	lastID         uint64
	lastServed     map[string]uint64 // ID of the last granted request of each peer
}

type loan struct {
	id     uint64
	amount float64
	until  time.Time
}

// Configure sets this VM's static share of the limit. The first call starts the period in which a starting VM does not use its
// whole share. A change of the share ends all borrowed loans.
func (l *Lender) Configure(now time.Time, share float64) {
	if l.started.IsZero() {
		l.started = now
	}
	if share != l.share {
		l.borrowed, l.pendingRequest = nil, loan{}
	}
	l.share = max(0, share)
}

// Share returns the part of the limit that this VM may use now.
func (l *Lender) Share(now time.Time) float64 {
	own := max(0, l.share-totalAmount(l.lent, now))
	if l.starting(now) {
		own = l.share * (1 - maxLentShare)
	}
	return own + totalAmount(l.borrowed, now)
}

func (l *Lender) starting(now time.Time) bool {
	return l.started.IsZero() || now.Sub(l.started) < loanDuration
}

// RequestLoan returns a loan request and the randomly selected peer to send it to. It returns false if nothing is wanted, there
// are no peers, the last request is more recent than minRequestInterval, or too many loans are borrowed.
func (l *Lender) RequestLoan(now time.Time, r *rand.Rand, peers []string, wanted float64) (LoanRequest, string, bool) {
	if wanted <= 0 || len(peers) == 0 || !l.lastRequestAt.IsZero() && now.Sub(l.lastRequestAt) < minRequestInterval {
		return LoanRequest{}, "", false
	}
	l.borrowed = unexpired(l.borrowed, now)
	if len(l.borrowed) >= maxLoans {
		return LoanRequest{}, "", false
	}
	// The clock keeps the IDs increasing when this VM restarts under the same name.
	l.lastID = max(l.lastID+1, uint64(max(0, now.UnixNano())))
	l.lastRequestAt = now
	l.pendingRequest = loan{id: l.lastID, amount: wanted, until: now.Add(borrowDuration)}
	return LoanRequest{ID: l.lastID, Amount: wanted}, peers[r.IntN(len(peers))], true
}

// HandleRequest decides on a request of a peer. used is the part of the limit that this VM needs itself. It returns false if
// nothing is granted; then no reply is sent. A repeated request, or one older than the last granted one, is not granted.
func (l *Lender) HandleRequest(now time.Time, peer string, q LoanRequest, used float64) (LoanGrant, bool) {
	l.lent = unexpired(l.lent, now)
	if q.ID <= l.lastServed[peer] || len(l.lent) >= maxLoans || l.starting(now) {
		return LoanGrant{}, false
	}
	lent := totalAmount(l.lent, now)
	amount := min(q.Amount, l.share*maxLentShare-lent, l.share-lent-used)
	if amount <= 0 {
		return LoanGrant{}, false
	}
	if len(l.lastServed) >= maxLoans {
		// A repeated request may be granted again after this. That wastes a part of the share for loanDuration, but the borrower
		// accepts only the first grant.
		clear(l.lastServed)
	}
	if l.lastServed == nil {
		l.lastServed = make(map[string]uint64)
	}
	l.lastServed[peer] = q.ID
	l.lent = append(l.lent, loan{id: q.ID, amount: amount, until: now.Add(loanDuration)})
	return LoanGrant{ID: q.ID, Amount: amount}, true
}

// HandleGrant accepts the grant of the last request. A grant of an earlier request, or a repeated one, is ignored.
func (l *Lender) HandleGrant(now time.Time, g LoanGrant) {
	if g.ID == 0 || g.ID != l.pendingRequest.id || g.Amount <= 0 {
		return
	}
	granted := l.pendingRequest
	granted.amount = min(granted.amount, g.Amount)
	l.pendingRequest = loan{}
	if now.Before(granted.until) {
		l.borrowed = append(unexpired(l.borrowed, now), granted)
	}
}

// NextChange returns the next time at which Share changes because of elapsed time.
func (l *Lender) NextChange(now time.Time) (time.Time, bool) {
	var first time.Time
	consider := func(t time.Time) {
		if t.After(now) && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	if !l.started.IsZero() {
		consider(l.started.Add(loanDuration))
	}
	for _, x := range l.lent {
		consider(x.until)
	}
	for _, x := range l.borrowed {
		consider(x.until)
	}
	return first, !first.IsZero()
}

func totalAmount(loans []loan, now time.Time) float64 {
	sum := 0.0
	for _, x := range loans {
		if now.Before(x.until) {
			sum += x.amount
		}
	}
	return sum
}

func unexpired(loans []loan, now time.Time) []loan {
	return slices.DeleteFunc(loans, func(x loan) bool { return !now.Before(x.until) })
}
