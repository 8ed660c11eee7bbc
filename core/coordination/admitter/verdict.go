package admitter

import "time"

// Decision is what becomes of an offered request.
type Decision int

// The decisions of an offer.
const (
	Admit  Decision = iota // admit
	Wait                   // wait
	Reject                 // reject
)

// Reasons of a rejection.
const (
	ReasonDeadline  = "deadline"
	ReasonQueueFull = "queue_full"
)

// Verdict is the answer to an offer. Reason and RetryAfter are set on a rejection.
type Verdict struct {
	Decision   Decision
	Reason     string
	RetryAfter time.Duration
}

// Entry is one request offered for admission.
type Entry struct {
	Request  uint64
	Caller   string
	Deadline time.Time
}
