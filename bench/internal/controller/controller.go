// Package controller is a client of the control interfaces of the fakes: it injects faults and reads counts.
package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/core/protocol/encoder"
)

// Limits of one call of a control interface.
const (
	callTimeout   = 10 * time.Second
	maxReplyBytes = 256 << 20 // enough for the counts of all calls that ran in a long run
)

// Client is a client of one fake at its control address. It is safe for concurrent use.
type Client struct{ Address netip.AddrPort }

// Command is a command for the upstreams fake, in the format of upstreams/internal/server.Command.
type Command struct {
	Target  Target  `json:"target"`
	Action  string  `json:"action"`
	Off     bool    `json:"off,omitempty"`
	ForMS   int64   `json:"for_ms,omitempty"`
	Share   float64 `json:"share,omitempty"`
	DelayMS int64   `json:"delay_ms,omitempty"`
	Query   string  `json:"query,omitempty"`
	Version uint64  `json:"version,omitempty"`
	Layout  string  `json:"layout,omitempty"`
	Shards  int     `json:"shards,omitempty"`
}

// Target selects servers of the upstreams fake. A server must match all fields that are set. A target without other fields selects
// none unless All is set.
type Target struct {
	All           bool   `json:"all,omitempty"`
	Upstream      string `json:"upstream,omitempty"`
	Service       string `json:"service,omitempty"`
	Replica       *int   `json:"replica,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
}

// Stats are the counts of one upstream, as far as bench reads them.
type Stats struct {
	Upstream       string `json:"upstream"`
	Service        string `json:"service"`
	Group          int    `json:"group"`
	Incarnation    uint64 `json:"incarnation"`
	Crashes        uint64 `json:"crashes"`
	Received       uint64 `json:"received"`
	Shed           uint64 `json:"shed"`
	Cancelled      uint64 `json:"cancelled"`
	Expired        uint64 `json:"expired"`
	MaxConnections int    `json:"max_connections"`
	Violations     uint64 `json:"violations"`
}

// PlatformCommand is a command for the platform fake. It has those fields of keystore/internal/server.Command that bench uses. A
// nil field leaves the setting as it is.
type PlatformCommand struct {
	Down        *string `json:"down,omitempty"`
	SlowMS      *int64  `json:"slow_ms,omitempty"`
	LoseAnswers *int64  `json:"lose_answers,omitempty"`
}

// SendPlatformCommand sends a command to a platform fake.
func (c Client) SendPlatformCommand(ctx context.Context, command PlatformCommand) error {
	return c.do(ctx, http.MethodPost, "/control", command, nil)
}

// SendCommand sends a command to an upstreams fake.
func (c Client) SendCommand(ctx context.Context, command Command) error {
	return c.do(ctx, http.MethodPost, "/control", command, nil)
}

// Stats reads the counts of all servers of an upstreams fake.
func (c Client) Stats(ctx context.Context) ([]Stats, error) {
	var s []Stats
	return s, c.do(ctx, http.MethodGet, "/control/stats", nil, &s)
}

// TotalStats reads the sums of the counts of all servers of the given services. MaxConnections is their maximum. The identifying
// fields and Crashes stay zero.
func (c Client) TotalStats(ctx context.Context, services ...string) (Stats, error) {
	all, err := c.Stats(ctx)
	var t Stats
	for _, s := range all {
		if !slices.Contains(services, s.Service) {
			continue
		}
		t.Received += s.Received
		t.Shed += s.Shed
		t.Cancelled += s.Cancelled
		t.Expired += s.Expired
		t.Violations += s.Violations
		t.MaxConnections = max(t.MaxConnections, s.MaxConnections)
	}
	return t, err
}

// HeldVersions reads the index versions that each server holds, by the server's name.
func (c Client) HeldVersions(ctx context.Context) (map[string][]encoder.HeldVersion, error) {
	var h map[string][]encoder.HeldVersion
	return h, c.do(ctx, http.MethodGet, "/control/held", nil, &h)
}

// ExecutedCalls reads the number of executions of each call, by service and call body.
func (c Client) ExecutedCalls(ctx context.Context) (map[string]map[string]int, error) {
	var e map[string]map[string]int
	return e, c.do(ctx, http.MethodGet, "/control/executed", nil, &e)
}

// PlatformCalls reads the numbers of calls that a platform fake has received.
func (c Client) PlatformCalls(ctx context.Context) (encoder.CallCounts, error) {
	var n encoder.CallCounts
	return n, c.do(ctx, http.MethodGet, encoder.PathCalls, nil, &n)
}

// do sends a request with an optional JSON body to the control interface and decodes the reply unless reply is nil.
func (c Client) do(ctx context.Context, method, path string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return eris.Wrap(err, "control: encode command")
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "control")
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "control")
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(a.Body, maxReplyBytes))
	if err != nil {
		return eris.Wrapf(err, "control request %s", path)
	}
	if a.StatusCode != http.StatusOK {
		return eris.Errorf("control request %s: HTTP status %d: %.200s", path, a.StatusCode, data)
	}
	if reply == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(data, reply), "control request %s", path)
}
