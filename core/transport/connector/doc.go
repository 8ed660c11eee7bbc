// Package connector holds the connections to upstreams and carries out the actions of the router on them.
//
// Each connection has one goroutine and carries one request at a time over HTTP/1.1. The package writes and reads messages
// with net/http but does not use its client, because the client decides by itself how many connections it opens and when
// it sends a request again. Here the number of connections is bounded by the Pool action, and nothing is sent twice.
//
// A sub-request whose reply is late is asked about on another connection. One that the upstream does not have was lost with
// its connection and is given up; any other one waits until its deadline or its cancellation. A connection is closed when a
// request on it was given up, or when its ping stays without reply while the upstream answers elsewhere. Late pings alone
// close at most one connection of an upstream in pingLimit, because a paused process makes all of them late.
//
// Every Send ends with exactly one ReplyArrived or AttemptFailed, also after a Cancel.
package connector
