// Package navigator decides whether a VM reaches its upstreams. It does no I/O and reads no clock.
package navigator
