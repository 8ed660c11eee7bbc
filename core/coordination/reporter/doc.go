// Package reporter collects the results of requests by upstream and rates upstreams by the results of all VMs of a failure domain.
//
// It is not related to package core/state/reporter, which reports burn rates to operators.
//
// In a large fleet each VM sends an upstream less than one request per second, too few to detect by itself that it fails or is
// slow.
package reporter
