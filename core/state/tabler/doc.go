// Package tabler holds the operators' table: the rows that set weights and limits for services and their upstreams.
//
// A Snapshot is immutable and is replaced as a whole, so that every reader sees one consistent table without locks.
package tabler

//go:generate stringer -type=Kind -linecomment -output=kind_string.go
//go:generate stringer -type=Preference -linecomment -output=preference_string.go
