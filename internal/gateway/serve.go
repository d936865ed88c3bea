package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/suspect"
)

const (
	// patienceDefault is how long an answer is waited for when neither the caller nor the route says.
	patienceDefault = 30 * time.Second
	// tableWait is how long a request waits for the first read of the store after a start, and at most the tablePart-th part of
	// its caller's patience.
	tableWait = time.Second
	tablePart = 4
	// comeBack is when a caller may come back that was refused for a reason that passes soon.
	comeBack = 250 * time.Millisecond
	// comeBackElsewhere is when a caller may come back that another gateway serves.
	comeBackElsewhere = 20 * time.Millisecond
	// Callers leave a stream that shows nothing for the longest of a least time, a multiple of the route's target and a
	// multiple of its longest pause.
	patienceLeast   = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
	// maxSends bounds the sends of one request, those included that backend servers refused.
	maxSends = 4
)

// request is one request of a caller, owned by the goroutine of its connection.
type request struct {
	g         *Gateway
	w         http.ResponseWriter
	ctx       context.Context
	call      Call
	body      []byte
	admitted  route.Admitted
	arrived   time.Time
	deadline  time.Time
	service   string
	work      dispatch.Work
	idle      int // connections that may be kept to each backend server of the service
	print     suspect.Fingerprint
	tried     []string
	ran       []*roster.Server // backend servers that may have run it
	sends     int
	held      bool // the request waited for requests that can still be on time
	delivered bool // bytes of an answer have gone to the caller
	outcome   string
	firstByte time.Duration
	// widestGap is the longest pause between two events that the caller got, lastEvent when the last one went.
	widestGap time.Duration
	lastEvent time.Time
}

// serve answers one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	q := &request{g: g, w: w, ctx: r.Context(), arrived: g.clock.Now()}
	if g.stopping.Load() != 0 {
		w.Header().Set("Connection", "close")
	}
	call, err := g.protocol.Call(r)
	q.call = call
	if err != nil {
		q.reject(Malformed, err)
		return
	}
	if !q.admit() {
		return
	}
	q.setDeadline()
	if !q.readBody(r) {
		return
	}
	ctx, span := g.tracer.Start(q.ctx, "request", trace.WithAttributes(attribute.String("request", call.ID)))
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	q.ctx = ctx
	q.prepare()
	switch q.admitted.Route.Kind {
	case route.Stream:
		q.stream()
	case route.Safe, route.Unsafe:
		q.plain()
	}
	q.finish()
}

// admit decides whether the request may be served and answers it if not.
func (q *request) admit() bool {
	g := q.g
	q.awaitTable()
	g.mu.Lock()
	admission := g.book.Admit(g.boot.Now(), q.call.Host, q.call.Path, q.call.Key)
	loaded := g.book.Table() != nil
	g.mu.Unlock()
	switch a := admission.(type) {
	case route.Admitted:
		q.admitted = a
		if g.refuses(a.Route.Kind) {
			g.log.Info("request refused: stopping", "request", q.call.ID, "running", g.active.Load())
			q.refuse("stopping", comeBackElsewhere)
			return false
		}
		return true
	case route.Denied:
		why := NoRoute
		if a.Reason == route.UnknownKey {
			why = UnknownKey
		}
		q.reject(why, errors.Errorf("table %d", a.Version))
	case route.Unproven:
		if !loaded {
			g.log.Info("request refused: no table yet", "request", q.call.ID, "waited-ms", q.elapsed().Milliseconds())
			q.refuse("no-table", comeBackElsewhere)
			return false
		}
		g.log.Info("request refused: table not proven", "request", q.call.ID, "age-ms", a.Age.Milliseconds())
		q.refuse("unproven", comeBackElsewhere)
	}
	return false
}

// awaitTable waits for the end of the first read of the store after the start of the gateway, for a part of the time that the
// caller has. When that read fails, the next one may take long, and the request is better refused.
func (q *request) awaitTable() {
	wait := tableWait
	if q.call.Patience > 0 {
		wait = min(wait, q.call.Patience/tablePart)
	}
	select {
	case <-q.g.begun:
		return
	default:
	}
	select {
	case <-q.g.begun:
	case <-q.g.tomb.Dying():
	case <-q.ctx.Done():
	case <-q.g.clock.After(wait):
	}
}

func (q *request) setDeadline() {
	patience := q.admitted.Route.Timeout
	if patience == 0 || q.call.Patience > 0 && q.call.Patience < patience {
		patience = q.call.Patience
	}
	if patience == 0 {
		patience = patienceDefault
	}
	q.deadline = q.arrived.Add(patience)
}

