// Package controller talks to the control interfaces of the fakes: it sets their faults and reads their counts.
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

// Bounds of one call of a control interface.
const (
	timeout  = 10 * time.Second
	maxBytes = 256 << 20 // the counts of all executed calls of a long run
)

// Client controls one fake. It is safe for concurrent use.
type Client struct{ Address netip.AddrPort }

// Command is a command of the upstreams fake. See upstreams/internal/server.Command.
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

// Target selects servers of the upstreams fake.
type Target struct {
	All           bool   `json:"all,omitempty"`
	Upstream      string `json:"upstream,omitempty"`
	Service       string `json:"service,omitempty"`
	Replica       *int   `json:"replica,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
}

// Stats are the counts of one upstream server that the load tool reads.
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

// PlatformCommand is a command of the platform fake. See platform/internal/server.Command. Fields that are nil change nothing.
type PlatformCommand struct {
	Down        *string `json:"down,omitempty"`
	SlowMS      *int64  `json:"slow_ms,omitempty"`
	LoseAnswers *int64  `json:"lose_answers,omitempty"`
}

// SendPlatformCommand sends a command to the platform fake.
func (c Client) SendPlatformCommand(ctx context.Context, command PlatformCommand) error {
	return c.call(ctx, http.MethodPost, "/control", command, nil)
}

// SendCommand sends a command.
func (c Client) SendCommand(ctx context.Context, command Command) error {
	return c.call(ctx, http.MethodPost, "/control", command, nil)
}

// Stats reads the counts of all servers.
func (c Client) Stats(ctx context.Context) ([]Stats, error) {
	var s []Stats
	return s, c.call(ctx, http.MethodGet, "/control/stats", nil, &s)
}

// TotalStats reads the counts of all servers of some services, added up.
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

// HeldVersions reads the index versions that each server holds, by its name.
func (c Client) HeldVersions(ctx context.Context) (map[string][]encoder.HeldVersion, error) {
	var h map[string][]encoder.HeldVersion
	return h, c.call(ctx, http.MethodGet, "/control/held", nil, &h)
}

// ExecutedCalls reads how often each call has run, by service and body.
func (c Client) ExecutedCalls(ctx context.Context) (map[string]map[string]int, error) {
	var e map[string]map[string]int
	return e, c.call(ctx, http.MethodGet, "/control/executed", nil, &e)
}

// PlatformCalls reads the calls that the platform fake has counted.
func (c Client) PlatformCalls(ctx context.Context) (encoder.CallCounts, error) {
	var n encoder.CallCounts
	return n, c.call(ctx, http.MethodGet, encoder.PathCalls, nil, &n)
}

func (c Client) call(ctx context.Context, method, path string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	data, err := io.ReadAll(io.LimitReader(a.Body, maxBytes))
	if err != nil {
		return eris.Wrapf(err, "control %s", path)
	}
	if a.StatusCode != http.StatusOK {
		return eris.Errorf("control %s: HTTP status %d: %.200s", path, a.StatusCode, data)
	}
	if reply == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(data, reply), "control %s", path)
}
