package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/backend"
)

const (
	// unusedLimit is the time for which the platform lets memory be reserved before a request uses it.
	unusedLimit = 9 * time.Second
	// useQueryDelay is the time without an event after which the engine is first asked whether it uses the memory. Most prompts have
	// their first event before, and a question costs the engine time.
	useQueryDelay = 5 * time.Second
	// useQueryInterval is the pause between the starts of two questions.
	useQueryInterval = time.Second
	// useQueries is the number of questions. The last one, 8 s after the reservation, its answer and the orders to release, each of which
	// takes at most orderTimeout, end before unusedLimit.
	useQueries = 4
	// maxReport bounds the answer in bytes.
	maxReport = 256 << 10
)

// errMemoryUnused is the cause for which an attempt is given up whose engine has not begun to use the memory reserved for it.
var errMemoryUnused = errors.New("reserved memory not used in time")

// leaseUse is what is known of the use of reserved memory. Its methods are safe for concurrent use.
type leaseUse struct {
	reservedAt time.Time
	// confirmed is closed once the memory is known to be used.
	confirmed chan struct{}
	confirm   func()
}

func newLeaseUse(reservedAt time.Time) leaseUse {
	confirmed := make(chan struct{})
	return leaseUse{reservedAt: reservedAt, confirmed: confirmed, confirm: sync.OnceFunc(func() { close(confirmed) })}
}

func (u *leaseUse) isConfirmed() bool {
	select {
	case <-u.confirmed:
		return true
	default:
		return false
	}
}

// watchUse calls giveUp with errMemoryUnused, in another goroutine, if the memory is not known to be used in time. It returns at once;
// release ends the goroutine.
func (l *leases) watchUse(giveUp context.CancelCauseFunc) {
	l.renewal.Go(func() {
		if l.awaitUse(l.renewalCtx) {
			return
		}
		g := l.request.gateway
		g.metrics.count("leases-not-used")
		g.log.Info("reserved memory not used", "request", l.request.req.ID, "backend", l.servers[0].ID,
			"reserved-ms", g.clock.Since(l.use.reservedAt).Milliseconds())
		giveUp(errMemoryUnused)
	})
}

// awaitUse waits until the memory is known to be used or ctx is canceled. It returns false if the memory is not used in time.
func (l *leases) awaitUse(ctx context.Context) bool {
	clock := l.request.gateway.clock
	for n := range useQueries {
		at := l.use.reservedAt.Add(useQueryDelay + time.Duration(n)*useQueryInterval)
		select {
		case <-ctx.Done():
			return true
		case <-l.use.confirmed:
			return true
		case <-clock.After(at.Sub(clock.Now())):
		}
		if l.queryUse(ctx) {
			l.use.confirm()
		}
	}
	return l.use.isConfirmed() || ctx.Err() != nil
}

// queryUse asks the engine that runs the request whether the memory is used. No answer counts as unused.
func (l *leases) queryUse(ctx context.Context) bool {
	s, protocol := l.servers[0], l.request.gateway.protocol
	data, err := l.ask(ctx, s, protocol.EncodeReservationQuery(s), askOptions{limit: maxReport, newConnection: true})
	if err != nil {
		return false
	}
	reservations, err := protocol.DecodeReservations(data)
	return err == nil && slices.Contains(reservations, Reservation{Lease: l.id, Used: true})
}

// unusedOr returns the failure of an attempt that was given up because its memory was not used, or else err. The engine has accepted
// the request, so it may still run it.
func unusedOr(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errMemoryUnused) {
		return &backend.Error{Op: "await use", Kind: backend.KindTimeout, Err: errMemoryUnused}
	}
	return err
}
