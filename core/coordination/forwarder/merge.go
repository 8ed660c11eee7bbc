package forwarder

import (
	"bytes"
	"slices"
)

// recordBytes is the size in bytes of one record in the reply of a shard.
const recordBytes = 16

// mergeTop returns the greatest records of all parts in descending order. A trailing part shorter than a record is ignored.
func mergeTop(parts [][]byte, top int) []byte {
	n := 0
	for _, p := range parts {
		n += len(p) / recordBytes
	}
	records := make([][]byte, 0, n)
	for _, p := range parts {
		for len(p) >= recordBytes {
			records = append(records, p[:recordBytes])
			p = p[recordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(max(0, top), len(records))]
	out := make([]byte, 0, len(records)*recordBytes)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}
