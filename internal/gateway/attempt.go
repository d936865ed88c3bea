package gateway

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/suspect"
)

const (
	// dialTimeout bounds the opening of a connection, which takes some milliseconds; a lost opening packet is sent
	// again much later.
	dialTimeout = 300 * time.Millisecond
	// dialTimeoutPlain is for requests with short deadlines.
	dialTimeoutPlain = 120 * time.Millisecond
	// leastRemaining is the time below which no attempt is begun; its answer could not come in time.
	leastRemaining = 5 * time.Millisecond
	// urgencyShort and urgencyLong order prompts at the engine. Short ones are read first.
	urgencyShort = 2
	urgencyLong  = 5
)

// step says what to do after an attempt. It is a sealed interface: finished, again and hopeless are its only
// implementations.
//
//sumtype:decl
type step interface{ step() }

// finished means that the caller has its answer, or has left.
type finished struct{}

// again means that the request may be sent once more, where the rules allow it.
type again struct{ why string }

// hopeless means that the request has failed.
type hopeless struct{ why string }

func (finished) step() {}
func (again) step()    {}
func (hopeless) step() {}

// attempt is one send of a request.
type attempt struct {
	server   *roster.Server
	helpers  []*roster.Server
	leases   *leases
	ticket   dispatch.Ticket
	expected time.Duration
	seen     dispatch.Load
	joint    bool
	last     bool // no further send is allowed after this one
}

// attempts makes attempts until the caller has its answer or no further one is allowed.
func (q *request) attempts(try func(*attempt) step) {
	for {
		a := q.place()
		if a == nil {
			return
		}
		var why string
		switch s := try(a).(type) {
		case finished:
			return
		case hopeless:
			q.fail(s.why)
			return
		case again:
			why = s.why
		}
		if !q.mayRepeat() {
			q.giveUp(why, comeBack)
			return
		}
	}
}

// place decides where the next attempt goes and accounts for it, when need be after a hold. It returns nil when the
// request has been answered.
func (q *request) place() *attempt {
	for {
		a, held := q.tryPlace()
		if held == 0 {
			return a
		}
		select {
		case <-q.ctx.Done():
		case <-q.g.clock.After(held):
		}
	}
}

// tryPlace returns the next attempt, or for how long the request is held.
func (q *request) tryPlace() (*attempt, time.Duration) {
	g := q.g
	now := g.clock.Now()
	remaining := q.deadline.Sub(now)
	if remaining < leastRemaining || q.ctx.Err() != nil {
		q.expire()
		return nil, 0
	}
	g.mu.Lock()
	admission := g.book.Admit(g.boot.Now(), q.call.Host, q.call.Path, q.call.Key)
	admitted, ok := admission.(route.Admitted)
	standing := g.suspects.Check(now, q.print)
	_, quarantined := standing.(suspect.Quarantined)
	service := dispatch.ServiceKey(q.service)
	budgeted := q.sends == 0 || g.repeats.Allows(now, service)
	var placement dispatch.Placement = dispatch.Nowhere{}
	var ticket dispatch.Ticket
	if ok && !quarantined && budgeted {
		placement = g.planner.Place(now, q.workNow(), g.roster.InService(q.service), q.tried)
		ticket = g.planner.Placed(now, q.work, placement)
		if ticket != 0 && q.sends > 0 {
			g.repeats.Repeat(now, service)
		}
	}
	gateways, peerAge := g.group.Size(), g.planner.OldestReport(now)
	g.mu.Unlock()
	switch {
	case !ok:
		q.giveUp("withdrawn", comeBackElsewhere)
		return nil, 0
	case quarantined:
		g.log.Info("request refused: it ran when backend servers failed", "request", q.call.ID, "crashes", crashes)
		q.giveUp("quarantined", q.deadline.Sub(q.arrived))
		return nil, 0
	case !budgeted:
		q.giveUp("retry-budget", comeBack)
		return nil, 0
	}
	q.sends++
	a := &attempt{ticket: ticket}
	switch p := placement.(type) {
	case dispatch.Hold:
		q.sends--
		if !q.held {
			q.held = true
			g.metrics.count("held")
			g.log.Info("held", "request", q.call.ID, "expected-ms", p.Expected.Milliseconds(), "gateways", gateways)
		}
		return nil, p.For
	case dispatch.Nowhere:
		q.sends--
		g.log.Info("no placement", "request", q.call.ID, "reason", string(p.Reason), "tried", len(q.tried), "table", admitted.Version)
		q.giveUp(string(p.Reason), p.RetryAfter)
		return nil, 0
	case dispatch.Send:
		a.server, a.expected, a.seen = p.Server, p.Expected, p.Seen
	case dispatch.Joint:
		a.server, a.helpers, a.expected, a.seen, a.joint = p.Servers[0], p.Servers[1:], p.Expected, p.Seen, true
		if p.Reserved {
			a.leases = newLeases(q, p.Servers)
		}
	}
	a.last = q.sends >= maxSends || q.attemptsLeft() <= 1
	g.log.Info("sent", "request", q.call.ID, "backend", a.server.ID, "send", q.sends, "helpers", ids(a.helpers),
		"expected-ms", a.expected.Milliseconds(), "remaining-ms", remaining.Milliseconds(), "table", admitted.Version,
		"backend-revision", a.server.Revision, "short", a.seen.Short, "long", a.seen.Long, "unread-ms", a.seen.Unread.Milliseconds(),
		"gateways", gateways, "peer-age-ms", peerAge.Milliseconds())
	return a, 0
}

