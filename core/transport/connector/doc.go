// Package connector holds the connections to upstreams and carries out the actions of the router on them.
//
// Each connection has one goroutine and carries one request at a time over HTTP/1.1. The package writes and reads messages
// with net/http but does not use its client, because the client decides by itself how many connections it opens and when
// it sends a request again. Here the number of connections is bounded by the Pool action, and nothing is sent twice.
//
// Every Send ends with exactly one ReplyArrived or AttemptFailed, also after a Cancel.
package connector
