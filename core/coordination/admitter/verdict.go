package admitter

import "time"

// Decision is the admission decision on an offered request.
type Decision int

// The admission decisions.
const (
	Admit  Decision = iota // admit
	Wait                   // wait
	Reject                 // reject
)

// The reasons of a rejection.
const (
	ReasonDeadline  = "deadline"
	ReasonQueueFull = "queue_full"
)

// Verdict is the result of an offer. Reason and RetryAfter are set on a rejection.
type Verdict struct {
	Decision   Decision
	Reason     string
	RetryAfter time.Duration
}

// Entry is a request that is offered for admission.
type Entry struct {
	Request  uint64
	Caller   string
	Deadline time.Time
}
