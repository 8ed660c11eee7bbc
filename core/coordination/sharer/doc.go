// Package sharer implements start-time fair queueing: it divides the turns of a queue among its users in proportion to their weights,
// so that a user with many entries delays only its own.
//
// Each entry takes work/weight of virtual time and gets its start tag when it joins. The entry with the earliest start tag goes
// next. A user that has been idle starts at the current virtual time, so that it saves up no turns.
package sharer
