package load

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/entry"
	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/prompt"
	"berylward.example/berylward/internal/sidecar"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/pkg/site"
)

const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 20 * time.Second
	// modelName, workspaceName and workspaceKey belong to the example declarations that the fleets use.
	modelName     = "office-8b"
	workspaceName = "schedules"
	workspaceKey  = "cuenca-schedules-key"
	// unlimitedRate is a rate limit that no run reaches, so that runs measure the fleet's policies and not the limit.
	unlimitedRate = 1_000_000_000
)

// engineCosts are the costs of a stand-in engine at speed 1: 28,700 prefilled tokens/s in full chunks.
var engineCosts = standin.Costs{
	Step: 10 * time.Millisecond, PrefillToken: 25 * time.Microsecond, DecodeToken: 200 * time.Microsecond, Chunk: 1024,
}

// FleetSettings holds the settings of the fleets that measurements start.
type FleetSettings struct {
	// Declarations returns a new copy of the declarations, which each fleet modifies.
	Declarations func() (*site.Declarations, error)
	Entries      int
	// Engines is the number of engines in each zone.
	Engines, Zones int
	// Speed divides all times of the engines. Scale multiplies prompt lengths and memory and divides the cost of a
	// prompt token, so that it reduces the work of the load generator without changing any time.
	Speed, Scale float64
	OutputTokens int64
	// ColdStart starts the warm-up windows at their declared size. Otherwise they start at full size, because the
	// stand-in engines start warm.
	ColdStart bool
	// KeepServices keeps the declared plain services.
	KeepServices bool
}

func (f FleetSettings) engineCount() int { return f.Engines * f.Zones }

func (f FleetSettings) scaledTokens(n int64) int64 { return max(int64(float64(n)*f.Scale), 1) }

func (f FleetSettings) costs() standin.Costs {
	c := engineCosts
	divide := func(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) / factor) }
	return standin.Costs{
		Step: divide(c.Step, f.Speed), PrefillToken: divide(c.PrefillToken, f.Speed*f.Scale),
		DecodeToken: divide(c.DecodeToken, f.Speed), Chunk: f.scaledTokens(c.Chunk),
	}
}

func (f FleetSettings) engineOptions() []standin.Option {
	return []standin.Option{
		standin.WithCosts(f.costs()), standin.WithCacheCapacity(f.scaledTokens(200_000)), standin.WithWarmUp(3, 4, f.scaledTokens(20_000)),
	}
}

// Rate returns the requests per second that use the share load of the engines' time, for prefill in full chunks and for
// decoding.
func (f FleetSettings) Rate(mix Mix, load float64) float64 {
	c := engineCosts
	chunk := c.Step + time.Duration(c.Chunk)*c.PrefillToken
	perRequest := mix.Mean()/float64(c.Chunk)*chunk.Seconds() + float64(f.OutputTokens)*c.DecodeToken.Seconds()
	return load * float64(f.engineCount()) * f.Speed / perRequest
}

// Timeout returns ten times what a request needs when it runs alone on an engine with the declared rates, and at least
// 5 s, divided by the speed.
func (f FleetSettings) Timeout(tokens int64) time.Duration {
	seconds := float64(tokens)/20_000 + float64(f.OutputTokens)/30
	return time.Duration(max(10*seconds, 5) / f.Speed * float64(time.Second))
}

