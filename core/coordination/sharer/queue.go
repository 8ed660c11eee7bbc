package sharer

import "slices"

const (
	// MaxUsers bounds the users with a share of their own. Further users have one together.
	MaxUsers = 1024
	// overflowUser is the name of the share that the users above MaxUsers have together.
	overflowUser = ""
)

// Item is an entry in the queue.
type Item[E any] struct {
	Entry E
	Start float64 // start tag in virtual time
	Order uint64  // counts the entries of the queue
	work  float64
}

// precedes reports whether an item goes before one of another user.
func (i *Item[E]) precedes(o *Item[E]) bool {
	return i.Start < o.Start || i.Start == o.Start && i.Order < o.Order
}

// User is one user of a queue with its entries, the oldest first.
type User[E any] struct {
	Name   string
	Weight float64
	Items  []Item[E]
	finish float64 // virtual finish time of the newest entry
}

// WeightedLength returns the number of entries divided by the user's weight.
func (u *User[E]) WeightedLength() float64 { return float64(len(u.Items)) / u.Weight }

// Queue is a fair queue. It holds its users in the order in which they were first seen, so that replaying a trace results in the
// same decisions. The zero value is empty.
type Queue[E any] struct {
	Users       []*User[E]
	names       map[string]*User[E]
	virtualTime float64 // no later than the start tag of any entry
	lastOrder   uint64
}

// Find returns a user, or nil if it has no entries and no recent ones.
func (q *Queue[E]) Find(name string) *User[E] {
	if u := q.names[name]; u != nil || len(q.Users) < MaxUsers {
		return u
	}
	return q.names[overflowUser]
}

// Add adds a user. At the bound it first removes users without entries whose finish tag is not ahead of the virtual time. If that
// makes no room, the new user has a share with others.
func (q *Queue[E]) Add(name string, weight float64) *User[E] {
	if len(q.Users) >= MaxUsers {
		q.removeIdle()
	}
	if len(q.Users) >= MaxUsers {
		name, weight = overflowUser, 1
		if u := q.names[name]; u != nil {
			return u
		}
	}
	if q.names == nil {
		q.names = make(map[string]*User[E])
	}
	u := &User[E]{Name: name, Weight: weight}
	q.Users = append(q.Users, u)
	q.names[name] = u
	return u
}

func (q *Queue[E]) removeIdle() {
	q.Users = slices.DeleteFunc(q.Users, func(u *User[E]) bool {
		idle := len(u.Items) == 0 && u.finish <= q.virtualTime
		if idle {
			delete(q.names, u.Name)
		}
		return idle
	})
}

// Push adds an entry of a user that needs an amount of work, and returns its item.
func (q *Queue[E]) Push(u *User[E], work float64, entry E) Item[E] {
	q.lastOrder++
	i := Item[E]{Entry: entry, Start: max(q.virtualTime, u.finish), Order: q.lastOrder, work: work}
	u.finish = i.Start + work/u.Weight
	u.Items = append(u.Items, i)
	return i
}

// Next returns the user whose oldest entry goes next, or nil if the queue is empty.
func (q *Queue[E]) Next() *User[E] {
	var next *User[E]
	for _, u := range q.Users {
		if len(u.Items) > 0 && (next == nil || u.Items[0].precedes(&next.Items[0])) {
			next = u
		}
	}
	return next
}

// Pop removes the oldest entry of a user for its turn.
func (q *Queue[E]) Pop(u *User[E]) Item[E] {
	i := u.Items[0]
	u.Items = slices.Delete(u.Items, 0, 1)
	q.virtualTime = max(q.virtualTime, i.Start)
	return i
}

// Leave removes any entry of a user out of turn, such as one that needs nothing for which the others wait. It does not move the virtual time
// past those. It does nothing if the entry is not there.
func (q *Queue[E]) Leave(u *User[E], order uint64) {
	at := slices.IndexFunc(u.Items, func(i Item[E]) bool { return i.Order == order })
	if at < 0 {
		return
	}
	passed := u.Items[at].Start
	u.Items = slices.Delete(u.Items, at, at+1)
	if next := q.Next(); next != nil {
		passed = min(passed, next.Items[0].Start)
	}
	q.virtualTime = max(q.virtualTime, passed)
}

// DropNewest removes the newest entry of a user without a turn.
func (q *Queue[E]) DropNewest(u *User[E]) Item[E] {
	last := len(u.Items) - 1
	i := u.Items[last]
	u.Items = u.Items[:last]
	u.finish -= i.work / u.Weight
	return i
}

// Longest returns the user other than u with the largest weighted length, or nil if no other has entries.
func (q *Queue[E]) Longest(u *User[E]) *User[E] {
	var most *User[E]
	for _, o := range q.Users {
		if o != u && len(o.Items) > 0 && (most == nil || o.WeightedLength() > most.WeightedLength()) {
			most = o
		}
	}
	return most
}

// Reset removes all users and sets the virtual time back. No entry may be waiting.
func (q *Queue[E]) Reset() {
	if len(q.Users) > 0 {
		q.Users, q.names = nil, nil
	}
	q.virtualTime = 0
}
