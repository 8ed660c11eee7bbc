package registrar

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/pacer"
	"comfreyroute/core/coordination/router"
	"comfreyroute/core/coordination/tracker"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/transport/kvclient"
	"comfreyroute/entry/internal/logger"
	"comfreyroute/entry/internal/measurer"
)

// Intervals between two reads of the VM list. Watchers read it often, because it shows which upstreams are leaving. The other VMs
// learn that from the watchers.
const (
	watcherListInterval = time.Second
	otherListInterval   = time.Minute
)

// Roles of VMs in the VM list.
const (
	roleEntry    = "entry"
	roleUpstream = "upstream"
)

// readVMList starts a read of the VM list if one is due. A VM that is not admitted yet reads as often as a watcher.
func (r *Registrar) readVMList(now time.Time) {
	interval := otherListInterval
	if r.IsWatcher() || !r.Machine.Admitted() {
		interval = watcherListInterval
	}
	if r.readingList || now.Sub(r.lastListRead) < pacer.Jitter(r.Machine.Random, interval) {
		return
	}
	r.readingList, r.lastListRead = true, now
	r.workers.Go(func() {
		ctx, cancel := context.WithTimeout(r.context, watcherListInterval)
		defer cancel()
		measurer.CountPlatformCalls("list", 1)
		l := r.KVClient.ListVMs(ctx)
		select {
		case r.commands <- func() { r.applyVMList(now, l) }:
		case <-r.context.Done():
		}
	})
}

func (r *Registrar) applyVMList(sent time.Time, l kvclient.VMListResult) {
	r.readingList = false
	if l.Status != kvclient.OK {
		r.Log.Warn("registrar: could not read the VM list", logger.ErrorField(l.Err))
		return
	}
	if l.Skipped != r.skippedVMs {
		r.Log.Warn("registrar: entries of the VM list name no VM", zap.Int("entries", l.Skipped), zap.Int("before", r.skippedVMs))
		r.skippedVMs = l.Skipped
	}
	var vms []tracker.ListedVM
	leaving := map[Upstream]bool{}
	for _, vm := range l.VMs {
		switch vm.Role {
		case roleEntry:
			var address netip.AddrPort // zero for a VM that names none; the list has no malformed ones
			if a, err := netip.ParseAddrPort(vm.Address); err == nil {
				address = a
			}
			vms = append(vms, tracker.ListedVM{
				ID: vm.Name, FailureDomain: vm.FailureDomain, PeerAddress: address, Leaving: vm.State == encoder.VMLeaving,
			})
		case roleUpstream:
			if vm.State == encoder.VMLeaving {
				for _, u := range r.FindUpstreams(vm.Name) {
					leaving[u] = true
				}
			}
		}
	}
	r.step(tracker.VMsListed{VMs: vms, Sent: sent})
	r.updateLeaving(leaving)
}

// updateLeaving notifies the router and the peers of the upstreams that the VM list newly shows as leaving, and of those that it no
// longer shows as leaving.
func (r *Registrar) updateLeaving(leaving map[Upstream]bool) {
	var changed []Upstream
	for u := range leaving {
		if !r.leaving[u] {
			changed = append(changed, u)
		}
	}
	for u := range r.leaving {
		if !leaving[u] {
			changed = append(changed, u)
		}
	}
	r.leaving = leaving
	slices.SortFunc(changed, compareUpstreams)
	now := time.Now()
	for _, u := range changed {
		r.news.add(now, router.SpreadDrain{Service: u.Service, Upstream: u.Name, Leaving: leaving[u]})
	}
	if len(changed) > 0 {
		r.notifyPeers(r.peerAddresses(maxNotifiedPeers, nil), nil)
	}
	for _, u := range changed {
		r.PostToRouter(router.UpstreamLeaving{Service: u.Service, Upstream: u.Name, Leaving: leaving[u]})
	}
}
