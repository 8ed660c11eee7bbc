package relayer

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/core/coordination/reporter"
	"comfreyroute/platform/translator"
)

const (
	// ReportInterval is how often a VM sends its reports about upstreams and receives ratings. Faults of upstreams last seconds.
	ReportInterval = 500 * time.Millisecond
	// troubleInterval is how soon a VM sends news of an upstream while a rating is urgent. A slow upstream of four slots is full of requests a
	// second after it has become slow, and those wait for most of their deadline.
	troubleInterval = 150 * time.Millisecond
)

// intervalAfter returns how long after ratings of upstreams the next reports and ratings are due: sooner if one is urgent.
func intervalAfter(ratings []reporter.Rating) time.Duration {
	if anyUrgent(ratings) {
		return troubleInterval
	}
	return ReportInterval
}

func anyUrgent(ratings []reporter.Rating) bool {
	return slices.ContainsFunc(ratings, func(r reporter.Rating) bool { return r.Urgent })
}

// ChangesRequest asks a VM for the changes after a revision, and passes on the follower's reports about upstreams.
type ChangesRequest struct {
	After  uint64        `json:"after"`
	Era    uint64        `json:"era,omitempty"` // of the store's history to which After belongs
	Wait   time.Duration `json:"wait"`          // in nanoseconds, as all durations of these messages
	MaxAge time.Duration `json:"most"`          // maximum age of a useful response

	Reports []reporter.Report `json:"reports,omitempty"`

	Exchange bool              `json:"exchange,omitempty"` // only reports and ratings are exchanged
	Domain   string            `json:"domain,omitempty"`   // failure domain to which Ratings belong
	Ratings  []reporter.Rating `json:"ratings,omitempty"`  // of the collecting VM of another failure domain
}

// ChangesResponse holds the changes that a VM knows, and its ratings of upstreams from its own reports and those of its followers.
type ChangesResponse struct {
	Incomplete bool          `json:"gone,omitempty"` // the VM does not have every change after the requested revision
	Era        uint64        `json:"era,omitempty"`  // of the store's history that this VM follows
	Revision   uint64        `json:"revision"`
	Age        time.Duration `json:"age"` // time since Revision was known to be the newest
	Records    []Record      `json:"records,omitempty"`

	Ratings []reporter.Rating `json:"ratings,omitempty"`
}

// Record is one key of the store. Its JSON names are not those of the platform, so that a change of the platform's names does not
// affect the protocol between the VMs.
type Record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Packed   bool   `json:"packed,omitempty"` // Value is compressed
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

// Items converts the records to items of the store. It returns an error for a packed value that is malformed or too long.
func (a *ChangesResponse) Items() ([]translator.Item, error) {
	items := make([]translator.Item, 0, len(a.Records))
	for _, r := range a.Records {
		value := r.Value
		if r.Packed {
			var err error
			if value, err = unpack(r.Value); err != nil {
				return nil, eris.Wrapf(err, "unpack the value of %s", r.Key)
			}
		}
		items = append(items, translator.Item{Key: r.Key, Value: value, Revision: r.Revision, Removed: r.Removed})
	}
	return items, nil
}

// methodSince is the name of the RPC.
const methodSince = "/relayer.Relay/Since"
