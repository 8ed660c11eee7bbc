// Package encoder defines the JSON messages between callers, entry VMs, upstreams and the platform, and decodes them strictly.
//
// Decoding rejects unknown fields, trailing data and messages above a size limit, so that malformed input never reaches the code that
// makes decisions.
package encoder