// readBody reads the whole body before anything is sent, so that the request can be sent again.
func (q *request) readBody(r *http.Request) bool {
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	q.g.mu.Lock()
	limit := q.g.book.Table().Limits.BodyBytes
	q.g.mu.Unlock()
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(q.w, r.Body, limit)
	}
	control := http.NewResponseController(q.w)
	// A failure to set the deadline leaves the wait to the caller's own patience.
	if err := control.SetReadDeadline(q.deadline); err != nil {
		q.g.metrics.count("deadline-errors")
	}
	data, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		q.reject(BodyTooLarge, err)
		return false
	case err != nil:
		q.g.metrics.count("bodies-cut")
		q.g.log.Info("body not received", "request", q.call.ID, "error", err.Error())
		panic(http.ErrAbortHandler)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		q.g.metrics.count("deadline-errors")
	}
	q.body = data
	return true
}

// prepare chooses the service and describes the work.
func (q *request) prepare() {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	q.service = q.chooseService()
	q.work.Target = q.admitted.Route.Target
	q.work.Due = q.arrived.Add(q.work.Target)
	q.work.Latest = q.latest()
	if s := g.book.Table().Service(q.service); s != nil {
		q.work.ColdPerSecond, q.idle = s.ColdPerSecond, g.planner.Idle(s.MaxConnections)
		if p := q.call.Prompt; p != nil && s.Engine != nil {
			q.work.Engine, q.work.Prompt, q.work.Answer = s.Engine, p.Tokens, p.MaxAnswer
			if p.Hint > 0 && p.Hint < p.MaxAnswer {
				q.work.Answer = p.Hint
			}
		}
	}
	q.print = suspect.Of(q.admitted.Workspace, q.call.Method+" "+q.call.Target, suspect.Digest(q.body))
	g.repeats.Request(g.clock.Now(), dispatch.ServiceKey(q.service))
}

// latest returns when the first event would come too late: callers give up after the longest of some pauses.
func (q *request) latest() time.Time {
	r := q.admitted.Route
	patience := max(patienceLeast, patienceTargets*r.Target, patienceGaps*r.MaxGap)
	if at := q.arrived.Add(patience); at.Before(q.deadline) {
		return at
	}
	return q.deadline
}

// chooseService picks a service by the route's weights, among those that have backend servers if any has.
func (q *request) chooseService() string {
	total := 0
	shares := q.admitted.Route.Shares
	for _, s := range shares {
		total += q.weight(s)
	}
	if total == 0 {
		return shares[0].Service
	}
	n := q.g.random.IntN(total)
	for _, s := range shares {
		if n -= q.weight(s); n < 0 {
			return s.Service
		}
	}
	return shares[0].Service
}

func (q *request) weight(s route.Share) int {
	if len(q.g.roster.InService(s.Service)) == 0 {
		return 0
	}
	return max(s.Weight, 0)
}

func (q *request) elapsed() time.Duration { return q.g.clock.Since(q.arrived) }

// reject ends the request with an answer that it is wrong.
func (q *request) reject(why Rejection, cause error) {
	q.g.metrics.count("rejected-" + string(why))
	q.g.log.Info("request rejected", "request", q.call.ID, "why", string(why), "cause", cause.Error())
	q.g.protocol.Fail(q.w, &q.call, Rejected{why})
}

// refuse ends the request with the promise that it has not run and never will.
func (q *request) refuse(why string, after time.Duration) {
	q.outcome = "refused-" + why
	q.g.metrics.count("refused-" + why)
	q.g.protocol.Fail(q.w, &q.call, NotRun{RetryAfter: after})
}

// fail ends a request that may have run. A caller that has part of an answer gets its connection closed, because an
// answer that ends early must not look whole.
func (q *request) fail(why string) {
	q.outcome = "failed-" + why
	q.g.metrics.count("failed-" + why)
	if q.delivered {
		q.finish()
		panic(http.ErrAbortHandler)
	}
	q.g.protocol.Fail(q.w, &q.call, MayHaveRun{Expired: q.deadline.Sub(q.g.clock.Now()) < leastRemaining})
}

// giveUp ends a request that cannot be sent again.
func (q *request) giveUp(why string, after time.Duration) {
	if q.delivered || len(q.ran) > 0 {
		q.fail(why)
		return
	}
	q.refuse(why, after)
}

// finish writes the line that tells how the request ended.
func (q *request) finish() {
	took := q.elapsed()
	q.g.metrics.count("requests")
	q.g.metrics.count("outcome-" + q.outcome)
	q.g.metrics.observe(q.admitted.Route.Name, took)
	q.g.log.Info("request ended", "request", q.call.ID, "outcome", q.outcome, "route", q.admitted.Route.Name,
		"workspace", q.admitted.Workspace, "table", q.admitted.Version, "sends", q.sends, "first-ms", q.firstByte.Milliseconds(),
		"gap-ms", q.widestGap.Milliseconds(), "took-ms", took.Milliseconds(), "prompt", q.work.Prompt)
}
