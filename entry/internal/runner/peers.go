package runner

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"comfreyroute/core/protocol/exchanger"
)

// peerServer answers the calls of other entry VMs.
type peerServer struct {
	exchanger.DRPCPeersUnimplementedServer
	daemon *daemon
}

// Exchange answers a heartbeat.
func (p *peerServer) Exchange(ctx context.Context, n *exchanger.News) (*exchanger.News, error) {
	return p.daemon.registrar.HandleMessage(ctx, n)
}

// Notify takes urgent news.
func (p *peerServer) Notify(ctx context.Context, n *exchanger.News) (*exchanger.News, error) {
	return p.daemon.registrar.HandleMessage(ctx, n)
}

// FetchTable returns stored table values. It fails when the whole table is asked for and is not complete here.
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

// RunTicket runs a ticketed call that a peer passed on.
func (p *peerServer) RunTicket(ctx context.Context, r *exchanger.TicketRequest) (*exchanger.CallReply, error) {
	return p.daemon.claimRunner.RunTicket(ctx, r)
}

// Outcome tells the outcome of a claim that this VM holds.
func (p *peerServer) Outcome(ctx context.Context, r *exchanger.OutcomeRequest) (*exchanger.CallReply, error) {
	return p.daemon.claimRunner.Outcome(ctx, r)
}

// Status returns the document of /admin/status.
func (p *peerServer) Status(context.Context, *exchanger.StatusRequest) (*exchanger.StatusReply, error) {
	data, err := json.Marshal(p.daemon.status())
	if err != nil {
		return nil, eris.Wrap(err, "encode status")
	}
	return &exchanger.StatusReply{Json: data}, nil
}

// Burn returns the counts of this VM for the burn report.
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
