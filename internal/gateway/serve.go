package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"berylward.example/berylward/internal/callers"
	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/suspect"
)

const (
	// defaultTimeout is the time for a request when neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// tableWait is how long a request waits for the gateway's first read of the store after a start. The wait takes at
	// most 1/tableWaitDivisor of the caller's timeout.
	tableWait        = time.Second
	tableWaitDivisor = 4
	// retryAfterDefault is the retry delay given to callers for conditions that pass soon.
	retryAfterDefault = 250 * time.Millisecond
	// retryAfterElsewhere is the retry delay given to callers that another gateway can serve.
	retryAfterElsewhere = 20 * time.Millisecond
	// Callers abandon a stream that has delivered no event for the longest of a minimum time, a multiple of the route's
	// latency target and a multiple of its longest pause.
	abandonMin     = 2 * time.Second
	abandonTargets = 4
	abandonGaps    = 8
	// maxSends bounds how often one request is sent, including sends that backend servers refused.
	maxSends = 4
)

// request is one request of a caller. It is owned by the goroutine of its connection.
type request struct {
	gateway  *Gateway
	response http.ResponseWriter
	ctx      context.Context
	req      CallerRequest
	body     []byte
	// admitted is the admission on arrival; current is the one by the table in force when the request was placed last.
	admitted, current route.Admitted
	arrivedAt         time.Time
	deadline          time.Time
	service           string
	profile           dispatch.RequestProfile
	idleLimit         int // idle connections that may be kept to each backend server of the service
	fingerprint       suspect.Fingerprint
	tried             []string
	runs              []run
	attempt           *attempt // the current one, nil between attempts
	sends             int
	exchanged         bool // the request may have reached a backend server
	// moved is set if the last attempt was given up during a shutdown because another backend server could complete the answer.
	moved      bool
	probesPart bool // the request may be sent once, to show whether a quarantined part still ends backend servers
	// probesRequest is set if the request may be sent once, to show whether it ends backend servers itself.
	probesRequest bool
	holdReasons   []dispatch.HoldReason
	heldTime      time.Duration
	holdID        dispatch.HoldID // zero unless the request waits for its turn
	delivered     bool            // bytes of the response have been sent to the caller
	// cut is set if the connection to the caller must be closed at the end of the request, because there is no answer or only
	// a part of one. net/http would otherwise end the response as if it were complete.
	cut       bool
	outcome   string
	firstByte time.Duration
	// predictedFirst and measuredFirst are the times from the placement to the first event of the last attempt that had one; zero
	// for plain services.
	predictedFirst, measuredFirst time.Duration
	// longestGap is the longest pause between two events sent to the caller; lastEvent is when the last one was sent.
	longestGap time.Duration
	lastEvent  time.Time
}

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	ctx, release := g.shutdown.requestContext(r.Context())
	defer release()
	q := &request{gateway: g, response: w, ctx: ctx, arrivedAt: g.clock.Now()}
	defer q.recoverPanic()
	q.limitWrites(q.arrivedAt.Add(defaultTimeout))
	req, err := g.protocol.DecodeRequest(r)
	q.req = req
	if err != nil {
		q.reject(Malformed, err)
		return
	}
	switch g.conns.Check(ctx).(type) {
	case callers.Excess:
		q.refuseConnection()
		return
	case callers.Closed:
		panic(http.ErrAbortHandler)
	case callers.Served:
	}
	if !q.admit() {
		return
	}
	buffer := g.requestBodies.NewBuffer()
	defer buffer.Release()
	if !q.readBody(r, buffer) {
		return
	}
	ctx, span := g.tracer.Start(q.ctx, "request", trace.WithAttributes(attribute.String("request", req.ID)))
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	q.ctx = ctx
	if !q.prepare() {
		return
	}
	switch q.admitted.Route.Kind {
	case route.Stream:
		q.stream()
	case route.Safe, route.Unsafe:
		q.plain()
	}
	q.finish()
	if q.cut {
		panic(http.ErrAbortHandler)
	}
}

// admit reports whether the request may be served. If not, it sends the failure to the caller.
func (q *request) admit() bool {
	g := q.gateway
	q.awaitTable()
	var admission route.Admission
	var loaded bool
	g.locked(func() {
		admission = g.currentTable.Admit(g.boot.Now(), q.req.Host, q.req.Path, q.req.Key)
		loaded = g.currentTable.Table() != nil
	})
	switch a := admission.(type) {
	case route.Admitted:
		q.admitted, q.current = a, a
		q.setDeadline()
		if g.refusesWhileStopping(a.Route, q.deadline.Sub(g.clock.Now())) {
			g.log.Info("request refused: stopping", "request", q.req.ID, "running", g.active.Load())
			q.refuse("stopping", retryAfterElsewhere)
			return false
		}
		return true
	case route.Denied:
		rejection := NoRoute
		if a.Reason == route.UnknownKey {
			rejection = UnknownKey
		}
		q.reject(rejection, errors.Errorf("table %d", a.Version))
	case route.Unproven:
		if !loaded {
			g.log.Info("request refused: no table yet", "request", q.req.ID, "waited-ms", q.elapsed().Milliseconds())
			q.refuse("no-table", retryAfterElsewhere)
			return false
		}
		g.log.Info("request refused: table not proven", "request", q.req.ID, "age-ms", a.Age.Milliseconds())
		q.refuse("unproven", retryAfterElsewhere)
	}
	return false
}

