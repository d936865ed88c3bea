package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/entry"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/sidecar"
	"berylward.example/berylward/internal/standin"
)

// Failure is a way in which one engine stops serving. It is a sealed interface: EngineCrash, SidecarKill and SilentLink
// are its only implementations.
//
//sumtype:decl
type Failure interface{ failure() }

type (
	// EngineCrash crashes the engine. Without Reported its sidecar does not report the crash.
	EngineCrash struct{ Reported bool }
	// SidecarKill kills the sidecar.
	SidecarKill struct{}
	// SilentLink stops all data on the open links to the sidecar without closing them, while new links work.
	SilentLink struct{}
)

func (EngineCrash) failure() {}
func (SidecarKill) failure() {}
func (SilentLink) failure()  {}

// Recovery holds the recovery times of one kind of failure: the time from the failure until a request that was running
// on the failed engine continues on another engine or, after a silent link, continues at all.
type Recovery struct {
	Failure string `json:"failure"`
	// Times are in milliseconds, one for each round that recovered. Unrecovered counts the rounds without recovery
	// before the deadline.
	Times       []float64 `json:"ms"`
	Unrecovered int       `json:"stuck"`
	Spread      Spread    `json:"spread-ms"`
}

// FailuresReport holds the recovery times of each kind of failure.
type FailuresReport struct {
	Deadline   time.Duration `json:"deadline"`
	Recoveries []Recovery    `json:"recoveries"`
}

const (
	// failureStreams is the number of streams in each round.
	failureStreams = 16
	// failureDeadline limits a stream. A round in which no request has continued by then counts as unrecovered.
	failureDeadline = 30 * time.Second
	// failureTokens is the length of an answer at speed 1: 6 s on an idle engine. At the declared decode rate, on which
	// the sidecar bases admission, it also fits the deadline.
	failureTokens = 600
	// streamWarmUp is how long the streams run before the failure, so that all of them are generating.
	streamWarmUp = 1500 * time.Millisecond
	// stallThreshold distinguishes a stream that the failure stopped from one that is between two tokens.
	stallThreshold = 200 * time.Millisecond
)

func (o Options) failures(ctx context.Context, m Failures) (Report, error) {
	report := &FailuresReport{Deadline: failureDeadline}
	kinds := []struct {
		name    string
		failure Failure
	}{
		{"engine crash, reported by its sidecar", EngineCrash{Reported: true}},
		{"engine crash, found by timeouts only", EngineCrash{}},
		{"sidecar killed", SidecarKill{}},
		{"silent link", SilentLink{}},
	}
	for _, k := range kinds {
		r := Recovery{Failure: k.name}
		for range m.Rounds {
			recoveryTime, err := o.recoveryTime(ctx, k.failure)
			if err != nil {
				return nil, err
			}
			if recoveryTime == 0 {
				r.Unrecovered++
			} else {
				r.Times = append(r.Times, recoveryTime.Seconds()*1000)
			}
		}
		r.Spread = newSpread(r.Times...)
		report.Recoveries = append(report.Recoveries, r)
		o.Progress(fmt.Sprintf("%s: %s ms, stuck %d of %d", k.name, r.Spread, r.Unrecovered, m.Rounds))
	}
	return report, nil
}

