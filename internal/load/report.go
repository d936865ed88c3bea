package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"berylward.example/berylward/pkg/answer"
)

// Report is the result of a measurement. It can be encoded as JSON or written as tables.
type Report interface {
	// Write writes tables in text form. It returns no error: w must record its first error for a caller that needs it.
	Write(w io.Writer)
}

func writeTable(w io.Writer, rows ...[]string) {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	for i, row := range rows {
		_, _ = fmt.Fprintf(t, "| %s\t|\n", strings.Join(row, "\t| "))
		if i == 0 {
			_, _ = fmt.Fprintf(t, "|%s\n", strings.Repeat("---\t|", len(row)))
		}
	}
	_ = t.Flush()
	_, _ = fmt.Fprintln(w)
}

// spreadOver returns the spread of a value over the runs.
func spreadOver[R any](runs []R, value func(R) float64) Spread {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = value(r)
	}
	return newSpread(values...)
}

func filter[R any](runs []R, keep func(R) bool) []R {
	var kept []R
	for _, r := range runs {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// unique returns the distinct keys of the runs in order of first appearance.
func unique[R any, K comparable](runs []R, key func(R) K) []K {
	var keys []K
	for _, r := range runs {
		if k := key(r); !slices.Contains(keys, k) {
			keys = append(keys, k)
		}
	}
	return keys
}

// Write implements Report.
func (r *PoliciesReport) Write(w io.Writer) {
	policies := unique(r.Runs, func(r PolicyRun) string { return r.Policy })
	for _, load := range unique(r.Runs, func(r PolicyRun) float64 { return r.Load }) {
		loadRuns := filter(r.Runs, func(r PolicyRun) bool { return r.Load == load })
		shortOnly := filter(r.ShortOnly, func(r PolicyRun) bool { return r.Load == load })
		_, _ = fmt.Fprintf(w, "Load %.0f %%; median and spread over %d seeds\n\n", load*100, len(shortOnly))
		rows := [][]string{{"policy", "first p50", "first p95", "first p99", "total p50", "total p95", "total p99",
			"first p99/p99 alone", "total p99/p99 alone", "long vs best baseline", "goodput/s", "done", "missed", "refused"}}
		rows = append(rows, slowdownRow("(short alone)", shortOnly, shortOnly, nil))
		for _, p := range policies {
			rows = append(rows, slowdownRow(p, filter(loadRuns, func(r PolicyRun) bool { return r.Policy == p }), shortOnly, loadRuns))
		}
		writeTable(w, rows...)
		rows = [][]string{{"policy", "length", "first token p50 ms", "p95 ms", "p99 ms", "total p50 ms", "done", "missed", "refused"}}
		for _, p := range policies {
			runs := filter(loadRuns, func(r PolicyRun) bool { return r.Policy == p })
			for _, l := range slices.Sorted(maps.Keys(runs[0].Summary.ByLength)) {
				row := []string{p, l}
				for _, value := range []func(Summary) float64{
					func(s Summary) float64 { return s.FirstToken[l].P50 }, func(s Summary) float64 { return s.FirstToken[l].P95 },
					func(s Summary) float64 { return s.FirstToken[l].P99 }, func(s Summary) float64 { return s.Total[l].P50 },
				} {
					row = append(row, spreadOver(runs, func(r PolicyRun) float64 { return value(r.Summary) }).String())
				}
				c := sumCounts(runs, func(r PolicyRun) Counts { return r.Summary.ByLength[l] })
				rows = append(rows, append(row, fmt.Sprint(c.Done), fmt.Sprint(c.Missed), fmt.Sprint(c.Refused)))
			}
		}
		writeTable(w, rows...)
		for _, p := range policies {
			reasons := map[answer.Reason]int{}
			for _, r := range filter(loadRuns, func(r PolicyRun) bool { return r.Policy == p }) {
				for reason, n := range r.Summary.Reasons {
					reasons[reason] += n
				}
			}
			if len(reasons) > 0 {
				_, _ = fmt.Fprintf(w, "Not answered under %s: %v\n", p, reasons)
			}
		}
		_, _ = fmt.Fprintln(w)
	}
}

// slowdownRow returns the table row of one policy, with ratios to the runs of the short requests alone. allRuns holds
// the runs of every policy at this load.
func slowdownRow(name string, runs, shortOnly, allRuns []PolicyRun) []string {
	row := []string{name}
	for _, value := range []func(Slowdown) float64{
		func(s Slowdown) float64 { return s.FirstToken.P50 }, func(s Slowdown) float64 { return s.FirstToken.P95 },
		func(s Slowdown) float64 { return s.FirstToken.P99 }, func(s Slowdown) float64 { return s.Total.P50 },
		func(s Slowdown) float64 { return s.Total.P95 }, func(s Slowdown) float64 { return s.Total.P99 },
	} {
		row = append(row, spreadOver(runs, func(r PolicyRun) float64 { return value(r.Slowdown) }).String())
	}
	for _, value := range []func(Slowdown) float64{
		func(s Slowdown) float64 { return s.FirstToken.P99 }, func(s Slowdown) float64 { return s.Total.P99 },
	} {
		row = append(row, spreadOver(runs, func(r PolicyRun) float64 {
			seedShortOnly := filter(shortOnly, func(a PolicyRun) bool { return a.Seed == r.Seed })
			return ratio(value(r.Slowdown), value(seedShortOnly[0].Slowdown))
		}).String())
	}
	long := spreadOver(runs, func(r PolicyRun) float64 { return ratio(r.Summary.LongThroughput, bestBaseline(allRuns, r.Seed)) })
	c := sumCounts(runs, func(r PolicyRun) Counts { return r.Summary.Counts })
	return append(row, long.String(), spreadOver(runs, func(r PolicyRun) float64 { return r.Summary.Goodput }).String(),
		fmt.Sprint(c.Done), fmt.Sprint(c.Missed), fmt.Sprint(c.Refused))
}

// bestBaseline returns the highest long-prompt throughput of the baselines with the given seed.
func bestBaseline(runs []PolicyRun, seed uint64) float64 {
	best := 0.0
	for _, r := range runs {
		if r.Seed == seed && r.Policy != DefaultPolicy.Name {
			best = max(best, r.Summary.LongThroughput)
		}
	}
	return best
}

func sumCounts[R any](runs []R, counts func(R) Counts) Counts {
	var total Counts
	for _, r := range runs {
		c := counts(r)
		total = Counts{total.Sent + c.Sent, total.Done + c.Done, total.Missed + c.Missed, total.Refused + c.Refused}
	}
	return total
}

// Write implements Report.
func (r *CacheReport) Write(w io.Writer) {
	rows := [][]string{{"policy", "hit share", "hit share/oracle", "done", "missed", "refused"}}
	for _, p := range unique(r.Runs, func(r CacheRun) string { return r.Policy }) {
		runs := filter(r.Runs, func(r CacheRun) bool { return r.Policy == p })
		c := sumCounts(runs, func(r CacheRun) Counts { return r.Summary.Counts })
		rows = append(rows, []string{
			p, spreadOver(runs, func(r CacheRun) float64 { return r.Summary.HitShare }).String(),
			spreadOver(runs, func(r CacheRun) float64 { return ratio(r.Summary.HitShare, r.Oracle) }).String(),
			fmt.Sprint(c.Done), fmt.Sprint(c.Missed), fmt.Sprint(c.Refused),
		})
	}
	rows = append(rows, []string{"(oracle)", spreadOver(r.Runs, func(r CacheRun) float64 { return r.Oracle }).String(), "1", "", "", ""})
	writeTable(w, rows...)
}

// Write implements Report.
func (r *ZoneReport) Write(w io.Writer) {
	rows := [][]string{{"seed", "phase", "served", "missed", "refused", "short first token p50 ms", "p99 ms", "p99/before",
		"bookings done", "not run", "unknown"}}
	for _, run := range r.Runs {
		steady := run.Phases[1].ShortFirstToken.P99
		for _, p := range run.Phases {
			rows = append(rows, []string{
				fmt.Sprint(run.Seed), p.Name, fmt.Sprintf("%d of %d", p.Done, p.Sent), fmt.Sprint(p.Missed), fmt.Sprint(p.Refused),
				fmt.Sprintf("%.0f", p.ShortFirstToken.P50), fmt.Sprintf("%.0f", p.ShortFirstToken.P99),
				fmt.Sprintf("%.2f", ratio(p.ShortFirstToken.P99, steady)),
				fmt.Sprintf("%d of %d", p.Bookings.Done, p.Bookings.Sent), fmt.Sprint(p.Bookings.NotRun), fmt.Sprint(p.Bookings.Unknown),
			})
		}
	}
	writeTable(w, rows...)
	for _, run := range r.Runs {
		_, _ = fmt.Fprintf(w, "Seed %d: %d bookings duplicated, %d lost\n", run.Seed, run.Duplicates, run.Lost)
	}
}

// Write implements Report.
func (r *FailuresReport) Write(w io.Writer) {
	rows := [][]string{{"failure", "time to the first rerouted request, ms", "without recovery"}}
	for _, recovery := range r.Recoveries {
		rows = append(rows, []string{recovery.Failure, recovery.Spread.String(), fmt.Sprintf("%d of %d", recovery.Unrecovered, recovery.Unrecovered+len(recovery.Times))})
	}
	writeTable(w, rows...)
}

// Write implements Report.
func (r *OverheadReport) Write(w io.Writer) {
	rows := [][]string{{"prompt tokens", "direct p50 ms", "p99 ms", "path p50 ms", "p99 ms", "ratio of medians"}}
	for _, run := range r.Runs {
		rows = append(rows, []string{
			fmt.Sprint(run.Tokens), fmt.Sprintf("%.2f", run.Direct.P50), fmt.Sprintf("%.2f", run.Direct.P99),
			fmt.Sprintf("%.2f", run.Path.P50), fmt.Sprintf("%.2f", run.Path.P99), run.Ratio.String(),
		})
	}
	writeTable(w, rows...)
}
