package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
)

const (
	// leaseDuration is how long memory stays reserved after the latest time at which the engine that runs the request is known to
	// have been there. With orderTimeout, for an order that arrives late, it stays below the platform's bound of 4 s.
	leaseDuration = 3500 * time.Millisecond
	// leaseRenewInterval is the pause between renewals, and leaseRetryInterval the one after a failed renewal, so that three more are
	// tried before the lease ends.
	leaseRenewInterval = 1200 * time.Millisecond
	leaseRetryInterval = 200 * time.Millisecond
	// orderTimeout bounds an order to an engine, with the opening of its connection. Engines answer orders in milliseconds.
	orderTimeout = 400 * time.Millisecond
)

// leases is the memory reserved at several engines for one prompt.
type leases struct {
	request *request
	// servers are the engines, first the one that runs the request.
	servers     []*roster.Server
	id          string
	tokens      int64
	failedIDs   []string // IDs of engines where the reservation failed
	held        bool
	stopRenewal context.CancelFunc
	renewalCtx  context.Context
	renewal     sync.WaitGroup
	use         leaseUse
}

func newLeases(q *request, servers []*roster.Server) *leases {
	parts := int64(len(servers))
	return &leases{
		request: q, servers: servers, id: q.req.ID + "-" + strconv.Itoa(q.sends),
		tokens: (q.profile.Prompt+q.profile.Answer+parts-1)/parts + dispatch.ReserveSlack,
	}
}

// helpers returns the helpers for the request, with the lease at each. The list includes the engine that receives the
// request, because that engine's own memory is filled first.
func (l *leases) helpers() []Helper {
	result := make([]Helper, 0, len(l.servers))
	for _, s := range l.servers {
		result = append(result, Helper{Address: s.Address, Lease: l.id})
	}
	return result
}

// duration returns how long one reservation lasts from now. The platform may limit it. It is not positive once memory that is not
// known to be used must become free.
func (l *leases) duration() time.Duration {
	duration := leaseDuration
	if limit := l.request.gateway.MaxLease; limit > 0 {
		duration = min(duration, limit)
	}
	if l.use.isConfirmed() {
		return duration
	}
	return min(duration, l.use.reservedAt.Add(unusedLimit-orderTimeout).Sub(l.request.gateway.clock.Now()))
}

// reserve reserves the memory at all engines or at none, and renews it until release.
func (l *leases) reserve() error {
	l.use = newLeaseUse(l.request.gateway.clock.Now())
	results := make([]error, len(l.servers))
	var wg sync.WaitGroup
	for i, s := range l.servers {
		wg.Go(func() {
			results[i] = l.sendOrder(l.request.ctx, s, l.request.gateway.protocol.EncodeReserve(s, l.id, l.tokens, l.duration()))
		})
	}
	wg.Wait()
	for i, err := range results {
		if err != nil {
			l.failedIDs = append(l.failedIDs, l.servers[i].ID)
		}
	}
	if err := errors.Join(results...); err != nil {
		l.release()
		return err
	}
	l.held = true
	l.request.gateway.reserving.Add(1)
	ctx, cancel := context.WithCancel(l.request.ctx)
	l.renewalCtx, l.stopRenewal = ctx, cancel
	l.renewal.Go(func() { l.renew(ctx) })
	return nil
}

// renew renews the leases until ctx is canceled.
func (l *leases) renew(ctx context.Context) {
	clock := l.request.gateway.clock
	next, used := clock.After(leaseRenewInterval), l.use.confirmed
	for {
		select {
		case <-ctx.Done():
			return
		case <-used:
			used = nil
			if clock.Since(l.use.reservedAt) < useQueryDelay {
				continue
			}
			// The latest renewal may have been shortened because the use was not known.
		case <-next:
		}
		if l.renewOnce(ctx) {
			next = clock.After(leaseRenewInterval)
		} else {
			next = clock.After(leaseRetryInterval)
		}
	}
}

