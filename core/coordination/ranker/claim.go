package ranker

import "time"

// spareTokens is how many tokens a request leaves while one that needs it more waits for a token.
const spareTokens = 1

// Claim is what a request loses without an extra send.
type Claim struct {
	Covered bool // the request has its minimum coverage already
	Rank    Rank
}

// precedes reports whether a token helps more here than there.
func (c Claim) precedes(o Claim) bool {
	if c.Covered != o.Covered {
		return o.Covered
	}
	return c.Rank.Compare(o.Rank) < 0
}

// Claims shares the tokens for extra sends to one service. The zero value is ready for use.
//
// It answers a fault that uses up the tokens: many requests want extra sends at once, and the first ones to ask are not those that a token helps most.
type Claims struct {
	denied Claim
	until  time.Time // when the denied request asks again
}

// Allow reports whether a request may take one of the tokens that are left.
func (c *Claims) Allow(now time.Time, claim Claim, tokens int) bool {
	if now.Before(c.until) && c.denied.precedes(claim) {
		return tokens > spareTokens
	}
	return tokens > 0
}

// RecordDenied records a request that found no token and asks again at a time.
func (c *Claims) RecordDenied(now time.Time, claim Claim, again time.Time) {
	if !now.Before(c.until) || claim.precedes(c.denied) {
		c.denied, c.until = claim, again
	}
}

// RecordTaken records that a request has taken a token.
func (c *Claims) RecordTaken(claim Claim) {
	if claim == c.denied {
		c.until = time.Time{}
	}
}
