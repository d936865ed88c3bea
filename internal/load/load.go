// Package load contains an open-loop load generator and measures the policies over the whole request path. Arrivals are
// drawn from a seed, latency is measured from the time when a request was due, and a slow answer never delays the next
// arrival. Loads stay on loopback and are limited in count and time. Each call owns the driver and fleet that it starts
// and stops them before it returns; no state is kept between measurements. Times are read from the wall clock, because
// real processes are measured.
package load

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/demo"
)

// Options are the settings of a measurement.
type Options struct {
	Fleet FleetSettings
	Mix   Mix
	Seeds []uint64
	// Loads are the offered loads as shares of the engines' time. Policies runs at each of them, Cache and ZoneChange
	// only at the first.
	Loads []float64
	// Duration is how long requests arrive in each run.
	Duration time.Duration
	// Documents is the number of shared documents in the cache measurement.
	Documents int
	// Progress is called with a line for each run.
	Progress func(line string)
}

// maxDuration limits Options.Duration.
const maxDuration = 10 * time.Minute

// Check returns an error that names an invalid option.
func (o Options) Check() error {
	switch {
	case len(o.Seeds) == 0:
		return errors.New("load: no seed given")
	case len(o.Loads) == 0:
		return errors.New("load: no offered load given")
	case o.Duration <= 0 || o.Duration > maxDuration:
		return errors.Errorf("load: length %s; want up to %s", o.Duration, maxDuration)
	case o.Fleet.Speed <= 0 || o.Fleet.Scale <= 0 || o.Fleet.Scale > 1:
		return errors.New("load: speed must be above 0 and scale above 0 and up to 1")
	case o.Fleet.engineCount() < 1 || o.Fleet.engineCount() > 32 || o.Fleet.Entries < 1 || o.Fleet.Entries > 8:
		return errors.New("load: want 1 to 32 engines and 1 to 8 entries")
	}
	for _, l := range o.Loads {
		if l <= 0 || l > 2 {
			return errors.Errorf("load: load %g; want a share above 0 and up to 2", l)
		}
	}
	return nil
}

// shortLimit returns the length of the longest short prompt, before scaling.
func (o Options) shortLimit() (int64, error) {
	d, err := o.Fleet.Declarations()
	if err != nil {
		return 0, err
	}
	return d.Classes.ShortTokens, nil
}

// Measurement selects a measurement. It is a sealed interface: Policies, Cache, ZoneChange, Failures and Overhead are
// its only implementations.
//
//sumtype:decl
type Measurement interface{ measurement() }

type (
	// Policies compares the policies in Compared, such as DefaultPolicy and Baselines, by time to first token,
	// slowdown, throughput and goodput.
	Policies struct{ Compared []Policy }
	// Cache compares the cache hit shares of the policies in Compared with each other and with a cache of unlimited
	// size, for repeated prompts.
	Cache struct{ Compared []Policy }
	// ZoneChange measures the service while a zone is taken out of service and returned to it.
	ZoneChange struct{}
	// Failures measures the time from a failure to the first rerouted request.
	Failures struct{ Rounds int }
	// Overhead measures the time to first token that the request path adds over a direct call.
	Overhead struct{ Pairs int }
)

func (Policies) measurement()   {}
func (Cache) measurement()      {}
func (ZoneChange) measurement() {}
func (Failures) measurement()   {}
func (Overhead) measurement()   {}

// Run runs a measurement.
func Run(ctx context.Context, m Measurement, o Options) (Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	switch m := m.(type) {
	case Policies:
		return o.policies(ctx, m)
	case Cache:
		return o.cache(ctx, m)
	case ZoneChange:
		return o.zone(ctx)
	case Failures:
		return o.failures(ctx, m)
	case Overhead:
		return o.overhead(ctx, m)
	}
	return nil, errors.New("load: no measurement selected")
}

// run sends the arrivals to a new fleet.
func (o Options) run(ctx context.Context, p Policy, arrivals []Arrival) ([]Result, error) {
	var results []Result
	err := o.Fleet.withFleet(ctx, p, func(_ *demo.Fleet, d *driver) error {
		results = d.Run(ctx, arrivals)
		return ctx.Err()
	})
	return results, err
}
