package claimer

import (
	"encoding/json"
	"time"

	"comfreyroute/core/protocol/encoder"

	"github.com/rotisserie/eris"
)

// KeyPrefix of the keys of claims in the key-value service. A UUIDv7 begins with its time, so that claims sort by age.
const KeyPrefix = "claims/"

// MaxResultBytes is the largest result that is kept in a claim and in memory. A larger one is dropped and named in the reason.
const MaxResultBytes = 16 << 10

// MaxRecordBytes bounds the stored form of a claim: the result, its JSON escaping and the other fields.
const MaxRecordBytes = 4*MaxResultBytes + 4096

// State is the stored state of a claim.
type State string

// The states of a claim. A released claim was not dispatched and may be claimed again.
const (
	StateClaimed  State = "claimed"
	StateReleased State = "released"
	StateDone     State = "done"
	StateUnknown  State = "unknown"
)

// Record is the stored form of a claim.
type Record struct {
	Nonce       string          `json:"nonce"`
	Holder      string          `json:"holder"`
	Incarnation uint64          `json:"incarnation"`
	Signature   uint64          `json:"signature"`
	State       State           `json:"state"`
	Reason      string          `json:"reason,omitempty"`
	Upstream    string          `json:"upstream,omitempty"`
	Result      json.RawMessage `json:"result,omitempty"`
	Time        time.Time       `json:"time"`
}

// ParseRecord reads a stored claim. It returns an error for malformed input and for an unknown state.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := encoder.DecodeBytes(data, MaxRecordBytes, &r); err != nil {
		return Record{}, err
	}
	switch r.State {
	case StateClaimed, StateReleased, StateDone, StateUnknown:
		return r, nil
	default:
		return Record{}, eris.Errorf("claim: field state: %q is not claimed, released, done or unknown", r.State)
	}
}

// Encode returns the stored form.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// Result is checked JSON and every other field always encodes.
		panic(err)
	}
	return data
}
