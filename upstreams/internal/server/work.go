package server

import (
	"context"
	"errors"
	"math"
	"strings"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// runSubRequest acquires a slot and runs a sub-request for its service time. It reports whether the sub-request succeeded; if not,
// it has set the status of the reply.
//
// A call counts as executed when it gets its slot. From then on it runs to completion: cancellation and the deadline have no
// effect.
func (u *upstream) runSubRequest(ctx context.Context, request *encoder.SubRequest, reply *encoder.SubReply) bool {
	status := u.acquireSlot(ctx)
	if status != encoder.StatusOK {
		u.rejectSubRequest(status, reply)
		return false
	}
	defer func() { <-u.slots }()
	if ctx.Err() != nil { // expired or cancelled while it got the slot
		u.rejectSubRequest(endStatus(ctx), reply)
		return false
	}
	if u.triggersCrash(request) {
		done := u.lifetimeDone()
		go u.crash(crashDowntime)
		<-done
		reply.Status = encoder.StatusError
		return false
	}
	if request.Kind == encoder.SubCall {
		u.fleet.recordExecution(request.Service, string(request.Body))
		ctx = context.WithoutCancel(ctx)
	}
	d := u.drawServiceTime(time.Now())
	u.updateStats(func(s *Stats) { s.Run++ })
	if !sleep(ctx, d) {
		reply.Status = endStatus(ctx)
		u.countStatus(reply.Status)
		return false
	}
	return true
}

// crashDowntime is the time for which an upstream that crashed on a request refuses connections.
const crashDowntime = 2 * time.Second

// acquireSlot acquires a slot, waiting in the bounded queue if necessary. A status other than ok means that no slot was acquired.
func (u *upstream) acquireSlot(ctx context.Context) encoder.SubStatus {
	u.mu.Lock()
	if u.faults.isDraining {
		u.mu.Unlock()
		return encoder.StatusDraining
	}
	if u.faults.shedShare > 0 && u.random.Float64() < u.faults.shedShare {
		u.mu.Unlock()
		return encoder.StatusShed
	}
	select {
	case u.slots <- struct{}{}:
		u.mu.Unlock()
		return encoder.StatusOK
	default:
	}
	if u.queued >= u.server.Service.Queue {
		u.mu.Unlock()
		return encoder.StatusShed
	}
	u.queued++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.queued--
		u.mu.Unlock()
	}()
	select {
	case u.slots <- struct{}{}:
		return encoder.StatusOK
	case <-ctx.Done():
		return endStatus(ctx)
	}
}

// rejectSubRequest fills in the reply to a sub-request that is not run.
func (u *upstream) rejectSubRequest(status encoder.SubStatus, reply *encoder.SubReply) {
	reply.Status = status
	if status == encoder.StatusShed {
		reply.RetryAfterMS = max(1, u.server.Service.ServiceTimeMedian.Milliseconds())
	}
	u.countStatus(status)
}

func (u *upstream) countStatus(status encoder.SubStatus) {
	u.updateStats(func(s *Stats) {
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

// endStatus returns the status of a sub-request whose context is done. A closed connection counts as a cancellation.
func endStatus(ctx context.Context) encoder.SubStatus {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return encoder.StatusExpired
	}
	return encoder.StatusCancelled
}

func (u *upstream) triggersCrash(request *encoder.SubRequest) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	text := u.faults.crashText
	return text != "" && (request.Query == text || strings.Contains(string(request.Body), text))
}

func (u *upstream) lifetimeDone() <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lifetime.Done()
}

// drawServiceTime returns a random service time for one sub-request. A sub-request that starts while a connection is being set up
// waits for the setup, at most for the cost of one connection.
func (u *upstream) drawServiceTime(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server.Service
	seconds := s.ServiceTimeMedian.Seconds() * math.Exp(s.ServiceTimeSigma*u.random.NormFloat64())
	if u.runCount++; u.isRestarted && u.runCount <= s.ColdRequests {
		seconds *= s.ColdFactor
	}
	d := time.Duration(seconds * float64(time.Second))
	if s.TailShare > 0 && u.random.Float64() < s.TailShare {
		d += s.TailDelay
	}
	if u.faults.stragglerShare > 0 && u.random.Float64() < u.faults.stragglerShare {
		d += u.faults.stragglerDelay
	}
	return d + max(0, min(u.setupDone.Sub(now), s.ConnectCost))
}