// ids returns the identifiers of backend servers.
func ids(servers []*roster.Server) []string {
	list := make([]string, 0, len(servers))
	for _, s := range servers {
		list = append(list, s.ID)
	}
	return list
}

// workNow describes the work of the next attempt. A caller that has part of an answer waits for the next event, so its
// request is not held.
func (q *request) workNow() dispatch.Work {
	w := q.work
	if q.delivered {
		w.Due, w.Latest = time.Time{}, time.Time{}
	}
	return w
}

// expire ends a request whose time is over or whose caller has left.
func (q *request) expire() {
	if q.deadline.Sub(q.g.clock.Now()) < leastRemaining {
		if len(q.ran) == 0 && !q.delivered {
			q.refuse("deadline", comeBack)
			return
		}
		q.fail("deadline")
		return
	}
	q.outcome = "caller-left"
	q.g.metrics.count("callers-left")
}

// attemptsLeft returns how many further backend servers may run the request. Those that ended meanwhile don't count.
func (q *request) attemptsLeft() int {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	left := q.admitted.Route.MaxAttempts
	for _, s := range q.ran {
		if q.g.roster.Current(s) {
			left--
		}
	}
	return left
}

// mayRepeat says whether the request may be sent once more after it was sent to the backend servers in q.ran.
func (q *request) mayRepeat() bool {
	if q.sends >= maxSends || q.ctx.Err() != nil {
		return false
	}
	if len(q.ran) == 0 {
		return true
	}
	return q.admitted.Route.Idempotent() && q.attemptsLeft() > 0
}

// exchange sends the request to the attempt's backend server.
func (q *request) exchange(a *attempt, wait time.Duration, extend func() time.Duration, events resume) (*backend.Exchange, Reply, error) {
	g := q.g
	remaining := q.deadline.Sub(g.clock.Now())
	out := Attempt{Server: a.server, Workspace: q.admitted.Workspace, Remaining: remaining, Urgency: -1}
	if q.work.Engine != nil {
		out.Urgency = urgencyLong
		if q.work.Short() {
			out.Urgency = urgencyShort
		}
	}
	for _, s := range a.helpers {
		out.Helpers = append(out.Helpers, Helper{Address: s.Address})
	}
	if a.leases != nil {
		out.Helpers = a.leases.helpers()
	}
	out.ResumeAfter, out.Resumes = events.after, events.resumes
	plain := q.admitted.Route.Kind != route.Stream
	plan := backend.Plan{
		Address: a.server.Address, DialTimeout: min(dialTimeout, remaining), HeadTimeout: min(wait, remaining), Extend: extend,
		Fresh: q.admitted.Route.Kind == route.Unsafe, Idle: q.idle,
		Own: func(resp *http.Response) bool { return g.owns(&q.call, resp) },
	}
	if plain {
		plan.DialTimeout = min(dialTimeoutPlain, remaining)
	}
	ctx, span := g.tracer.Start(q.ctx, "attempt", trace.WithAttributes(attribute.String("backend", a.server.ID)))
	defer span.End()
	x, err := g.pool.Exchange(ctx, plan, g.protocol.Request(&q.call, q.body, out))
	if err != nil {
		return nil, Reply{}, err
	}
	return x, g.protocol.Reply(x.Response), nil
}