// fleetDeclarations returns declarations with one model whose rates match the engines, and without rate limits.
func (f FleetSettings) fleetDeclarations() (*site.Declarations, error) {
	d, err := f.Declarations()
	if err != nil {
		return nil, err
	}
	m, ok := d.Models[modelName]
	if !ok {
		return nil, errors.Errorf("load: the declarations have no model %q", modelName)
	}
	m.MemoryTokens = f.scaledTokens(m.MemoryTokens)
	m.PrefillTokensPerSecond = int64(28_000 * f.Speed * f.Scale)
	m.DecodeTokensPerSecond = int64(float64(m.DecodeTokensPerSecond) * f.Speed)
	m.BytesPerToken = bytesPerToken
	d.Models = map[string]site.Model{modelName: m}
	d.Classes.ShortTokens, d.Classes.MediumTokens = f.scaledTokens(d.Classes.ShortTokens), f.scaledTokens(d.Classes.MediumTokens)
	if f.ColdStart {
		d.WarmUp.InitialTokens = f.scaledTokens(d.WarmUp.InitialTokens)
	} else {
		d.WarmUp.InitialTokens, d.WarmUp.InitialRequests = m.MemoryTokens, d.WarmUp.MaxRequests
	}
	if !f.KeepServices {
		d.Services = nil
	}
	for name, w := range d.Workspaces {
		unlimited := *w
		unlimited.TokensPerSecond, unlimited.Burst, unlimited.Models = unlimitedRate, unlimitedRate, []string{modelName}
		if !f.KeepServices {
			unlimited.Services = nil
		}
		d.Workspaces[name] = &unlimited
	}
	return d, nil
}

// start starts a fleet and returns it with a driver for its entries.
func (f FleetSettings) start(ctx context.Context, p Policy, opts ...demo.Option) (*demo.Fleet, *driver, error) {
	d, err := f.fleetDeclarations()
	if err != nil {
		return nil, nil, err
	}
	schedulerOptions := []prompt.Option{
		prompt.WithPrefillAhead(time.Duration(float64(500*time.Millisecond) / f.Speed)),
		prompt.WithSuspend(time.Duration(float64(2*time.Second) / f.Speed)),
	}
	if p.SingleClass {
		schedulerOptions = append(schedulerOptions, prompt.WithSingleQueue())
	}
	opts = append([]demo.Option{
		demo.WithFreePorts(), demo.WithEntries(f.Entries), demo.WithEngines(f.Engines, f.Zones),
		demo.WithEngineOptions(f.engineOptions()...),
		demo.WithEntryOptions(entry.WithPolicy(p.Routing), entry.WithStopDelay(0)),
		demo.WithSidecarOptions(sidecar.WithSchedulerOptions(schedulerOptions...)),
	}, opts...)
	demoFleet, err := demo.Start(d, opts...)
	if err != nil {
		return nil, nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	drv, err := newDriver(demoFleet.EntryAddresses)
	if err == nil {
		err = demoFleet.Ready(readyCtx)
	}
	if err != nil {
		return nil, nil, errors.Join(err, stop(demoFleet))
	}
	drv.Key, drv.Model, drv.OutputTokens, drv.Scale = workspaceKey, modelName, f.OutputTokens, f.Scale
	drv.Timeout = f.Timeout
	return demoFleet, drv, nil
}

// withFleet starts a fleet, runs fn with it and stops the fleet.
func (f FleetSettings) withFleet(ctx context.Context, p Policy, fn func(*demo.Fleet, *driver) error, opts ...demo.Option) error {
	demoFleet, drv, err := f.start(ctx, p, opts...)
	if err != nil {
		return err
	}
	err = fn(demoFleet, drv)
	drv.Close()
	return errors.Join(err, stop(demoFleet))
}

func stop(f *demo.Fleet) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return f.Stop(ctx)
}

// Policy combines a routing policy at the entry with a queueing policy at the sidecar.
type Policy struct {
	Name    string
	Routing fleet.Policy
	// SingleClass replaces the length classes at the sidecar by one queue in order of arrival.
	SingleClass bool
}

// DefaultPolicy is what berylward uses when no policy is set.
var DefaultPolicy = Policy{Name: "default", Routing: fleet.Affinity{}}

// shortOnlyPolicy is used to measure short requests without longer ones. It spreads them over all engines and does not
// depend on DefaultPolicy, so that slowdowns of different versions are comparable.
var shortOnlyPolicy = Policy{Name: "round-robin", Routing: fleet.RoundRobin{}}

// Baselines are the policies that the default is compared with.
var Baselines = []Policy{
	{Name: "random", Routing: fleet.Random{}},
	{Name: "round-robin", Routing: fleet.RoundRobin{}},
	{Name: "least-requests", Routing: fleet.LeastRequests{}},
	{Name: "single-queue", Routing: fleet.SingleQueue{Depth: 8}},
	{Name: "single-desk", Routing: fleet.LeastRequests{}, SingleClass: true},
}
