package relayer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// minPackedBytes is the size from which a value is compressed. Manifests have hundreds of kB, and entries of upstreams some 200 bytes.
	minPackedBytes = 1 << 10
	// maxUnpackedBytes bounds a value after decompression. The store takes values of up to 1 MB.
	maxUnpackedBytes = 4 << 20
)

// pack compresses a value. It returns false if the value is short or does not become shorter.
func pack(value []byte) ([]byte, bool) {
	if len(value) < minPackedBytes {
		return nil, false
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, false // the level is valid, so this cannot happen
	}
	if _, err := w.Write(value); err != nil || w.Close() != nil || b.Len() >= len(value) {
		return nil, false // a buffer takes every write
	}
	return b.Bytes(), true
}

// unpack returns the value that pack compressed.
func unpack(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(value) > maxUnpackedBytes {
		return nil, eris.Errorf("the value has more than %d bytes", maxUnpackedBytes)
	}
	return value, nil
}
