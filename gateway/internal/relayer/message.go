package relayer

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"comfreyroute/core/coordination/reporter"
	"comfreyroute/platform/translator"
)

const (
	// reportInterval is how often a VM sends its reports about upstreams and receives ratings. Faults of upstreams last seconds.
	reportInterval = 500 * time.Millisecond
	// troubleInterval is the interval while a rating is urgent. A slow upstream of four slots is full of requests a second after it has
	// become slow, and those wait for most of their deadline.
	troubleInterval = 150 * time.Millisecond
)

// ReportInterval returns how long after ratings of upstreams the next reports and ratings are due: sooner if one is urgent.
func ReportInterval(ratings []reporter.Rating) time.Duration {
	if slices.ContainsFunc(ratings, func(r reporter.Rating) bool { return r.Urgent }) {
		return troubleInterval
	}
	return reportInterval
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

// methodSince is the name of the only RPC between VMs.
const methodSince = "/relayer.Relay/Since"

// jsonEncoding encodes messages as JSON: the values of the store are JSON already, and messages are rare.
type jsonEncoding struct{}

func (jsonEncoding) Marshal(m drpc.Message) ([]byte, error)      { return json.Marshal(m) }
func (jsonEncoding) Unmarshal(data []byte, m drpc.Message) error { return json.Unmarshal(data, m) }

// relayDescription describes relayService to drpc.
type relayDescription struct{}

func (relayDescription) NumMethods() int { return 1 }

func (relayDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return server.(*relayService).Since(ctx, in.(*ChangesRequest))
	}
	return methodSince, jsonEncoding{}, receive, (*relayService).Since, true
}

// relayService implements the RPC for other VMs.
type relayService struct{ history *History }

// Since returns the changes after a revision.
func (s *relayService) Since(ctx context.Context, q *ChangesRequest) (*ChangesResponse, error) {
	a := s.history.ChangesSince(ctx, *q)
	return &a, nil
}
