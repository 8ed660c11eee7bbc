// Package encoder defines the JSON messages between callers, entry VMs, upstreams and the platform, and decodes them strictly.
//
// Every decoder rejects unknown fields, trailing data and input above a size limit, so that malformed input is stopped
// at the boundary and reaches no decision code.
package encoder
