// Package connector manages the connections to upstreams and executes the actions of the router on them.
//
// Each connection has one goroutine and carries one request at a time over HTTP/1.1. The package writes and reads messages
// with net/http but does not use its client, because that client decides on its own how many connections it opens and when
// it retries a request. Here the Pool action bounds the number of connections, and no request is sent twice.
//
// When the reply to a sub-request is late, the connector sends a ping on another connection that asks the upstream whether it
// has the request. If the upstream does not have it, the request was lost with its connection and fails early; otherwise it
// waits until its deadline or its cancellation.
//
// A connection is closed when a request on it was given up, when its ping has no reply although the upstream answers on other
// connections, or when its ping has no reply for pingMaxWait. Otherwise late pings close at most one connection to an upstream
// per pingMaxWait, because a pause of either process makes all pings late.
//
// Every Send ends with exactly one ReplyArrived or AttemptFailed, also after a Cancel.
package connector
