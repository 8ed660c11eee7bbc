package synchronizer

import (
	"slices"
	"time"
)

// clock is the simulated time of a test, with the tasks that are due at later times.
type clock struct {
	now   time.Time
	queue []task
}

type task struct {
	at  time.Time
	run func()
}

func (c *clock) schedule(d time.Duration, do func()) {
	c.queue = append(c.queue, task{c.now.Add(d), do})
}

// runDueTasks runs every task that is due, in order of time.
func (c *clock) runDueTasks() {
	for len(c.queue) > 0 {
		slices.SortStableFunc(c.queue, func(a, b task) int { return a.at.Compare(b.at) })
		if c.queue[0].at.After(c.now) {
			return
		}
		run := c.queue[0].run
		c.queue = c.queue[1:]
		run()
	}
}
