package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
)

const (
	// leaseDuration is how long memory stays reserved without a renewal, so that the reservations of a terminated
	// gateway expire.
	leaseDuration = 3500 * time.Millisecond
	// leaseRenewInterval is the pause between renewals.
	leaseRenewInterval = 1200 * time.Millisecond
	// orderTimeout bounds an order to an engine. Engines answer orders in milliseconds.
	orderTimeout = 400 * time.Millisecond
)

// leases is the memory reserved at several engines for one prompt.
type leases struct {
	request     *request
	servers     []*roster.Server
	id          string
	tokens      int64
	failedIDs   []string // IDs of engines where the reservation failed
	stopRenewal context.CancelFunc
	renewal     sync.WaitGroup
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

// duration returns how long one reservation lasts. The platform may limit it.
func (l *leases) duration() time.Duration {
	if limit := l.request.gateway.MaxLease; limit > 0 {
		return min(leaseDuration, limit)
	}
	return leaseDuration
}

// reserve reserves the memory at all engines or at none, and renews it until release.
func (l *leases) reserve() error {
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
	ctx, cancel := context.WithCancel(l.request.ctx)
	l.stopRenewal = cancel
	l.renewal.Go(func() { l.renew(ctx) })
	return nil
}

// renew renews the leases until ctx is canceled.
func (l *leases) renew(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.request.gateway.clock.After(leaseRenewInterval):
		}
		for _, s := range l.servers {
			if err := l.sendOrder(ctx, s, l.request.gateway.protocol.EncodeReserve(s, l.id, l.tokens, l.duration())); err != nil && ctx.Err() == nil {
				l.request.gateway.log.Info("lease not renewed", "request", l.request.req.ID, "backend", s.ID, "error", err.Error())
			}
		}
	}
}

// release ends the leases. When a release order fails, the lease expires by itself.
func (l *leases) release() {
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
	g := l.request.gateway
	g.metrics.count("orders")
	x, err := g.pool.Exchange(ctx, backend.ExchangeOptions{
		Address: s.Address, DialTimeout: dialTimeout, HeadTimeout: orderTimeout, IdleLimit: l.request.idleLimit,
		// Responses to orders carry no identifier; a repeated response to a request does.
		Matches: func(resp *http.Response, _ bool) bool { return g.protocol.DecodeResponseHead(resp).ID == "" },
	}, r)
	if err != nil {
		return err
	}
	if !x.Reused() {
		// On a reused connection, the response may be the repeated one of an earlier order.
		g.recordNotice(s, g.protocol.DecodeResponseHead(x.Response))
	}
	if err := discardBody(x); err != nil {
		x.Done(false, 0)
		return err
	}
	if x.Response.StatusCode != http.StatusOK {
		x.Close()
		return errors.Errorf("engine %s: status %d", s.ID, x.Response.StatusCode)
	}
	x.Done(true, 0)
	return nil
}
