// Package tools pins the versions of the code generators of this workspace in its go.mod. It has no code.
package tools
