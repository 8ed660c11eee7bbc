package pacer

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// The defaults of a Pacer.
const (
	DefaultRate      = 5.0 // calls per second
	DefaultBurst     = 5
	DefaultBaseDelay = 100 * time.Millisecond // first back-off delay
	DefaultMaxDelay  = 30 * time.Second       // longest back-off delay; 1,400 VMs then make 47 calls/s
	RecoveryDelay    = 2 * time.Second        // back-off delay after ShortenDelay; 1,400 VMs then make 700 calls/s
)

// Pacer is the call budget and the back-off of one kind of call. Its zero value uses the defaults and has no jitter.
// The fields are set before the first use.
type Pacer struct {
	Rate      float64       // calls per second
	Burst     int           // most calls at once
	BaseDelay time.Duration // first back-off delay
	MaxDelay  time.Duration // longest back-off delay, before jitter
	Random    *rand.Rand    // jitter

	limiter  *rate.Limiter
	failures int
	delayEnd time.Time // end of the back-off delay
}

// Allow reports whether a call may be made now, and counts it if so. While calls fail, one call is allowed per delay: an
// allowed call postpones the next one by a whole delay, even if it is never answered.
func (p *Pacer) Allow(now time.Time) bool {
	p.initLimiter(now)
	if now.Before(p.delayEnd) || !p.limiter.AllowN(now, 1) {
		return false
	}
	if p.failures > 0 {
		p.delayEnd = now.Add(p.delay())
	}
	return true
}

// RecordFailure records a call without an answer and starts the next back-off delay.
func (p *Pacer) RecordFailure(now time.Time) {
	p.failures++
	p.delayEnd = now.Add(p.delay())
}

// RecordAnswer records a call that the platform answered and ends the back-off. The first answer after failures
// empties the budget, so that the pending calls are spread over time.
func (p *Pacer) RecordAnswer(now time.Time) {
	p.initLimiter(now)
	if p.failures > 0 {
		p.limiter.AllowN(now, int(max(0, p.limiter.TokensAt(now))))
	}
	p.failures, p.delayEnd = 0, time.Time{}
}

// ShortenDelay shortens the back-off delay to about RecoveryDelay. It is called when another VM is known to have had an answer
// from the platform. Without it a VM could take up to the maximum delay to notice the end of an outage.
func (p *Pacer) ShortenDelay(now time.Time) {
	if at := now.Add(Jitter(p.Random, RecoveryDelay)); p.failures > 0 && p.delayEnd.After(now.Add(RecoveryDelay*3/2)) {
		p.delayEnd = at
	}
}

// Failing reports whether the last call had no answer.
func (p *Pacer) Failing() bool { return p.failures > 0 }

func (p *Pacer) initLimiter(now time.Time) {
	if p.limiter != nil {
		return
	}
	r, b := p.Rate, p.Burst
	if r <= 0 {
		r = DefaultRate
	}
	if b <= 0 {
		b = DefaultBurst
	}
	p.limiter = rate.NewLimiter(rate.Limit(r), b)
	p.limiter.AllowN(now, 0) // starts the token bucket at the caller's clock
}

// delay returns the exponential delay with jitter. The jitter, from half to one and a half times the delay, keeps the mean and
// spreads the calls of VMs that failed at the same time.
func (p *Pacer) delay() time.Duration {
	base, limit := p.BaseDelay, p.MaxDelay
	if base <= 0 {
		base = DefaultBaseDelay
	}
	if limit <= 0 {
		limit = DefaultMaxDelay
	}
	d := limit
	if n := max(0, p.failures-1); n < 30 {
		d = min(limit, base<<n)
	}
	return Jitter(p.Random, d)
}

// Jitter returns a random duration from d/2 to 3d/2, or d if random is nil.
func Jitter(random *rand.Rand, d time.Duration) time.Duration {
	if random == nil || d <= 1 {
		return d
	}
	return d/2 + time.Duration(random.Int64N(int64(d)))
}
