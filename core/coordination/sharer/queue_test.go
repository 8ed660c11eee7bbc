package sharer

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// model is what each user asked for and got.
type model struct {
	waiting []uint64 // orders of the entries, the oldest first
	turns   float64  // work/weight of the entries that got a turn while all users had entries
}

// TestShares guards, over random sequences, against entries that are lost or get two turns, against turns out of the order of one user, and against a user
// whose share falls behind that of another by more than the largest entry of each while both have entries.
func TestShares(t *testing.T) {
	const maxWork = 4
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		steps := []string{"push", "push", "pop", "drop"}
		leaving := rapid.Bool().Draw(t, "leaving") // entries that leave have had their work out of turn, so that shares differ
		if leaving {
			steps = append(steps, "leave")
		}
		users := make([]model, rapid.IntRange(2, 4).Draw(t, "users"))
		weights := make([]float64, len(users))
		for i := range users {
			weights[i] = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
		}
		user := func(i int) *User[int] {
			if u := q.Find(fmt.Sprint(i)); u != nil {
				return u
			}
			return q.Add(fmt.Sprint(i), weights[i])
		}
		works := map[uint64]float64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(users)-1).Draw(t, "user")
			m := &users[i]
			switch step := rapid.SampledFrom(steps).Draw(t, "step"); step {
			case "push":
				work := float64(rapid.IntRange(1, maxWork).Draw(t, "work"))
				item := q.Push(user(i), work, i)
				m.waiting, works[item.Order] = append(m.waiting, item.Order), work
			case "pop":
				next := q.Next()
				if next == nil {
					break
				}
				busy := !slices.ContainsFunc(users, func(m model) bool { return len(m.waiting) == 0 })
				item := q.Pop(next)
				m = &users[item.Entry]
				if len(m.waiting) == 0 || m.waiting[0] != item.Order {
					t.Fatalf("entry %d of user %d has a turn, its entries are %v", item.Order, item.Entry, m.waiting)
				}
				m.waiting = m.waiting[1:]
				m.turns += works[item.Order] / weights[item.Entry]
				for k := range users {
					if !busy {
						users[k].turns = 0
					}
				}
			case "leave", "drop":
				at := len(m.waiting) - 1
				if at < 0 {
					break
				}
				if step == "leave" {
					at = rapid.IntRange(0, at).Draw(t, "position")
					q.Leave(user(i), m.waiting[at])
				} else if item := q.DropNewest(user(i)); item.Order != m.waiting[at] {
					t.Fatalf("entry %d of user %d is dropped, its newest is %d", item.Order, i, m.waiting[at])
				}
				m.waiting = slices.Delete(m.waiting, at, at+1)
			}
			for a := range users {
				if got := len(user(a).Items); got != len(users[a].waiting) {
					t.Fatalf("user %d has %d entries, want %d", a, got, len(users[a].waiting))
				}
				for b := range users {
					if !leaving && len(users[a].waiting) > 0 && len(users[b].waiting) > 0 && users[a].turns-users[b].turns > maxWork/weights[a]+maxWork/weights[b] {
						t.Fatalf("user %d had turns of %v, user %d of %v", a, users[a].turns, b, users[b].turns)
					}
				}
			}
		}
	})
}
