// Package tools pins the versions of the generators that this workspace uses. It holds no code.
package tools
