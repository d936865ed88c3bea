package sidecar

import (
	"context"
	"time"

	"berylward.example/berylward/internal/engine"
)

const (
	// probeInterval is the interval of the load requests to the backend server. The load report lags by itself; the
	// interval bounds how long the failure of an idle engine goes unnoticed.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one attempt of a probe. A frozen engine counts as failed after two attempts. It also bounds
	// the sidecar's other short calls.
	probeTimeout = time.Second
	// probesPerList is the number of probes for each read of the engine's stream list.
	probesPerList = 4
)

// monitor polls the state of the backend server at an interval, and at once when the backend goroutine requests it. It
// runs in a goroutine of its own.
func (s *Sidecar) monitor(ctx context.Context) error {
	ticker := s.clock.NewTicker(probeInterval)
	defer ticker.Stop()
	var cache cacheEventPosition
	for n := 0; ; n++ {
		// A list that is requested during the probe is read after the next one.
		listDue := s.listNow.Swap(false) || n%probesPerList == 0
		sentAt, answered := s.probe(ctx)
		switch {
		case s.Service != "" || !listDue:
		case answered:
			s.readStreamList(ctx, sentAt)
			s.readCacheEvents(ctx, &cache)
		default:
			s.listNow.Store(true)
		}
		select {
		case <-ticker.C():
		case <-s.probeNow:
		case <-ctx.Done():
			return nil
		}
	}
}

// probe requests the load. A connection can go silent although the backend server is alive, so an attempt without an
// answer is repeated on a new one. It returns when the last attempt was sent and whether it was answered.
func (s *Sidecar) probe(ctx context.Context) (sentAt time.Time, answered bool) {
	sentAt = s.clock.Now()
	load, err := s.readLoad(ctx)
	if err != nil && !engine.NotRun(err) && ctx.Err() == nil {
		sentAt = s.clock.Now()
		load, err = s.readLoad(ctx)
	}
	s.events.Put(probeResult{load: load, sentAt: sentAt, err: err})
	return sentAt, err == nil
}

func (s *Sidecar) readLoad(ctx context.Context) (engine.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if s.Service != "" {
		return engine.Load{}, s.client.Probe(ctx)
	}
	return s.client.Load(ctx)
}

// readStreamList reads the list of streams after the engine has answered a probe that was sent at probedAt. An engine that was
// frozen answers a waiting request for the list before it takes up the streams that wait beside it, so a list that was
// requested before the engine's next answer does not show what became of them.
func (s *Sidecar) readStreamList(ctx context.Context, probedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	list, err := s.client.Streams(ctx)
	if err != nil {
		return
	}
	s.events.Put(streamsListed{list: list, probedAt: probedAt})
}

// requestStreamList makes the monitor read the engine's stream list at once.
func (s *Sidecar) requestStreamList() {
	s.listNow.Store(true)
	s.requestProbe()
}

// requestProbe makes the monitor probe the backend server at once.
func (s *Sidecar) requestProbe() {
	select {
	case s.probeNow <- struct{}{}:
	default:
	}
}

// callEngine runs a call to the engine in its own goroutine, because the backend goroutine must not wait for the
// engine.
func (s *Sidecar) callEngine(name string, call func(context.Context, *engine.Client) error) {
	s.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(s.tomb.Context(context.Background()), probeTimeout)
		defer cancel()
		if err := call(ctx, s.client); err != nil {
			s.metrics.Add("order-errors", 1)
			s.log.V(1).Info("engine call failed", "call", name, "error", err.Error())
		}
		return nil
	})
}
