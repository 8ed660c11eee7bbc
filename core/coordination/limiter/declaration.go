package limiter

//go:generate stringer -type=DeclarationKind -linecomment -output=strings.go

// DeclarationKind says what a reply declares about the rate of requests that its upstream takes.
type DeclarationKind int

// The kinds of a declaration. Malformed means that the reply names a rate that cannot be read.
const (
	Unlimited DeclarationKind = iota // unlimited
	Limited                          // limited
	Malformed                        // malformed
)

// Declaration is what one reply of an upstream says about the rate of requests that the upstream takes from all VMs together. The zero
// value names no limit.
type Declaration struct {
	Kind DeclarationKind
	Rate float64 // in requests per second, at least 0; only for Limited
}
