package runner

import (
	"context"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"comfreyroute/core/coordination/forwarder"
)

const (
	// loadBalancerDelay is how long a VM that stops goes on taking requests: the load balancer asks once a second and takes a VM out
	// after two misses.
	loadBalancerDelay = 2800 * time.Millisecond
	// shutdownRatio is the part of the grace time after which requests that still run are given up. Requests are lost with the end by
	// force too, and a process on a slow VM needs some of the last second to end.
	shutdownRatio = 0.88
)

// shutDown finishes the requests in flight and ends. A second signal to stop ends at once.
func (g *Gateway) shutDown(signals <-chan os.Signal) {
	began := time.Now()
	g.receiver.StartShutdown()
	g.log.Info("runner: stopping", zap.Int("requests", g.pendingRequests()))
	limit := time.Duration(float64(g.Settings.GraceTime) * shutdownRatio)
	if limit <= 0 {
		limit = loadBalancerDelay
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	select {
	case <-time.After(min(loadBalancerDelay, limit/2)):
	case sig := <-signals:
		for sig == syscall.SIGHUP {
			sig = <-signals
		}
	}
	err := g.callerServer.Shutdown(ctx)
	if err != nil {
		g.log.Warn("runner: requests given up", zap.String("error", err.Error()))
		_ = g.callerServer.Close() // the listener is closed already
	}
	g.client.Close()
	g.log.Info("runner: stopped", zap.Duration("took", time.Since(began)), zap.Int("lost", g.pendingRequests()))
}

func (g *Gateway) pendingRequests() int {
	n := 0
	g.driver.WithMachine(func(m *forwarder.Machine) { n = m.PendingRequests() })
	return n
}
