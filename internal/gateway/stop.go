package gateway

import (
	"context"
	"time"

	"berylward.example/berylward/internal/route"
)

const (
	// stopPollInterval is the pause between checks for running requests during a shutdown.
	stopPollInterval = 50 * time.Millisecond
	// readinessNotice is how long a gateway that is shutting down keeps serving, so that load balancers have time to
	// see that it is not ready.
	readinessNotice = 4 * time.Second
	// stopMargin is subtracted from ShutdownTimeout, so that the shutdown ends before the platform kills the process.
	stopMargin = 300 * time.Millisecond
	// streamCutoff is how long after the start of a shutdown new streams are accepted. Later ones might not end in
	// time.
	streamCutoff = 2500 * time.Millisecond
	// idempotentCutoff is how long before the end of a shutdown idempotent plain requests may be refused at the earliest,
	// however long their timeout is. Most of them end much sooner, and their callers may send them again.
	idempotentCutoff = 3700 * time.Millisecond
)

// Stop shuts the gateway down and gives running requests time to end. The gateway is not ready from the start of the
// shutdown, but keeps serving. It ends once load balancers have had time to see this and no request is running, or when
// ShutdownTimeout is nearly over or ctx is canceled. Requests that are still running then are cut off.
func (g *Gateway) Stop(ctx context.Context) error {
	began := g.clock.Now()
	g.stopping.Store(began.UnixNano())
	g.log.Info("stopping", "running", g.active.Load())
	end := began.Add(max(g.ShutdownTimeout-stopMargin, 0))
	for now := began; now.Before(end) && ctx.Err() == nil; now = g.clock.Now() {
		if now.Sub(began) >= readinessNotice && g.active.Load() == 0 {
			break
		}
		select {
		case <-g.clock.After(stopPollInterval):
		case <-g.tomb.Dying():
			end = now
		}
	}
	cut := g.active.Load()
	g.tomb.Kill(nil)
	for _, s := range g.servers {
		_ = s.Close()
	}
	if g.peerConn != nil {
		_ = g.peerConn.Close()
	}
	err := g.tomb.Wait()
	g.pool.Close()
	g.logPromptShares()
	g.log.Info("stopped", "after-ms", g.clock.Since(began).Milliseconds(), "cut", cut)
	return err
}

// refusesWhileStopping reports whether a gateway that is shutting down refuses a new request because it might not end in time.
// A plain request may last as long as its timeout.
func (g *Gateway) refusesWhileStopping(r *route.Route, timeout time.Duration) bool {
	began := g.stopping.Load()
	if began == 0 {
		return false
	}
	elapsed := time.Duration(g.clock.Now().UnixNano() - began)
	left := g.ShutdownTimeout - stopMargin - elapsed
	switch r.Kind {
	case route.Stream:
		return elapsed > streamCutoff
	case route.Safe:
		return left < min(timeout, idempotentCutoff)
	case route.Unsafe:
	}
	return left < timeout
}
