package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/route"
)

const (
	// dialTimeout bounds the opening of a connection, which normally takes a few milliseconds. TCP retransmits a lost
	// SYN much later than this.
	dialTimeout = 300 * time.Millisecond
	// dialTimeoutPlain applies to plain requests, whose deadlines are short.
	dialTimeoutPlain = 120 * time.Millisecond
)

// exchange sends the request to the attempt's backend server and returns the head of the response. Canceling ctx aborts the
// connection, also while the body of the response is read.
func (q *request) exchange(ctx context.Context, a *attempt, wait time.Duration, extend func() time.Duration, from resumePoint) (*backend.Exchange, ResponseHead, error) {
	g := q.gateway
	remaining := q.deadline.Sub(g.clock.Now())
	encoded := Attempt{Server: a.server, Workspace: q.current.Workspace, Remaining: remaining, Urgency: -1}
	if q.profile.Engine != nil {
		encoded.Urgency = q.profile.EngineUrgency()
	}
	for _, s := range a.helpers {
		encoded.Helpers = append(encoded.Helpers, Helper{Address: s.Address})
	}
	if a.leases != nil {
		encoded.Helpers = a.leases.helpers()
	}
	encoded.ResumeAfter, encoded.Resumes = from.after, from.resumes
	plain := q.admitted.Route.Kind != route.Stream
	options := backend.ExchangeOptions{
		Address: a.server.Address, DialTimeout: min(dialTimeout, remaining), HeadTimeout: min(wait, remaining), Extend: extend,
		NewConnection: !q.idempotent(), IdleLimit: q.idleLimit,
		Matches: func(resp *http.Response, reused bool) bool { return g.matchesRequest(&q.req, resp, reused) },
	}
	if plain {
		options.DialTimeout = min(dialTimeoutPlain, remaining)
	}
	ctx, span := g.tracer.Start(ctx, "attempt", trace.WithAttributes(attribute.String("backend", a.server.ID)))
	defer span.End()
	a.sentAt = g.clock.Now()
	x, err := g.pool.Exchange(ctx, options, g.protocol.EncodeAttempt(&q.req, q.body, encoded))
	var failure *backend.Error
	if !errors.As(err, &failure) || failure.Sent() {
		q.exchanged = true
	}
	if err != nil {
		return nil, ResponseHead{}, err
	}
	head := g.protocol.DecodeResponseHead(x.Response)
	if q.identified(x, head) {
		g.recordNotice(a.server, head)
	}
	return x, head, nil
}

// matchesRequest reports whether a response belongs to a request. Backend servers echo the identifier, except in some
// refusals. On a reused connection, any other response without an identifier may be a repeated one.
func (g *Gateway) matchesRequest(c *CallerRequest, resp *http.Response, reused bool) bool {
	head := g.protocol.DecodeResponseHead(resp)
	return head.ID == c.ID || head.ID == "" && (!reused || head.NotRun)
}

// identified reports whether a response is certainly that of the request, rather than a repeated one on a reused
// connection.
func (q *request) identified(x *backend.Exchange, head ResponseHead) bool {
	return head.ID == q.req.ID || !x.Reused()
}

// endExchange ends an exchange whose response was read to its end. The connection is kept only after a successful answer
// to this request: a faulty backend server may write a refusal or an error once more, when the next request is waiting.
func (q *request) endExchange(x *backend.Exchange, head ResponseHead) {
	if head.ID == q.req.ID && head.Status >= 200 && head.Status < 300 {
		x.Done(true, head.KeepAlive)
		return
	}
	x.Close()
}

// resumePoint is the event after which a stream resumes. after is ignored unless resumes is set.
type resumePoint struct {
	after   uint64
	resumes bool
}