// renewOnce renews the leases once and reports whether all renewals succeeded. Those of the helpers are renewed only after the engine
// that runs the request has answered, and from the time at which it was asked. If it has gone, the request has ended, which the
// gateway may notice seconds later; should the gateway end then, nobody would release what it had renewed meanwhile.
func (l *leases) renewOnce(ctx context.Context) bool {
	clock := l.request.gateway.clock
	asked, hold := clock.Now(), l.duration()
	if hold <= 0 || !l.renewAt(ctx, l.servers[0], hold) {
		return false
	}
	hold -= clock.Since(asked)
	if hold <= 0 {
		return false
	}
	var wg sync.WaitGroup
	renewed := make([]bool, len(l.servers)-1)
	for i, s := range l.servers[1:] {
		wg.Go(func() { renewed[i] = l.renewAt(ctx, s, hold) })
	}
	wg.Wait()
	return !slices.Contains(renewed, false)
}

// renewAt renews the lease at one engine and reports whether that succeeded.
func (l *leases) renewAt(ctx context.Context, s *roster.Server, hold time.Duration) bool {
	g := l.request.gateway
	err := l.sendOrder(ctx, s, g.protocol.EncodeReserve(s, l.id, l.tokens, hold))
	if err != nil && ctx.Err() == nil {
		g.metrics.count("leases-not-renewed")
		g.log.Info("lease not renewed", "request", l.request.req.ID, "backend", s.ID, "error", err.Error())
	}
	return err == nil
}

// release ends the leases. When a release order fails, the lease expires by itself.
func (l *leases) release() {
	if l.held {
		l.held = false
		l.request.gateway.reserving.Add(-1)
	}
	if l.stopRenewal != nil {
		l.stopRenewal()
		l.renewal.Wait()
	}
	var wg sync.WaitGroup
	for _, s := range l.servers {
		wg.Go(func() {
			if err := l.sendOrder(context.WithoutCancel(l.request.ctx), s, l.request.gateway.protocol.EncodeRelease(s, l.id)); err != nil {
				l.request.gateway.log.Info("lease not released", "request", l.request.req.ID, "backend", s.ID, "error", err.Error())
			}
		})
	}
	wg.Wait()
}

func (l *leases) sendOrder(ctx context.Context, s *roster.Server, r *http.Request) error {
	l.request.gateway.metrics.count("orders")
	_, err := l.ask(ctx, s, r, askOptions{limit: maxDiscarded})
	return err
}

// askOptions describes a question to an engine.
type askOptions struct {
	// limit bounds the answer in bytes.
	limit int64
	// newConnection requires a connection on which no earlier answer can be repeated.
	newConnection bool
}

// ask sends a question or an order to an engine and returns the body of the answer.
func (l *leases) ask(ctx context.Context, s *roster.Server, r *http.Request, o askOptions) ([]byte, error) {
	g := l.request.gateway
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	x, err := g.pool.Exchange(ctx, backend.ExchangeOptions{
		Address: s.Address, DialTimeout: dialTimeout, HeadTimeout: orderTimeout, IdleLimit: l.request.idleLimit, NewConnection: o.newConnection,
		// Responses to orders carry no identifier; a repeated response to a request does.
		Matches: func(resp *http.Response, _ bool) bool { return g.protocol.DecodeResponseHead(resp).ID == "" },
	}, r)
	if err != nil {
		return nil, err
	}
	if !x.Reused() {
		// On a reused connection, the response may be the repeated one of an earlier order.
		g.recordNotice(s, g.protocol.DecodeResponseHead(x.Response))
	}
	data, err := io.ReadAll(io.LimitReader(x.Response.Body, o.limit+1))
	if size := int64(len(data)); err == nil && size > o.limit {
		err = &body.Error{Op: "read answer", Kind: body.KindTooLarge, Size: size, Limit: o.limit}
	}
	if err != nil {
		x.Done(false, 0)
		return nil, err
	}
	if x.Response.StatusCode != http.StatusOK {
		x.Close()
		return nil, errors.Errorf("engine %s: status %d", s.ID, x.Response.StatusCode)
	}
	x.Done(true, 0)
	return data, nil
}
