package relayer

import (
	"context"
	"encoding/json"
	"time"

	"storj.io/drpc"

	"comfreyroute/core/coordination/reporter"
	"comfreyroute/platform/translator"
)

// ChangesRequest asks a VM for what was written after a revision, and tells it what the follower saw of upstreams.
type ChangesRequest struct {
	After  uint64        `json:"after"`
	Wait   time.Duration `json:"wait"` // nanoseconds, as in all durations here
	MaxAge time.Duration `json:"most"` // age of an answer that is of use

	Reports []reporter.Report `json:"reports,omitempty"`
}

// ChangesResponse is what a VM knows of the store, and of upstreams from the reports of its followers.
type ChangesResponse struct {
	Incomplete bool          `json:"gone,omitempty"` // the VM does not know every change since the revision
	Revision   uint64        `json:"revision"`
	Age        time.Duration `json:"age"` // how long ago nothing newer was in the store
	Records    []Record      `json:"records,omitempty"`

	Ratings []reporter.Rating `json:"ratings,omitempty"`
}

// Record is one key of the store. Its names are our own, so that a name of the platform can change without the VMs noticing.
type Record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

// Items returns the records as the store would have sent them.
func (a *ChangesResponse) Items() []translator.Item {
	items := make([]translator.Item, 0, len(a.Records))
	for _, r := range a.Records {
		items = append(items, translator.Item{Key: r.Key, Value: r.Value, Revision: r.Revision, Removed: r.Removed})
	}
	return items
}

// methodSince is the only method between VMs.
const methodSince = "/relayer.Relay/Since"

// encoding carries the messages as JSON: the values of the store are JSON already, and there are few messages.
type encoding struct{}

func (encoding) Marshal(m drpc.Message) ([]byte, error)      { return json.Marshal(m) }
func (encoding) Unmarshal(data []byte, m drpc.Message) error { return json.Unmarshal(data, m) }

// description describes the method to the server.
type description struct{}

func (description) NumMethods() int { return 1 }

func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return server.(*service).Since(ctx, in.(*ChangesRequest))
	}
	return methodSince, encoding{}, receive, (*service).Since, true
}

// service answers the questions of other VMs.
type service struct{ history *History }

// Since returns what was written after a revision.
func (s *service) Since(ctx context.Context, q *ChangesRequest) (*ChangesResponse, error) {
	a := s.history.ChangesSince(ctx, *q)
	return &a, nil
}
