// Package tabler defines the operators' table, whose rows set weights and limits for services and their upstreams, with its
// stored form, its CSV form, and the diff and merge of edits.
//
// A Snapshot is immutable and is replaced as a whole, so that every reader sees one consistent table without locks.
package tabler

//go:generate stringer -type=Kind -linecomment -output=kind_string.go
//go:generate stringer -type=Preference -linecomment -output=preference_string.go
