package recorder

// DefaultLimit is the number of values that a Ring keeps when its limit is not set.
const DefaultLimit = 4096

// Ring is a ring buffer of the last values. The zero value keeps DefaultLimit values. It is not safe for concurrent use.
type Ring[T any] struct {
	Limit  int // set before the first Add
	values []T
	next   int // index of the oldest value once the ring is full
	added  uint64
}

// Add stores a value and returns its number, which counts from 1. It drops the oldest value when the ring is full.
func (r *Ring[T]) Add(v T) uint64 {
	limit := r.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	r.added++
	if len(r.values) < limit {
		r.values = append(r.values, v)
		return r.added
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % len(r.values)
	return r.added
}

// Len returns the number of kept values.
func (r *Ring[T]) Len() int { return len(r.values) }

// Dropped returns the number of values that were dropped.
func (r *Ring[T]) Dropped() uint64 { return r.added - uint64(len(r.values)) }

// Each calls f with the number of each kept value and the value, oldest first. It stops at the first error of f and returns it.
func (r *Ring[T]) Each(f func(number uint64, v T) error) error {
	first := r.Dropped() + 1
	for k := range r.values {
		if err := f(first+uint64(k), r.values[(r.next+k)%len(r.values)]); err != nil {
			return err
		}
	}
	return nil
}
