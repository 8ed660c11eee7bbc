package checker

//go:generate stringer -type=Severity,Problem -linecomment -output=strings.go

// Severity says what a finding means for callers.
type Severity int

// The severities. An Error makes requests fail or a part have no effect; a Warning is allowed and seldom meant.
const (
	Error   Severity = iota // error
	Warning                 // warning
)

// Problem says what is wrong with a field.
type Problem int

// The problems of a field. Elsewhere means that another part has the same value already, Unused that nothing refers to the part, and Shadowed that an earlier
// route takes all requests. The others name a contradiction with another field.
const (
	Missing            Problem = iota // missing
	Malformed                         // malformed
	OutOfRange                        // out_of_range
	Duplicate                         // duplicate
	Elsewhere                         // elsewhere
	UnknownService                    // unknown_service
	SeveralTargets                    // several_destinations
	Unused                            // unused
	Shadowed                          // shadowed
	NotNewer                          // not_newer
	NeedsEveryShard                   // needs_every_shard
	BelowTarget                       // below_target
	MustRepeat                        // must_be_idempotent
	BurstBelowRequest                 // burst_below_request
	BurstWithoutRate                  // burst_without_rate
	WarmupWithoutTime                 // warmup_without_time
	NobodyHasKey                      // nobody_has_key
	KeyCannotBePresent                // key_cannot_be_presented
)

// LastProblem is the largest Problem.
const LastProblem = KeyCannotBePresent

// Part is a kind of part of a manifest.
type Part int

// The parts of a manifest.
const (
	Whole Part = iota
	RoutePart
	ServicePart
	CustomerPart
	LimitsPart
)

// Field is a field of a part.
type Field int

// The fields of all parts.
const (
	Version Field = iota
	Routes
	Customers
	Name
	Host
	Prefix
	Kind
	Timeout
	LatencyTarget
	Priority
	MaxAttempts
	Destination
	Weighted // services of a split, by Element
	Weight
	Shards
	TopK
	MinCoverage
	MaxConnections
	ColdTime
	WarmupRate
	Keys
	Rate
	Burst
	MaxHeaderBytes
	MaxBodyBytes
	HeaderTimeout
	IdleTimeout
)

// Place is a field of a part of a manifest. Element is the position in a field that is a list, -1 for the field as a whole.
type Place struct {
	Part    Part
	Index   int // of the route, service or customer
	Field   Field
	Element int
}

// Finding is one fault of a manifest.
type Finding struct {
	Severity Severity
	Problem  Problem
	Place    Place
	Other    int     // index of the part of the same kind that conflicts with this one
	Most     float64 // largest value that is allowed; for NeedsEveryShard
}
