// Package limiter implements the limits that keep the fleet within what upstreams and operators allow: a VM's share of an
// upstream's connections, the adaptive in-flight limit of an upstream, and a VM's share of a request rate.
//
// Shares are static: the limit divided by the most VMs that may exist. Shares derived from a view of the fleet would exceed
// the limit as soon as two VMs had different views. Lender moves parts of the static shares between VMs without a common view.
//
// Quota is the exception: it divides by the registered VMs. An upstream that declares a rate bears half as much again for some seconds, and
// a share of the most VMs that may exist would leave most of the rate unused.
package limiter
