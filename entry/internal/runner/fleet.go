package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"comfreyroute/core/coordination/claimer"
	"comfreyroute/core/coordination/router"
	"comfreyroute/core/coordination/tracker"
	"comfreyroute/core/protocol/exchanger"
	"comfreyroute/core/transport/kvclient"
)

// peerTimeout bounds an admin request that calls peers or the platform.
const peerTimeout = time.Second

// fleet is the response of /admin/fleet: the status of every VM that answers.
type fleet struct {
	VMs         []json.RawMessage `json:"vms"`
	Unreachable []string          `json:"unreachable"`
}

// queryPeers calls all other known VMs concurrently. It returns the responses of those that answer, ordered by VM ID, and the IDs
// of the others.
func (d *daemon) queryPeers(ctx context.Context, call func(context.Context, exchanger.DRPCPeersClient) ([]byte, error)) (responses [][]byte, unreachable []string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var members []tracker.Member
	for _, m := range d.registrar.View().Members {
		if m.State != tracker.Gone && m.Record.PeerAddress.IsValid() {
			members = append(members, m)
		}
	}
	replies := make([][]byte, len(members))
	var calls sync.WaitGroup
	for i, m := range members {
		calls.Go(func() {
			if data, err := call(ctx, d.messenger.Peer(m.Record.PeerAddress)); err == nil {
				replies[i] = data
			}
		})
	}
	calls.Wait()
	for i, m := range members {
		if replies[i] == nil {
			unreachable = append(unreachable, m.Record.ID)
			continue
		}
		responses = append(responses, replies[i])
	}
	slices.Sort(unreachable)
	return responses, unreachable
}

func (d *daemon) fleet(ctx context.Context) fleet {
	own, err := json.Marshal(d.status())
	if err != nil {
		// All fields of status can be encoded as JSON.
		panic(err)
	}
	f := fleet{VMs: []json.RawMessage{own}, Unreachable: []string{}}
	responses, unreachable := d.queryPeers(ctx, func(ctx context.Context, p exchanger.DRPCPeersClient) ([]byte, error) {
		reply, err := p.Status(ctx, &exchanger.StatusRequest{})
		return reply.GetJson(), err
	})
	for _, data := range responses {
		f.VMs = append(f.VMs, data)
	}
	f.Unreachable = append(f.Unreachable, unreachable...)
	return f
}

// excludedUpstream is an upstream to which a VM sends no new requests.
type excludedUpstream struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Why      string `json:"why"`
}

// addOverview sets the fields that come from the router.
func (s *status) addOverview(o router.Overview) {
	s.Suspicions = o.Suspicions
	s.Budgets = map[string]int{}
	s.Out = []excludedUpstream{}
	for _, v := range o.Services {
		s.Budgets[v.Service] = v.Tokens
		for _, x := range v.Excluded {
			s.Out = append(s.Out, excludedUpstream{v.Service, x.Upstream, x.Reason})
		}
	}
}

// outcome is the response of /admin/outcome.
type outcome struct {
	ID     string          `json:"id"`
	Here   *localOutcome   `json:"here,omitempty"`   // what this VM knows
	Claim  json.RawMessage `json:"claim,omitempty"`  // the record in the key-value service
	Store  string          `json:"store,omitempty"`  // status of the read from the key-value service
	Issuer string          `json:"issuer,omitempty"` // VM that issued the ticket
	Gone   bool            `json:"gone,omitempty"`   // the incarnation that issued the ticket has ended, so the ticket can no longer run
}

// localOutcome is what this VM knows about a call.
type localOutcome struct {
	Phase   string `json:"phase"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// handleOutcome reports the outcome of the call with a key or ticket, without running it.
func (d *daemon) handleOutcome(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), peerTimeout)
	defer cancel()
	id := r.URL.Query().Get("id")
	t, ticketErr := claimer.ParseTicket(id)
	if claimer.CheckKey(id) != nil && ticketErr != nil {
		http.Error(w, "id is neither a key (UUIDv7) nor a ticket", http.StatusBadRequest)
		return
	}
	o := outcome{ID: id}
	a, ok := d.claimRunner.AwaitAnswer(ctx, func(c claimer.CallID) claimer.Event { return claimer.LookupRequested{Call: c, ID: id} })
	if ok && a.Lookup != nil && a.Lookup.Phase != "" {
		o.Here = &localOutcome{a.Lookup.Phase, a.Lookup.Outcome, a.Lookup.Reason}
	}
	if ticketErr == nil {
		o.Issuer = t.VM
		o.Gone = d.issuerGone(t)
	} else {
		read := d.kvClient.Get(ctx, claimer.KeyPrefix+id)
		o.Store = read.Status.String()
		if read.Status == kvclient.OK && read.Item.Revision > 0 {
			o.Claim = json.RawMessage(read.Item.Value)
		}
	}
	writeJSON(w, o)
}

// issuerGone reports whether this VM knows that the incarnation that issued a ticket has ended.
func (d *daemon) issuerGone(t claimer.Ticket) bool {
	if t.VM == d.settings.VM.ID {
		return t.Incarnation != d.incarnation
	}
	for _, m := range d.registrar.View().Members {
		if m.Record.ID == t.VM {
			return m.State == tracker.Gone || m.Record.Incarnation > t.Incarnation
		}
	}
	return false
}
