// Package requester sends requests to upstreams over persistent HTTP/1.1 connections, one request at a time on each.
//
// A Protocol encodes requests and decodes replies. A connection that received anything unexpected is closed, because its next
// bytes could belong to another request. Cancelling a request closes its connection, which is the only cancellation that an
// upstream of this protocol notices.
package requester
