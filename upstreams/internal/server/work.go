package server

import (
	"context"
	"errors"
	"math"
	"strings"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// work takes a slot and runs a sub-request for its service time. It returns false after it has set another status than ok.
//
// A call counts as executed when it gets its slot, and then runs to its end: cancellation and the deadline do not undo it.
func (h *host) work(ctx context.Context, request *encoder.SubRequest, reply *encoder.SubReply) bool {
	status := h.acquire(ctx)
	if status != encoder.StatusOK {
		h.refuseWork(status, reply)
		return false
	}
	defer func() { <-h.slots }()
	if ctx.Err() != nil { // expired or cancelled at the moment it got the slot
		h.refuseWork(ended(ctx), reply)
		return false
	}
	if h.crashes(request) {
		done := h.lifeDone()
		go h.crash(crashDown)
		<-done
		reply.Status = encoder.StatusError
		return false
	}
	if request.Kind == encoder.SubCall {
		h.fleet.execute(request.Service, string(request.Body))
		ctx = context.WithoutCancel(ctx)
	}
	d := h.serviceTime(time.Now())
	h.count(func(s *Stats) { s.Run++ })
	if !pause(ctx, d) {
		reply.Status = ended(ctx)
		h.countEnd(reply.Status)
		return false
	}
	return true
}

// crashDown is how long a server that crashed on a request refuses connections.
const crashDown = 2 * time.Second

// acquire takes a slot, if necessary after waiting in the bounded queue.
func (h *host) acquire(ctx context.Context) encoder.SubStatus {
	h.mu.Lock()
	if h.faults.draining {
		h.mu.Unlock()
		return encoder.StatusDraining
	}
	if h.faults.shed > 0 && h.random.Float64() < h.faults.shed {
		h.mu.Unlock()
		return encoder.StatusShed
	}
	select {
	case h.slots <- struct{}{}:
		h.mu.Unlock()
		return encoder.StatusOK
	default:
	}
	if h.queued >= h.server.Service.Queue {
		h.mu.Unlock()
		return encoder.StatusShed
	}
	h.queued++
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.queued--
		h.mu.Unlock()
	}()
	select {
	case h.slots <- struct{}{}:
		return encoder.StatusOK
	case <-ctx.Done():
		return ended(ctx)
	}
}

// refuseWork answers a sub-request that was not run.
func (h *host) refuseWork(status encoder.SubStatus, reply *encoder.SubReply) {
	reply.Status = status
	if status == encoder.StatusShed {
		reply.RetryAfterMS = max(1, h.server.Service.ServiceTimeMedian.Milliseconds())
	}
	h.countEnd(status)
}

func (h *host) countEnd(status encoder.SubStatus) {
	h.count(func(s *Stats) {
		switch status {
		case encoder.StatusShed:
			s.Shed++
		case encoder.StatusDraining:
			s.Drained++
		case encoder.StatusExpired:
			s.Expired++
		default:
			s.Cancelled++
		}
	})
}

// ended tells why a context ended. A client that has gone counts as a cancellation.
func ended(ctx context.Context) encoder.SubStatus {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return encoder.StatusExpired
	}
	return encoder.StatusCancelled
}

func (h *host) crashes(request *encoder.SubRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	on := h.faults.crashOn
	return on != "" && (request.Query == on || strings.Contains(string(request.Body), on))
}

func (h *host) lifeDone() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life.Done()
}

// serviceTime draws the service time of one sub-request. Work that starts while a connection is set up waits for it, for the
// cost of one connection at most.
func (h *host) serviceTime(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.server.Service
	seconds := s.ServiceTimeMedian.Seconds() * math.Exp(s.ServiceTimeSigma*h.random.NormFloat64())
	if h.served++; h.cold && h.served <= s.ColdRequests {
		seconds *= s.ColdFactor
	}
	d := time.Duration(seconds * float64(time.Second))
	if s.TailShare > 0 && h.random.Float64() < s.TailShare {
		d += s.TailDelay
	}
	if h.faults.stragglerShare > 0 && h.random.Float64() < h.faults.stragglerShare {
		d += h.faults.stragglerDelay
	}
	return d + max(0, min(h.setup.Sub(now), s.ConnectCost))
}
