package budgeter

// unit is one token. Tokens are counted in millionths, as integers, so that rounding never exceeds the bound.
const unit = 1_000_000

// Budget is a token bucket that gains a share of a token for each primary sub-request and loses one token for each hedge
// or retry. It starts full, so extra <= share*primary + limit holds in every window. The zero value allows nothing.
type Budget struct {
	share  int64 // millionths of a token for each primary sub-request
	limit  int64
	tokens int64
	set    bool
}

// Configure sets the share of extra sub-requests and the most whole tokens that the bucket holds. The first call fills the
// bucket; a later one only lowers the tokens to the new limit.
func (b *Budget) Configure(share float64, limit int) {
	b.share = int64(min(max(share, 0), 1) * unit)
	b.limit = int64(max(limit, 0)) * unit
	if !b.set {
		b.tokens, b.set = b.limit, true
	}
	b.tokens = min(b.tokens, b.limit)
}

// AddPrimaries adds the gain of n primary sub-requests.
func (b *Budget) AddPrimaries(n int) { b.tokens = min(b.limit, b.tokens+int64(n)*b.share) }

// TakeToken removes one token for a hedge or a retry. It returns false when there is none.
func (b *Budget) TakeToken() bool { return b.TakeTokenAbove(0) }

// TakeTokenAbove removes one token if more than a share of the bucket's limit, from 0 to 1, is left afterwards or exactly that share.
// It serves extra sub-requests that are useful but not needed.
func (b *Budget) TakeTokenAbove(share float64) bool {
	if b.tokens-unit < int64(share*float64(b.limit)) {
		return false
	}
	b.tokens -= unit
	return true
}

// Tokens returns the whole tokens left.
func (b *Budget) Tokens() int { return int(b.tokens / unit) }
