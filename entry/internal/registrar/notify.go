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

// Limits of a notification.
const (
	maxNotifiedPeers = 32 // the other peers learn from heartbeats
	notifyTimeout    = 100 * time.Millisecond
)

// SpreadNews notifies the peers of a suspicion or a draining upstream. The channel is closed when they have answered or notifyTimeout
// has passed. It is nil when the queue of the registrar is full.
func (r *Registrar) SpreadNews(a router.Action) <-chan struct{} {
	notified := make(chan struct{})
	select {
	case r.commands <- func() {
		r.news.add(time.Now(), a)
		r.notifyPeers(r.peerAddresses(maxNotifiedPeers, nil), notified)
	}:
		return notified
	default:
		return nil
	}
}

// PushRevisions notifies the given peers of new table revisions. The message always holds the highest revisions in effect, the new
// ones among them.
func (r *Registrar) PushRevisions(to []string, _ []synchronizer.Revision) {
	select {
	case r.commands <- func() { r.notifyPeers(r.peerAddresses(len(to), to), nil) }:
	default:
	}
}

// NotifyAllPeers notifies the peers of the present state of this VM, such as its shutdown. The channel is closed when they have
// answered or notifyTimeout has passed.
func (r *Registrar) NotifyAllPeers() <-chan struct{} {
	notified := make(chan struct{})
	select {
	case r.commands <- func() { r.notifyPeers(r.peerAddresses(maxNotifiedPeers, nil), notified) }:
	case <-r.context.Done():
		close(notified)
	}
	return notified
}

// notifyPeers sends the same message to all given peers concurrently, and then closes the channel notified if it is not nil.
func (r *Registrar) notifyPeers(to []netip.AddrPort, notified chan<- struct{}) {
	message := r.buildMessage(time.Now())
	r.workers.Go(func() {
		if notified != nil {
			defer close(notified)
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
