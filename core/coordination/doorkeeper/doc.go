// Package doorkeeper decides which connections of callers a VM closes when its descriptors or its memory run short.
//
// A request that is complete and has no answer yet is never given up. Of the other connections, those of the address that has most of them go
// first when there are too many, and those that have held most bytes for longest when memory runs short. The package does no I/O and has no clock.
package doorkeeper
