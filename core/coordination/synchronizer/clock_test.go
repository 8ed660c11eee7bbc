package synchronizer

import (
	"slices"
	"time"
)

// clock is the simulated time of a test and what happens at later times.
type clock struct {
	now   time.Time
	queue []delivery
}

type delivery struct {
	at time.Time
	do func()
}

func (c *clock) after(d time.Duration, do func()) {
	c.queue = append(c.queue, delivery{c.now.Add(d), do})
}

// deliver does everything that is due, in order of time.
func (c *clock) deliver() {
	for len(c.queue) > 0 {
		slices.SortStableFunc(c.queue, func(a, b delivery) int { return a.at.Compare(b.at) })
		if c.queue[0].at.After(c.now) {
			return
		}
		do := c.queue[0].do
		c.queue = c.queue[1:]
		do()
	}
}
