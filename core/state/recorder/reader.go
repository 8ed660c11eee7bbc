package recorder

import (
	"bufio"
	"io"

	"github.com/rotisserie/eris"
)

// initialBufferBytes is the initial size of the line buffer of ReadRecords.
const initialBufferBytes = 64 << 10

// ReadRecords calls f for each record of a trace, in order. It stops at the first error and returns it with its line number.
func ReadRecords(in io.Reader, f func(Record) error) error {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 0, initialBufferBytes), MaxLineBytes)
	line := 0
	for s.Scan() {
		line++
		if len(s.Bytes()) == 0 {
			continue
		}
		r, err := Decode(s.Bytes())
		if err == nil {
			err = f(r)
		}
		if err != nil {
			return eris.Wrapf(err, "line %d", line)
		}
	}
	if err := s.Err(); err != nil {
		return eris.Wrapf(err, "line %d", line+1)
	}
	return nil
}
