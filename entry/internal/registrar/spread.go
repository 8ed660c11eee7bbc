package registrar

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/coordination/synchronizer"
	"comfreyroute/core/protocol/exchanger"
)

// Bounds of a push.
const (
	pushPeers     = 32 // peers told at once; the others learn with the heartbeats
	notifyTimeout = 100 * time.Millisecond
)

// Spread tells the peers about a suspicion or a draining upstream. The channel is closed when they have answered or the
// time-out has passed; a nil channel means that the concern is too busy to tell anybody.
func (r *Registrar) Spread(a router.Action) <-chan struct{} {
	told := make(chan struct{})
	select {
	case r.commands <- func() {
		r.news.add(time.Now(), a)
		r.notifyPeers(r.peerAddresses(pushPeers, nil), told)
	}:
		return told
	default:
		return nil
	}
}

// PushRevisions tells peers about revisions in effect. The message carries all revisions, the new ones among them.
func (r *Registrar) PushRevisions(to []string, _ []synchronizer.Revision) {
	select {
	case r.commands <- func() { r.notifyPeers(r.peerAddresses(len(to), to), nil) }:
	default:
	}
}

// NotifyAll tells the peers the present state of this VM, such as that it ends. The channel is closed as that of Spread.
func (r *Registrar) NotifyAll() <-chan struct{} {
	told := make(chan struct{})
	select {
	case r.commands <- func() { r.notifyPeers(r.peerAddresses(pushPeers, nil), told) }:
	case <-r.context.Done():
		close(told)
	}
	return told
}

// notifyPeers sends the same message to peers at once and closes told at the end.
func (r *Registrar) notifyPeers(to []netip.AddrPort, told chan<- struct{}) {
	message := r.buildMessage(time.Now())
	r.workers.Go(func() {
		if told != nil {
			defer close(told)
		}
		ctx, cancel := context.WithTimeout(r.context, notifyTimeout)
		defer cancel()
		var calls sync.WaitGroup
		for _, a := range to {
			calls.Go(func() { r.notifyPeer(ctx, a, message) })
		}
		calls.Wait()
	})
}

func (r *Registrar) notifyPeer(ctx context.Context, to netip.AddrPort, message *exchanger.News) {
	reply, err := r.Messenger.Peer(to).Notify(ctx, message)
	if err == nil {
		r.receiveMessage(reply)
	}
}
