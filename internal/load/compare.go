package load

import (
	"context"
	"fmt"
	"slices"
)

// PolicyRun is the result of one policy at one load with one seed.
type PolicyRun struct {
	Policy   string   `json:"policy"`
	Load     float64  `json:"load"`
	Seed     uint64   `json:"seed"`
	Summary  Summary  `json:"summary"`
	Slowdown Slowdown `json:"slowdown"`
}

// PoliciesReport compares policies on identical arrivals.
type PoliciesReport struct {
	Runs []PolicyRun `json:"runs"`
	// ShortOnly are runs of the short requests without the longer ones, under shortOnlyPolicy. They are the reference
	// for slowdowns.
	ShortOnly []PolicyRun `json:"alone"`
}

func (o Options) policies(ctx context.Context, measure Policies) (Report, error) {
	shortLimit, err := o.shortLimit()
	if err != nil {
		return nil, err
	}
	report := &PoliciesReport{}
	for _, load := range o.Loads {
		for _, seed := range o.Seeds {
			arrivals := generateArrivals(seed, o.Mix, o.Fleet.Rate(o.Mix, load), o.Duration)
			shortArrivals := slices.DeleteFunc(slices.Clone(arrivals), func(a Arrival) bool { return a.Tokens > shortLimit })
			results, err := o.run(ctx, shortOnlyPolicy, shortArrivals)
			if err != nil {
				return nil, err
			}
			shortOnly := summarize(results, o.Duration, shortLimit)
			report.ShortOnly = append(report.ShortOnly, PolicyRun{
				Policy: shortOnlyPolicy.Name, Load: load, Seed: seed, Summary: shortOnly, Slowdown: newSlowdown(results, shortOnly, shortLimit),
			})
			for _, p := range measure.Compared {
				if results, err = o.run(ctx, p, arrivals); err != nil {
					return nil, err
				}
				run := PolicyRun{
					Policy: p.Name, Load: load, Seed: seed, Summary: summarize(results, o.Duration, shortLimit),
					Slowdown: newSlowdown(results, shortOnly, shortLimit),
				}
				report.Runs = append(report.Runs, run)
				o.Progress(fmt.Sprintf("load %.2f seed %d %-14s sent %d done %d missed %d refused %d, slowdown p99 first %.2f total %.2f, long %.0f/s",
					load, seed, p.Name, run.Summary.Sent, run.Summary.Done, run.Summary.Missed, run.Summary.Refused,
					run.Slowdown.FirstToken.P99, run.Slowdown.Total.P99, run.Summary.LongThroughput))
			}
		}
	}
	return report, nil
}

// CacheRun is the result of one policy with one seed.
type CacheRun struct {
	Policy  string  `json:"policy"`
	Seed    uint64  `json:"seed"`
	Oracle  float64 `json:"oracle"`
	Summary Summary `json:"summary"`
}

// CacheReport compares hit shares with those of an unlimited cache that all engines share.
type CacheReport struct {
	Runs []CacheRun `json:"runs"`
}

func (o Options) cache(ctx context.Context, measure Cache) (Report, error) {
	report := &CacheReport{}
	for _, seed := range o.Seeds {
		arrivals := assignDocuments(seed, generateArrivals(seed, o.Mix, o.Fleet.Rate(o.Mix, o.Loads[0]), o.Duration), o.Documents)
		for _, p := range measure.Compared {
			results, err := o.run(ctx, p, arrivals)
			if err != nil {
				return nil, err
			}
			run := CacheRun{Policy: p.Name, Seed: seed, Oracle: oracleHitShare(arrivals), Summary: summarize(results, o.Duration, 0)}
			report.Runs = append(report.Runs, run)
			o.Progress(fmt.Sprintf("seed %d %-14s hit share %.3f, oracle %.3f, done %d of %d",
				seed, p.Name, run.Summary.HitShare, run.Oracle, run.Summary.Done, run.Summary.Sent))
		}
	}
	return report, nil
}
