package gateway

import (
	"context"
	"io"
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
	// leaseHold is how long reserved memory is kept without a renewal, so that a gateway that ends leaves none behind.
	leaseHold = 3500 * time.Millisecond
	// leaseRenew is the pause between renewals.
	leaseRenew = 1200 * time.Millisecond
	// orderTimeout bounds an order, which engines answer in milliseconds.
	orderTimeout = 400 * time.Millisecond
)

// leases is the memory of one prompt that is reserved at several engines.
type leases struct {
	q       *request
	servers []*roster.Server
	name    string
	tokens  int64
	full    []string // IDs of engines that did not have the memory
	stop    context.CancelFunc
	done    sync.WaitGroup
}

func newLeases(q *request, servers []*roster.Server) *leases {
	parts := int64(len(servers))
	return &leases{
		q: q, servers: servers, name: q.call.ID + "-" + strconv.Itoa(q.sends),
		tokens: (q.work.Prompt+q.work.Answer+parts-1)/parts + dispatch.ReserveSlack,
	}
}

// helpers lists the engine that gets the request first, because its own memory is filled first.
func (l *leases) helpers() []Helper {
	list := make([]Helper, 0, len(l.servers))
	for _, s := range l.servers {
		list = append(list, Helper{Address: s.Address, Lease: l.name})
	}
	return list
}

// hold returns how long one reservation lasts, which the platform may bound.
func (l *leases) hold() time.Duration {
	if most := l.q.g.LeaseMax; most > 0 {
		return min(leaseHold, most)
	}
	return leaseHold
}

// reserve reserves the memory at all engines, or at none, and keeps it until release.
func (l *leases) reserve() error {
	results := make([]error, len(l.servers))
	var wg sync.WaitGroup
	for i, s := range l.servers {
		wg.Go(func() { results[i] = l.order(l.q.ctx, s, l.q.g.protocol.Reserve(s, l.name, l.tokens, l.hold())) })
	}
	wg.Wait()
	for i, err := range results {
		if err != nil {
			l.full = append(l.full, l.servers[i].ID)
		}
	}
	if err := errors.Join(results...); err != nil {
		l.release()
		return err
	}
	ctx, cancel := context.WithCancel(l.q.ctx)
	l.stop = cancel
	l.done.Go(func() { l.renew(ctx) })
	return nil
}

// renew keeps the leases until ctx ends.
func (l *leases) renew(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.q.g.clock.After(leaseRenew):
		}
		for _, s := range l.servers {
			if err := l.order(ctx, s, l.q.g.protocol.Reserve(s, l.name, l.tokens, l.hold())); err != nil && ctx.Err() == nil {
				l.q.g.log.Info("lease not renewed", "request", l.q.call.ID, "backend", s.ID, "error", err.Error())
			}
		}
	}
}

// release ends the leases. An order that fails is left to the end of its lease.
func (l *leases) release() {
	if l.stop != nil {
		l.stop()
		l.done.Wait()
	}
	var wg sync.WaitGroup
	for _, s := range l.servers {
		wg.Go(func() {
			if err := l.order(context.WithoutCancel(l.q.ctx), s, l.q.g.protocol.Release(s, l.name)); err != nil {
				l.q.g.log.Info("lease not released", "request", l.q.call.ID, "backend", s.ID, "error", err.Error())
			}
		})
	}
	wg.Wait()
}

func (l *leases) order(ctx context.Context, s *roster.Server, r *http.Request) error {
	l.q.g.metrics.count("orders")
	x, err := l.q.g.pool.Exchange(ctx, backend.Plan{
		Address: s.Address, DialTimeout: dialTimeout, HeadTimeout: orderTimeout, Idle: l.q.idle,
	}, r)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, x.Response.Body); err != nil {
		x.Done(false, 0)
		return err
	}
	x.Done(true, 0)
	if x.Response.StatusCode != http.StatusOK {
		return errors.Errorf("engine %s: status %d", s.ID, x.Response.StatusCode)
	}
	return nil
}
