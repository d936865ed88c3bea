package load

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// ExternalTarget describes entries that are already running and the load to send to them.
type ExternalTarget struct {
	Entries    []netip.AddrPort
	Key, Model string
	Rate       float64
	Timeout    time.Duration
}

// ExternalReport holds one summary of the requests for each seed.
type ExternalReport struct {
	Rate      float64   `json:"rate"`
	Summaries []Summary `json:"summaries"`
}

// RunExternal sends the mix to running entries, once for each seed. Prompt lengths are multiplied by the scale of the
// options.
func RunExternal(ctx context.Context, target ExternalTarget, o Options) (Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	d, err := newDriver(target.Entries)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	d.Key, d.Model, d.OutputTokens, d.Scale = target.Key, target.Model, o.Fleet.OutputTokens, o.Fleet.Scale
	d.Timeout = func(int64) time.Duration { return target.Timeout }
	report := &ExternalReport{Rate: target.Rate}
	for _, seed := range o.Seeds {
		s := summarize(d.Run(ctx, generateArrivals(seed, o.Mix, target.Rate, o.Duration)), o.Duration, 0)
		report.Summaries = append(report.Summaries, s)
		o.Progress(fmt.Sprintf("seed %d: done %d of %d, missed %d, refused %d", seed, s.Done, s.Sent, s.Missed, s.Refused))
	}
	return report, ctx.Err()
}

// Write implements Report.
func (r *ExternalReport) Write(w io.Writer) {
	rows := [][]string{{"length", "first token p50 ms", "p95 ms", "p99 ms", "done", "missed", "refused"}}
	for _, l := range slices.Sorted(maps.Keys(r.Summaries[0].ByLength)) {
		row := []string{l}
		for _, quantile := range []func(Quantiles) float64{
			func(q Quantiles) float64 { return q.P50 }, func(q Quantiles) float64 { return q.P95 }, func(q Quantiles) float64 { return q.P99 },
		} {
			row = append(row, spreadOver(r.Summaries, func(s Summary) float64 { return quantile(s.FirstToken[l]) }).String())
		}
		c := sumCounts(r.Summaries, func(s Summary) Counts { return s.ByLength[l] })
		rows = append(rows, append(row, fmt.Sprint(c.Done), fmt.Sprint(c.Missed), fmt.Sprint(c.Refused)))
	}
	writeTable(w, rows...)
}
