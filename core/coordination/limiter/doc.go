// Package limiter holds the limits that keep the fleet within what upstreams and operators allow: the share of an upstream's
// connections, the adaptive in-flight limit of an upstream, and the fleet share of a request rate.
//
// Shares follow a static rule, limit divided by the most VMs that may exist, because a share taken from a view of the
// fleet exceeds the limit as soon as two VMs have different views.
package limiter
