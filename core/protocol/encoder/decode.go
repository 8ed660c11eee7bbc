package encoder

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// Size limits of messages, in bytes.
const (
	MaxCallerBytes   = 64 << 10
	MaxReplyBytes    = 4 << 20
	MaxPlatformBytes = 16 << 20
	MaxValueBytes    = 1 << 20
)

// ErrTooLong reports a message over its size limit.
var ErrTooLong = eris.New("message is too long")

// Decode reads exactly one JSON value of at most limit bytes into v. It returns an error for unknown fields, trailing data,
// malformed JSON and oversized input. In a VMList, odd entries are skipped.
func Decode(r io.Reader, limit int64, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return eris.Wrap(err, "read message")
	}
	return DecodeBytes(data, limit, v)
}

// DecodeBytes is like Decode, but decodes a message that is already in memory.
func DecodeBytes(data []byte, limit int64, v any) error {
	if int64(len(data)) > limit {
		return eris.Wrapf(ErrTooLong, "more than %d bytes", limit)
	}
	if l, ok := v.(*VMList); ok {
		return l.decode(data)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return eris.Wrap(err, "decode message")
	}
	if _, err := d.Token(); err != io.EOF {
		return eris.New("message has data after its JSON value")
	}
	return nil
}
