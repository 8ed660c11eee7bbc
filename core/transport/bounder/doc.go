// Package bounder limits how many bytes of a peer a VM reads and holds.
//
// A broken upstream may send bytes for as long as its connection is open: a header, a body or interim replies that do not end. Without
// a limit, a few such upstreams exhaust the memory of a small VM, or keep its processor busy until the deadline of each request. A
// Reader limits the bytes that are read for one message, and a Memory those that all messages hold at once.
package bounder
