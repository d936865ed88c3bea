package load

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/pkg/answer"
)

// OverheadReport compares the time to first token over the whole request path with that of direct calls. Both are
// called in turn. The direct calls go to a separate engine with the same costs, because a sidecar cancels streams on
// its engine that it does not know.
type OverheadReport struct {
	Runs []OverheadRun `json:"runs"`
}

// OverheadRun is the result for one prompt length.
type OverheadRun struct {
	Tokens int64     `json:"tokens"`
	Direct Quantiles `json:"direct-ms"`
	Path   Quantiles `json:"path-ms"`
	// Ratio is the median time over the path divided by the median of direct calls, one value for each seed.
	Ratio Spread `json:"ratio"`
}

func (o Options) overhead(ctx context.Context, m Overhead) (Report, error) {
	report := &OverheadReport{}
	f := o.Fleet
	f.Engines, f.Zones, f.Entries = 1, 1, 1
	for _, l := range o.Mix {
		direct, path := newHistogram(), newHistogram()
		var ratios []float64
		for _, seed := range o.Seeds {
			directEngine, err := standin.StartEngine(f.engineOptions()...)
			if err != nil {
				return nil, err
			}
			client := engine.New(directEngine.Addr())
			err = f.withFleet(ctx, DefaultPolicy, func(_ *demo.Fleet, d *driver) error {
				seedDirect, seedPath := newHistogram(), newHistogram()
				for i := range m.Pairs {
					a := Arrival{Tokens: l.Tokens, Number: seed<<32 + uint64(2*i) + 1}
					firstToken, err := directFirstToken(ctx, client, d, a)
					if err != nil {
						return err
					}
					direct.AddTime(firstToken)
					seedDirect.AddTime(firstToken)
					a.Number++
					r := d.send(ctx, a, d.clock.Now())
					if _, ok := r.Outcome.(answer.Done); !ok {
						return fmt.Errorf("load: a request over the path ended with %#v", r.Outcome)
					}
					path.AddTime(r.FirstToken)
					seedPath.AddTime(r.FirstToken)
				}
				ratios = append(ratios, ratio(seedPath.Quantiles().P50, seedDirect.Quantiles().P50))
				return nil
			})
			client.Close()
			err = errors.Join(err, directEngine.Stop())
			if err != nil {
				return nil, err
			}
		}
		run := OverheadRun{Tokens: l.Tokens, Direct: direct.Quantiles(), Path: path.Quantiles(), Ratio: newSpread(ratios...)}
		report.Runs = append(report.Runs, run)
		o.Progress(fmt.Sprintf("%s tokens: direct p50 %.2f ms, path p50 %.2f ms, ratio %s", l.Name, run.Direct.P50, run.Path.P50, run.Ratio))
	}
	return report, nil
}

// directFirstToken calls an engine directly, waits for the end of the stream and returns the time to its first token.
func directFirstToken(ctx context.Context, client *engine.Client, d *driver, a Arrival) (time.Duration, error) {
	var first time.Duration
	body := engine.Stream{ID: fmt.Sprintf("direct-%d", a.Number), Model: "model", Prompt: promptText(a, d.Scale), MaxTokens: d.OutputTokens}
	start := d.clock.Now()
	_, err := client.RunStream(ctx, body, func(engine.Piece) error {
		if first == 0 {
			first = d.clock.Now().Sub(start)
		}
		return nil
	})
	return first, err
}
