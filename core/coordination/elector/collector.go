package elector

import (
	"maps"
	"slices"
	"time"
)

// Collector selects the VM of each failure domain that merges what the others report of upstreams. It answers the load of a failure domain whose
// VMs send an upstream less than a request per second each, while some of them are cut from the store: unlike the source of changes, the
// collecting VM need not reach the store. The zero value selects no VM.
type Collector struct {
	Self          Member
	MinDomainSize int // size of a failure domain from which reports are collected; 0 means the default

	ranked   map[string][]Member // by failure domain, in the order in which they are asked
	failedAt map[string]time.Time
}

// SetMembers replaces the VMs that are registered.
func (c *Collector) SetMembers(now time.Time, all []Member) {
	maps.DeleteFunc(c.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= avoidDuration })
	c.ranked = map[string][]Member{}
	for _, m := range all {
		c.ranked[m.FailureDomain] = append(c.ranked[m.FailureDomain], m)
	}
	for _, members := range c.ranked {
		slices.SortFunc(members, compareRank)
	}
}

// Own returns the collecting VM of this failure domain. It returns false if the domain is too small to need one.
func (c *Collector) Own(now time.Time) (Member, bool) { return c.first(now, c.Self.FailureDomain) }

// Others returns the collecting VMs of the other failure domains, sorted by domain.
func (c *Collector) Others(now time.Time) []Member {
	var all []Member
	for _, domain := range slices.Sorted(maps.Keys(c.ranked)) {
		if m, ok := c.first(now, domain); ok && domain != c.Self.FailureDomain {
			all = append(all, m)
		}
	}
	return all
}

func (c *Collector) first(now time.Time, domain string) (Member, bool) {
	least := c.MinDomainSize
	if least <= 0 {
		least = defaultMinDomainSize
	}
	if len(c.ranked[domain]) < least {
		return Member{}, false
	}
	for _, m := range c.ranked[domain] {
		if at, ok := c.failedAt[m.Name]; !ok || now.Sub(at) >= avoidDuration || m.Name == c.Self.Name {
			return m, true
		}
	}
	return Member{}, false
}

// Failed records that a VM did not answer, so that the next one in rank is asked.
func (c *Collector) Failed(now time.Time, name string) {
	if c.failedAt == nil {
		c.failedAt = map[string]time.Time{}
	}
	c.failedAt[name] = now
}
