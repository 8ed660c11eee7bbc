package budgeter

// tokenUnit is the internal value of one token. Tokens are integers in millionths, so that rounding never exceeds the limit.
const tokenUnit = 1_000_000

// Budget is a token bucket. Each primary sub-request adds a share of a token, and each hedge or retry takes one token. The bucket
// starts full, so extra <= share*primaries + limit holds in every window. The zero value allows no hedges or retries.
type Budget struct {
	gain       int64 // millionths of a token for each primary sub-request
	limit      int64
	tokens     int64
	configured bool
}

// Configure sets the share of extra sub-requests, from 0 to 1, and the capacity of the bucket in tokens. The first call fills the
// bucket; later calls only reduce the tokens to the new capacity.
func (b *Budget) Configure(share float64, limit int) {
	b.gain = int64(min(max(share, 0), 1) * tokenUnit)
	b.limit = int64(max(limit, 0)) * tokenUnit
	if !b.configured {
		b.tokens, b.configured = b.limit, true
	}
	b.tokens = min(b.tokens, b.limit)
}

// AddPrimaries adds the shares of n primary sub-requests.
func (b *Budget) AddPrimaries(n int) { b.tokens = min(b.limit, b.tokens+int64(n)*b.gain) }

// TakeToken takes one token for a hedge or a retry. It returns false if none is left.
func (b *Budget) TakeToken() bool { return b.TakeTokenAbove(0) }

// TakeTokenAbove takes one token if at least the given share of the capacity, from 0 to 1, remains. It is for extra sub-requests
// that are useful but not necessary.
func (b *Budget) TakeTokenAbove(share float64) bool {
	if b.tokens-tokenUnit < int64(share*float64(b.limit)) {
		return false
	}
	b.tokens -= tokenUnit
	return true
}

// Tokens returns the number of whole tokens left.
func (b *Budget) Tokens() int { return int(b.tokens / tokenUnit) }
