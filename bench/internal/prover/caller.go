package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"comfreyroute/core/protocol/encoder"
)

const (
	callerTimeout  = 5 * time.Second
	maxAnswerBytes = 16 << 20
)

// caller sends requests to entry VMs in the way a caller behind the load balancer does.
type caller struct{}

// httpClient disables keep-alive, so that a request never reuses a connection to a VM that was stopped.
var httpClient = &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a request and decodes the answer, whatever its HTTP status. It returns an error when no complete answer arrives.
func (caller) post(ctx context.Context, entry netip.AddrPort, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	r.Header.Set("Content-Type", "application/json")
	reply, err := httpClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "request")
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	if err != nil {
		return eris.Wrap(err, "answer")
	}
	return eris.Wrapf(json.Unmarshal(data, answer), "decode answer with HTTP status %d: %.200s", reply.StatusCode, data)
}

func (c caller) call(ctx context.Context, entry netip.AddrPort, r encoder.CallRequest) (encoder.CallAnswer, error) {
	var a encoder.CallAnswer
	return a, c.post(ctx, entry, "/v1/call", r, &a)
}

func (c caller) search(ctx context.Context, entry netip.AddrPort, service, query string) (encoder.SearchAnswer, error) {
	var a encoder.SearchAnswer
	return a, c.post(ctx, entry, "/v1/search", encoder.SearchRequest{Service: service, Query: query}, &a)
}

func (c caller) tickets(ctx context.Context, entry netip.AddrPort, service string, n int) ([]string, error) {
	var a encoder.TicketsAnswer
	return a.Tickets, c.post(ctx, entry, "/v1/tickets", encoder.TicketsRequest{Service: service, Count: n}, &a)
}

// status is the part of /admin/status that the proofs read.
type status struct {
	Ready     bool              `json:"ready"`
	Reason    string            `json:"reason"`
	Revisions map[string]uint64 `json:"revisions"`
	Router    map[string]any    `json:"router"`
	Transport map[string]any    `json:"transport"`
}

func (caller) status(ctx context.Context, entry netip.AddrPort) (status, error) {
	var s status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.String()+"/admin/status", http.NoBody)
	if err != nil {
		return s, eris.Wrap(err, "status")
	}
	reply, err := httpClient.Do(r)
	if err != nil {
		return s, eris.Wrap(err, "status")
	}
	defer func() { _ = reply.Body.Close() }()
	return s, eris.Wrap(json.NewDecoder(io.LimitReader(reply.Body, maxAnswerBytes)).Decode(&s), "status")
}