// recoveryTime starts long streams, injects the failure at the engine that runs most of them, and returns the time to
// recovery, or zero when there was none before the deadline.
func (o Options) recoveryTime(ctx context.Context, failure Failure) (time.Duration, error) {
	var dialer faultyDialer
	var opts []demo.Option
	switch crash := failure.(type) {
	case EngineCrash:
		if !crash.Reported {
			opts = append(opts, demo.WithSidecarOptions(sidecar.WithoutFailureReports()))
		}
	case SidecarKill:
	case SilentLink:
		client := &http.Client{Transport: &http.Transport{DialContext: dialer.dial}}
		opts = append(opts, demo.WithEntryOptions(entry.WithLinkOptions(link.WithHTTPClient(client))))
	}
	var recoveryTime time.Duration
	settings := o.Fleet
	settings.OutputTokens = int64(failureTokens * settings.Speed)
	err := settings.withFleet(ctx, DefaultPolicy, func(fleet *demo.Fleet, d *driver) error {
		ctx, cancel := context.WithCancel(ctx)
		var pending sync.WaitGroup
		defer pending.Wait()
		defer cancel()
		d.Timeout = func(int64) time.Duration { return failureDeadline }
		watch := watchStreams(ctx, d, &pending)
		select {
		case <-d.clock.After(streamWarmUp):
		case <-ctx.Done():
			return ctx.Err()
		}
		victim := busiestEngine(fleet)
		if victim == "" {
			return errors.New("load: no engine runs a stream")
		}
		streamsBefore, start := streamsElsewhere(fleet, victim), d.clock.Now()
		recovered := func() bool { return streamsElsewhere(fleet, victim) > streamsBefore }
		if _, ok := failure.(SilentLink); ok {
			recovered = func() bool { return watch.resumed(start) }
		}
		if err := inject(failure, fleet, victim, &dialer, &pending); err != nil {
			return err
		}
		for d.clock.Now().Sub(start) < failureDeadline-streamWarmUp && ctx.Err() == nil {
			if recovered() {
				recoveryTime = d.clock.Now().Sub(start)
				return nil
			}
			<-d.clock.After(time.Millisecond)
		}
		return ctx.Err()
	}, opts...)
	return recoveryTime, err
}

// inject injects the failure at the victim. Goroutines that outlast the call are added to pending.
func inject(failure Failure, fleet *demo.Fleet, victim string, dialer *faultyDialer, pending *sync.WaitGroup) error {
	switch failure.(type) {
	case EngineCrash:
		return fleet.Engines[victim].Inject(standin.Crash{})
	case SidecarKill:
		// Kill returns when all goroutines of the sidecar have ended, which is later than the failure.
		pending.Go(fleet.Sidecars[victim].Kill)
		delete(fleet.Sidecars, victim)
	case SilentLink:
		for _, i := range fleet.Instances() {
			if i.Name == victim {
				dialer.silence(i.Address)
			}
		}
	}
	return nil
}

// busiestEngine returns the name of the engine that runs the most streams, or an empty string when none runs any.
func busiestEngine(f *demo.Fleet) string {
	name, most := "", 0
	for engineName, e := range f.Engines {
		if load := e.Load(); load.Running > most {
			name, most = engineName, load.Running
		}
	}
	return name
}

// streamsElsewhere returns the number of running and waiting streams on all engines but the victim.
func streamsElsewhere(f *demo.Fleet, victim string) int {
	n := 0
	for name, e := range f.Engines {
		if load := e.Load(); name != victim {
			n += load.Running + load.Waiting
		}
	}
	return n
}

// streamWatch holds, for each stream, the time of the last event, the length of the last stall and the time at which it
// ended, all in nanoseconds.
type streamWatch struct{ lastEvent, stallLength, resumedAt [failureStreams]atomic.Int64 }

func watchStreams(ctx context.Context, d *driver, pending *sync.WaitGroup) *streamWatch {
	watch := &streamWatch{}
	for i := range failureStreams {
		pending.Go(func() {
			now := d.clock.Now()
			r := Result{Arrival: Arrival{Tokens: 1000, Number: uint64(i) + 1}, Deadline: failureDeadline}
			d.followStream(ctx, &r, now, func(at time.Time) {
				if last := watch.lastEvent[i].Swap(at.UnixNano()); last > 0 && at.UnixNano()-last > int64(stallThreshold) {
					watch.stallLength[i].Store(at.UnixNano() - last)
					watch.resumedAt[i].Store(at.UnixNano())
				}
			})
		})
	}
	return watch
}

// resumed reports whether a stream continued after start from a stall that began at most stallThreshold after start.
func (w *streamWatch) resumed(start time.Time) bool {
	for i := range w.stallLength {
		if resumedAt := w.resumedAt[i].Load(); resumedAt > start.UnixNano() && resumedAt-w.stallLength[i].Load() <= start.Add(stallThreshold).UnixNano() {
			return true
		}
	}
	return false
}

// faultyDialer dials connections that can be made silent: writes are discarded and reads block until the connection is
// closed. Connections that are dialled later work.
type faultyDialer struct {
	mu    sync.Mutex
	conns []*faultyConn
}

func (d *faultyDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &faultyConn{Conn: conn, closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, c)
	return c, nil
}

func (d *faultyDialer) silence(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		if c.RemoteAddr().String() == address.String() {
			c.silent.Store(true)
		}
	}
}

type faultyConn struct {
	net.Conn
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