// awaitTable waits until the gateway's first read of the store has ended, but only for a part of the caller's timeout.
// When that read fails, the next one may take long, so the request is refused instead of waiting for it.
func (q *request) awaitTable() {
	wait := tableWait
	if q.req.Timeout > 0 {
		wait = min(wait, q.req.Timeout/tableWaitDivisor)
	}
	select {
	case <-q.gateway.firstReadDone:
		return
	default:
	}
	select {
	case <-q.gateway.firstReadDone:
	case <-q.gateway.tomb.Dying():
	case <-q.ctx.Done():
	case <-q.gateway.clock.After(wait):
	}
}

func (q *request) setDeadline() {
	timeout := q.admitted.Route.Timeout
	if timeout == 0 || q.req.Timeout > 0 && q.req.Timeout < timeout {
		timeout = q.req.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	q.deadline = q.arrivedAt.Add(timeout)
	q.limitWrites(q.deadline)
}

// prepare chooses the service and fills in the profile for the planner. It reports whether the route has a service; if not, it
// refuses the request.
func (q *request) prepare() bool {
	g := q.gateway
	digest := suspect.BodyDigest(q.body)
	ok := false
	g.locked(func() { ok = q.chooseService(q.admitted.Route) })
	if ok {
		q.profile.Target = q.admitted.Route.Target
		q.profile.TargetTime = q.arrivedAt.Add(q.profile.Target)
		q.profile.Deadline = q.latestFirstEvent()
		q.fingerprint = suspect.NewFingerprint(q.admitted.Workspace, q.req.Method+" "+q.req.Target, digest)
	}
	if !ok {
		g.log.Info("request refused: no service has a share of the route", "request", q.req.ID, "route", q.admitted.Route.Name, "table", q.admitted.Version)
		q.refuse("no-share", retryAfterDefault)
	}
	return ok
}

// latestFirstEvent returns the time at which the caller gives up when no event has arrived, or the deadline if that is
// earlier.
func (q *request) latestFirstEvent() time.Time {
	r := q.admitted.Route
	abandonAfter := max(abandonMin, abandonTargets*r.Target, abandonGaps*r.MaxGap)
	if at := q.arrivedAt.Add(abandonAfter); at.Before(q.deadline) {
		return at
	}
	return q.deadline
}

func (q *request) elapsed() time.Duration { return q.gateway.clock.Since(q.arrivedAt) }

// reject ends an invalid request with the reason.
func (q *request) reject(rejection Rejection, cause error) {
	q.gateway.metrics.count("rejected-" + string(rejection))
	q.gateway.log.Info("request rejected", "request", q.req.ID, "why", string(rejection), "cause", cause.Error())
	q.announceClose()
	q.gateway.protocol.WriteFailure(q.response, &q.req, Rejected{rejection})
}

// refuse ends the request with the guarantee that it has not run and will not run.
func (q *request) refuse(reason string, retryAfter time.Duration) {
	q.outcome = "refused-" + reason
	q.gateway.metrics.count("refused-" + reason)
	q.announceClose()
	q.gateway.protocol.WriteFailure(q.response, &q.req, NotRun{RetryAfter: retryAfter})
}

// refuseConnection ends a request that came on a connection too many.
func (q *request) refuseConnection() {
	q.gateway.log.Info("request refused: too many connections", "request", q.req.ID, "limit", q.gateway.conns.Usage().Limit)
	q.response.Header().Set("Connection", "close")
	q.refuse("connections", retryAfterElsewhere)
}

// leave ends a request whose caller has closed its connection, at least its own side of it.
func (q *request) leave() {
	q.outcome, q.cut = "caller-left", true
	q.gateway.metrics.count("callers-left")
}

// fail ends a request that may have run. When the caller already has a part of the response, its connection is closed,
// because a truncated response must not look complete.
func (q *request) fail(reason string) {
	q.outcome = "failed-" + reason
	q.gateway.metrics.count("failed-" + reason)
	if q.delivered {
		q.cut = true
		return
	}
	q.announceClose()
	q.gateway.protocol.WriteFailure(q.response, &q.req, MayHaveRun{Expired: q.deadline.Sub(q.gateway.clock.Now()) < minRemaining})
}

// giveUp ends a request that must not be sent again. It refuses the request if it cannot have run, and fails it
// otherwise.
func (q *request) giveUp(reason string, retryAfter time.Duration) {
	if q.delivered || len(q.runs) > 0 {
		q.fail(reason)
		return
	}
	q.refuse(reason, retryAfter)
}

// finish logs how the request ended and counts it.
func (q *request) finish() {
	elapsed := q.elapsed()
	q.gateway.metrics.count("requests")
	q.gateway.metrics.count("outcome-" + q.outcome)
	q.gateway.metrics.observe(q.admitted.Route.Name, elapsed)
	if q.profile.Prompt > 0 {
		q.gateway.metrics.prompts.record(q.admitted.Route.Name, q.profile.Prompt, q.outcome, q.heldTime)
		if q.profile.Ranks.Ranked() {
			q.gateway.metrics.workspaces.record(q.current.Workspace, q.outcome, q.heldTime)
		}
	}
	q.gateway.log.Info("request ended", "request", q.req.ID, "outcome", q.outcome, "route", q.admitted.Route.Name,
		"workspace", q.current.Workspace, "rank", q.profile.Rank.String(), "table", q.current.Version, "sends", q.sends, "first-ms", q.firstByte.Milliseconds(),
		"gap-ms", q.longestGap.Milliseconds(), "took-ms", elapsed.Milliseconds(), "prompt", q.profile.Prompt,
		"held-ms", q.heldTime.Milliseconds(), "predicted-first-ms", q.predictedFirst.Milliseconds(), "measured-first-ms", q.measuredFirst.Milliseconds(),
		"fingerprint", q.fingerprint.Short())
}
