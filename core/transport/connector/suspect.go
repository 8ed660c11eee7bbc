package connector

import (
	"slices"
	"time"
)

// pingSuspects makes the connections suspect that were not heard just now, and pings those that are idle. The pool's lock
// is held.
func (p *pool) pingSuspects(now time.Time) {
	p.suspect = now.Add(-freshReply)
	for _, c := range slices.Clone(p.idle) {
		if c.heard.Before(p.suspect) {
			p.pingOne(c)
		}
	}
}

// pingOne pings an idle connection. The pool's lock is held.
func (p *pool) pingOne(c *conn) {
	i := slices.Index(p.idle, c)
	p.idle = append(slices.Delete(p.idle, i, i+1), c) // assign takes the last one
	p.assign(&job{kind: jobPing})
}
