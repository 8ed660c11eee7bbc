// Package reporter shares what the VMs of a failure domain see of upstreams. In a large fleet each VM sends an upstream less than one
// request a second, and would need many failures of its own to find one that fails or is slow.
package reporter