// owns says whether an answer belongs to a call. An answer without an identifier is its own, because some failures are
// answered before the request is read.
func (g *Gateway) owns(c *Call, resp *http.Response) bool {
	id := g.protocol.Reply(resp).ID
	return id == "" || id == c.ID
}

// resume says after which event a stream goes on.
type resume struct {
	after   uint64
	resumes bool
}

// ended accounts for the end of an attempt.
func (q *request) ended(a *attempt, o dispatch.Outcome) {
	g := q.g
	now := g.clock.Now()
	g.mu.Lock()
	g.planner.Ended(now, a.ticket, o)
	g.mu.Unlock()
	if a.leases != nil {
		a.leases.release()
	}
}

// lost decides what follows an attempt that ended without a whole answer.
func (q *request) lost(a *attempt, err error) step {
	var failure *backend.Error
	if !errors.As(err, &failure) {
		failure = &backend.Error{Op: "exchange", Kind: backend.KindBroken, Err: err}
	}
	if failure.Sent() {
		q.ran = append(q.ran, a.server)
	}
	q.tried = append(q.tried, a.server.ID)
	if q.ctx.Err() != nil {
		q.ended(a, dispatch.Abandoned{})
		q.expire()
		return finished{}
	}
	if failure.Kind == backend.KindBroken && failure.Reused {
		// A kept connection may have been closed by its backend server, which tells little of its health.
		q.ended(a, dispatch.Abandoned{})
	} else {
		q.ended(a, dispatch.Lost{})
	}
	if failure.Kind == backend.KindBroken && !failure.Reused {
		q.crashed(a)
	}
	q.g.metrics.count("attempts-" + string(failure.Kind))
	q.g.log.Info("attempt lost", "request", q.call.ID, "backend", a.server.ID, "kind", string(failure.Kind), "reused", failure.Reused,
		"error", failure.Err.Error(), "elapsed-ms", q.elapsed().Milliseconds(), "delivered", q.delivered)
	return again{"backend-" + string(failure.Kind)}
}

// crashed remembers that the request was running when its backend server may have failed.
func (q *request) crashed(a *attempt) {
	now := q.g.clock.Now()
	q.g.mu.Lock()
	q.g.suspects.Crashed(now, a.server.ID, []suspect.Fingerprint{q.print})
	q.g.mu.Unlock()
}

// refused decides what follows an answer that says the request did not run.
func (q *request) refused(a *attempt, r Reply) step {
	q.tried = append(q.tried, a.server.ID)
	if culprit := q.culprit(a, r); culprit != nil {
		now := q.g.clock.Now()
		q.g.mu.Lock()
		q.g.planner.Blame(now, culprit)
		q.g.mu.Unlock()
		q.tried = append(q.tried, culprit.ID)
		q.ended(a, dispatch.Abandoned{})
	} else {
		q.ended(a, dispatch.Full{})
	}
	q.g.metrics.count("attempts-refused")
	q.g.log.Info("attempt refused", "request", q.call.ID, "backend", a.server.ID, "status", r.Status, "culprit", r.Culprit,
		"misdirected", r.Misdirected, "elapsed-ms", q.elapsed().Milliseconds())
	return again{"backend-refused"}
}

// culprit returns the helper that an answer blames, or nil.
func (q *request) culprit(a *attempt, r Reply) *roster.Server {
	for _, s := range a.helpers {
		if r.Culprit == s.ID || r.Culprit == s.Address.String() {
			return s
		}
	}
	return nil
}
