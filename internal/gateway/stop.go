package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"berylward.example/berylward/internal/callers"
	"berylward.example/berylward/internal/route"
)

const (
	// stopPollInterval is the pause between checks for running requests during a shutdown.
	stopPollInterval = 50 * time.Millisecond
	// Load balancers ask for readiness every readinessInterval and give no new connections to a gateway that has missed
	// readinessMisses in a row. A caller gets the connection that it has asked for within connectTime.
	readinessInterval = time.Second
	readinessMisses   = 2
	connectTime       = time.Second
	// readinessNotice is how long a gateway that is shutting down keeps serving: until load balancers send callers
	// elsewhere, although one question is lost, and the last callers that they sent here have their connection.
	readinessNotice = (readinessMisses+1)*readinessInterval + connectTime
	// stopMargin is subtracted from ShutdownTimeout, so that the shutdown ends before the platform kills the process.
	stopMargin = 200 * time.Millisecond
	// answerMargin is the time before the end of a shutdown in which callers of requests that could not end are answered.
	answerMargin = 200 * time.Millisecond
	// streamCutoff is how long after the start of a shutdown new streams are accepted: until the next try of their callers
	// reaches another gateway, where nothing cuts them if their engine is slower than predicted.
	streamCutoff = readinessMisses*readinessInterval + readinessInterval/2
)

// shutdownTimes are the times of a planned shutdown.
type shutdownTimes struct {
	began time.Time
	// requestsEnd is when requests that are still running are ended with a failure. At end the connections of callers that
	// have not received theirs are closed.
	requestsEnd, end time.Time
}

// shutdown is the state of the shutdown of a gateway.
type shutdown struct {
	// times is nil while the gateway serves.
	times atomic.Pointer[shutdownTimes]
	// began is closed when the shutdown begins.
	began chan struct{}
	// requestsEnded is canceled when running requests must end, which endRequests does.
	requestsEnded context.Context
	endRequests   context.CancelFunc
}

// newShutdown returns the state of a gateway that serves. Requests also end when parent is canceled.
func newShutdown(parent context.Context) *shutdown {
	s := &shutdown{began: make(chan struct{})}
	s.requestsEnded, s.endRequests = context.WithCancel(parent)
	return s
}

// begin starts the shutdown unless it has begun, and returns its times. The gateway has a timeout for it.
func (s *shutdown) begin(now time.Time, timeout time.Duration) *shutdownTimes {
	end := now.Add(max(timeout-stopMargin, answerMargin))
	times := &shutdownTimes{began: now, requestsEnd: end.Add(-answerMargin), end: end}
	if !s.times.CompareAndSwap(nil, times) {
		return s.times.Load()
	}
	close(s.began)
	return times
}

// hasBegun reports whether the gateway is shutting down.
func (s *shutdown) hasBegun() bool { return s.times.Load() != nil }

// hasEndedRequests reports whether requests must end now.
func (s *shutdown) hasEndedRequests() bool { return s.requestsEnded.Err() != nil }

// requestContext returns a context for a request, which is canceled when requests must end.
func (s *shutdown) requestContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	release := context.AfterFunc(s.requestsEnded, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}

// Stop shuts the gateway down and gives running requests time to end. The gateway is not ready from the start of the
// shutdown, but keeps serving. It ends once load balancers have had time to see this and no request is running, or when
// ShutdownTimeout is nearly over or ctx is canceled. Requests that could not end before that are refused as soon as this is
// known. Those that are still running at the end are refused if they have not run, and fail otherwise. Stop returns when all
// callers have been answered, or answerMargin later.
func (g *Gateway) Stop(ctx context.Context) error {
	times := g.shutdown.begin(g.clock.Now(), g.ShutdownTimeout)
	g.log.Info("stopping", "running", g.active.Load())
	end := g.awaitRequests(ctx, times)
	cut := g.active.Load()
	g.shutdown.endRequests()
	g.closeServers(end)
	g.tomb.Kill(nil)
	if g.peerConn != nil {
		_ = g.peerConn.Close()
	}
	err := g.tomb.Wait()
	g.pool.Close()
	g.logPromptShares()
	g.log.Info("stopped", "after-ms", g.clock.Since(times.began).Milliseconds(), "cut", cut)
	return err
}

// awaitRequests waits until no request is running, but at least for readinessNotice, and at most until the requests must end.
// It returns the time at which the connections of callers must be closed.
func (g *Gateway) awaitRequests(ctx context.Context, times *shutdownTimes) time.Time {
	for now := times.began; now.Before(times.requestsEnd); now = g.clock.Now() {
		switch {
		case now.Sub(times.began) >= readinessNotice && g.active.Load() == 0:
			return times.end
		case ctx.Err() != nil || !g.tomb.Alive():
			return now.Add(answerMargin)
		}
		select {
		case <-g.clock.After(stopPollInterval):
		case <-g.tomb.Dying():
		}
	}
	return times.end
}

// closeServers closes the listeners, and the connections of callers once they have received their answers or a time has passed.
func (g *Gateway) closeServers(end time.Time) {
	callers.StopAccepting(g.servers...)
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(g.clock.Now()))
	defer cancel()
	if n := g.conns.Await(ctx, g.clock); n > 0 {
		g.log.Info("connections of callers closed before they had their answers", "connections", n)
	}
	for _, s := range g.servers {
		_ = s.Close()
	}
}

// refusesWhileStopping reports whether a gateway that is shutting down refuses a new request because it might not end in time.
// One that must not run twice may last as long as its timeout, since a failure could not be repaired by another send. For others
// the predicted completion decides when they are placed.
func (g *Gateway) refusesWhileStopping(r *route.Route, timeout time.Duration) bool {
	times := g.shutdown.times.Load()
	if times == nil {
		return false
	}
	now := g.clock.Now()
	left := times.requestsEnd.Sub(now)
	if left <= 0 || g.shutdown.hasEndedRequests() {
		return true
	}
	switch r.Kind {
	case route.Stream:
		return now.Sub(times.began) > streamCutoff
	case route.Safe:
		return false
	case route.Unsafe:
	}
	return left < timeout
}

// outlastsShutdown reports whether a request that must not run twice and was not sent yet might not end before the end of a
// shutdown. Predictions do not count for it, because its failure could not be repaired by another send.
func (q *request) outlastsShutdown(remaining time.Duration) bool {
	r := q.admitted.Route
	return r.Kind == route.Unsafe && len(q.runs) == 0 && q.gateway.refusesWhileStopping(r, remaining)
}

// completeBy returns the time by which the answer must be complete because of a shutdown; zero when there is none.
func (q *request) completeBy() time.Time {
	if times := q.gateway.shutdown.times.Load(); times != nil {
		return times.requestsEnd
	}
	return time.Time{}
}

// awaitHold waits for a time, or until the request ends. It returns early when a shutdown begins, because the request may
// not have the time any more for which it was to be held.
func (q *request) awaitHold(d time.Duration) {
	began := q.gateway.shutdown.began
	if q.gateway.shutdown.hasBegun() {
		began = nil
	}
	select {
	case <-q.ctx.Done():
	case <-began:
	case <-q.gateway.clock.After(d):
	}
}

// announceClose tells the caller that the connection is closed after the response if the gateway is shutting down.
func (q *request) announceClose() {
	if q.gateway.shutdown.hasBegun() {
		q.response.Header().Set("Connection", "close")
	}
}
