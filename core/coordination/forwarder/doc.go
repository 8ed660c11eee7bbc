// Package forwarder routes requests by a manifest: it selects an upstream for each request, retries and hedges, decides when the
// merged answer of a sharded service is sufficient, and refuses requests that cannot be served.
//
// Unlike package router it knows no index versions and defines no message format: requests and replies pass through unchanged, and
// a gathered answer covers the shards of a single manifest. It shares upstream selection and retry budgets with router.
//
// The package does no I/O and reads no clock. The daemon and the tests pass events with their times to Machine.Step and
// perform the returned actions.
package forwarder
