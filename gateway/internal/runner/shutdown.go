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
	// loadBalancerDelay is how long a stopping VM still accepts requests: the load balancer probes once a second and removes a VM after
	// two failed probes.
	loadBalancerDelay = 2800 * time.Millisecond
	// shutdownRatio is the fraction of the grace time after which the remaining requests are abandoned. On a slow VM the process needs
	// part of the last second to exit, and the kill at the end of the grace time would lose these requests as well.
	shutdownRatio = 0.88
	// answerRatio is the fraction of the time until then after which each request has an answer. The rest is for writing it.
	answerRatio = 0.96
)

// awaitLoadBalancer waits for a duration. A second stop signal ends the wait; a request to reload the settings does not.
func awaitLoadBalancer(d time.Duration, signals <-chan os.Signal) {
	end := time.After(d)
	for {
		select {
		case <-end:
			return
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
		}
	}
}

// shutDown keeps serving until the load balancer has removed this VM, and then waits for the requests in flight. A second stop signal
// ends the first wait, but not the second one.
func (g *Gateway) shutDown(signals <-chan os.Signal) {
	start := time.Now()
	g.receiver.StartShutdown()
	g.host.StartShutdown()
	g.granter.StartShutdown()
	g.log.Info("runner: shutting down", zap.Int("requests", g.pendingRequests()))
	timeout := time.Duration(float64(g.Settings.GraceTime) * shutdownRatio)
	if timeout <= 0 {
		timeout = loadBalancerDelay
	}
	g.driver.HandleEvent(forwarder.StopBegun{AnswerBy: start.Add(time.Duration(float64(timeout) * answerRatio))})
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	awaitLoadBalancer(min(loadBalancerDelay, timeout/2), signals)
	g.stopServingPeers() // the other VMs have taken their shares of the customers' rates back with an ask each
	if !g.callers.Drain() {
		g.log.Warn("runner: callers kept connecting, closing the listener")
	}
	err := g.callerServer.Shutdown(ctx)
	if err != nil {
		g.log.Warn("runner: shutdown timed out, abandoning requests in flight", zap.String("error", err.Error()))
		_ = g.callerServer.Close() // the listener is closed already
	}
	if err := g.detourServer.Shutdown(ctx); err != nil {
		g.log.Warn("runner: abandoning requests of other VMs", zap.String("error", err.Error()))
		_ = g.detourServer.Close() // the listener is closed already
	}
	g.client.Close()
	g.peers.Close()
	g.log.Info("runner: shutdown complete", zap.Duration("took", time.Since(start)), zap.Int("lost", g.pendingRequests()))
}

func (g *Gateway) pendingRequests() int {
	n := 0
	g.driver.WithMachine(func(m *forwarder.Machine) { n = m.PendingRequests() })
	return n
}
