package claimer

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// keyTime returns the timestamp of an idempotency key. It returns an error when the key is not a UUIDv7 in its canonical form.
func keyTime(key string) (time.Time, error) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 || u.String() != key {
		return time.Time{}, eris.Errorf("key: %.64q is not a lower-case UUIDv7", key)
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return time.UnixMilli(ms), nil
}

// CheckKey returns an error when the key is not a UUIDv7 in its canonical form.
func CheckKey(key string) error {
	_, err := keyTime(key)
	return err
}

// Signature returns a hash of a call's content, which detects the use of one key or ticket for two different calls.
func Signature(service string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Ticket is the parsed form of a ticket: the VM and the incarnation that issued it and an unguessable number.
type Ticket struct {
	VM          string
	Incarnation uint64
	Number      string
}

const ticketSeparator = "."

// String returns the text form, which callers receive and send.
func (t Ticket) String() string {
	return strings.Join([]string{t.VM, formatIncarnation(t.Incarnation), t.Number}, ticketSeparator)
}

// ParseTicket parses the text form of a ticket. It returns an error for malformed input.
func ParseTicket(s string) (Ticket, error) {
	const maxTicketBytes = 256
	errMalformed := eris.Errorf("ticket: %.64q is not VM.INCARNATION.NUMBER", s)
	if len(s) > maxTicketBytes {
		return Ticket{}, errMalformed
	}
	i := strings.LastIndex(s, ticketSeparator)
	if i < 1 {
		return Ticket{}, errMalformed
	}
	j := strings.LastIndex(s[:i], ticketSeparator)
	if j < 1 || i+1 == len(s) {
		return Ticket{}, errMalformed
	}
	n, err := parseIncarnation(s[j+1 : i])
	if err != nil {
		return Ticket{}, errMalformed
	}
	return Ticket{VM: s[:j], Incarnation: n, Number: s[i+1:]}, nil
}
