package runner

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"comfreyroute/core/protocol/exchanger"
)

// peerServer serves the RPCs of other entry VMs.
type peerServer struct {
	exchanger.DRPCPeersUnimplementedServer
	daemon *daemon
}

// Exchange answers a heartbeat.
func (p *peerServer) Exchange(ctx context.Context, n *exchanger.News) (*exchanger.News, error) {
	return p.daemon.registrar.HandleMessage(ctx, n)
}

// Notify handles news that a peer sends without waiting for the next heartbeat.
func (p *peerServer) Notify(ctx context.Context, n *exchanger.News) (*exchanger.News, error) {
	return p.daemon.registrar.HandleMessage(ctx, n)
}

// FetchTable returns stored table values. It returns an error when the whole table is requested and this VM's table is incomplete.
func (p *peerServer) FetchTable(ctx context.Context, r *exchanger.FetchTableRequest) (*exchanger.FetchTableReply, error) {
	values, ok := p.daemon.updater.Values(ctx, r.GetServices())
	if !ok {
		return nil, eris.New("the table is not complete on this VM")
	}
	reply := &exchanger.FetchTableReply{}
	for _, v := range values {
		reply.Values = append(reply.Values, &exchanger.TableValue{Service: v.Service, Revision: v.Revision, Value: v.Data})
	}
	return reply, nil
}

// RunTicket runs a call with a ticket that a peer forwarded.
func (p *peerServer) RunTicket(ctx context.Context, r *exchanger.TicketRequest) (*exchanger.CallReply, error) {
	return p.daemon.claimRunner.RunTicket(ctx, r)
}

// Outcome returns the outcome of a call whose claim this VM holds.
func (p *peerServer) Outcome(ctx context.Context, r *exchanger.OutcomeRequest) (*exchanger.CallReply, error) {
	return p.daemon.claimRunner.Outcome(ctx, r)
}

// Status returns the response of /admin/status.
func (p *peerServer) Status(context.Context, *exchanger.StatusRequest) (*exchanger.StatusReply, error) {
	data, err := json.Marshal(p.daemon.status())
	if err != nil {
		return nil, eris.Wrap(err, "encode status")
	}
	return &exchanger.StatusReply{Json: data}, nil
}

// Burn returns this VM's counts for the burn-rate report.
func (p *peerServer) Burn(ctx context.Context, _ *exchanger.BurnRequest) (*exchanger.BurnReply, error) {
	summary, ok := p.daemon.collector.Summary(ctx)
	if !ok {
		return nil, eris.New("the report is busy")
	}
	data, err := json.Marshal(summary)
	if err != nil {
		return nil, eris.Wrap(err, "encode summary")
	}
	return &exchanger.BurnReply{Json: data}, nil
}
