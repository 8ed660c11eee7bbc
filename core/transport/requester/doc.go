// Package requester carries requests to upstreams over HTTP/1.1 connections that it keeps open, one request at a time on each.
//
// The bytes of requests and replies are the business of a Protocol. A connection that received anything unexpected is closed: its
// next bytes could belong to another request. Cancelling a request closes its connection, which is the only sign that an
// upstream of this protocol notices.
package requester
