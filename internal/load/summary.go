package load

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"berylward.example/berylward/pkg/answer"
)

// Quantiles are the count and quantiles of a distribution. Times are in milliseconds; ratios have no unit.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// histogram collects positive values with three significant digits, from 0.001 to 10 million.
type histogram struct{ hdr *hdrhistogram.Histogram }

const histogramUnit = 1000

func newHistogram() histogram { return histogram{hdrhistogram.New(1, 10_000_000*histogramUnit, 3)} }

// Add records a value. One outside the range counts as the nearest value within it.
func (h histogram) Add(v float64) {
	_ = h.hdr.RecordValue(int64(min(max(v*histogramUnit, 1), float64(h.hdr.HighestTrackableValue()))))
}

// AddTime records a time in milliseconds.
func (h histogram) AddTime(d time.Duration) { h.Add(d.Seconds() * 1000) }

// Quantiles returns the quantiles that reports show.
func (h histogram) Quantiles() Quantiles {
	quantile := func(q float64) float64 { return float64(h.hdr.ValueAtQuantile(q)) / histogramUnit }
	return Quantiles{Count: h.hdr.TotalCount(), P50: quantile(50), P95: quantile(95), P99: quantile(99)}
}

// Counts holds the number of requests of a run by outcome.
type Counts struct {
	Sent int `json:"sent"`
	// Done requests were answered completely within their deadline.
	Done int `json:"done"`
	// Missed requests were answered late, failed, or were refused after more than half of their deadline.
	Missed int `json:"missed"`
	// Refused requests were reported as not run within half of their deadline.
	Refused int `json:"refused"`
}

// outcomeClass says in which of the Counts a request falls.
type outcomeClass int

const (
	outcomeDone outcomeClass = iota
	outcomeMissed
	outcomeRefused
)

func (r Result) outcomeClass() outcomeClass {
	switch r.Outcome.(type) {
	case answer.Done:
		if r.Total <= r.Deadline {
			return outcomeDone
		}
	case answer.NotRun:
		// A caller cannot see whether a refused request was queued before. A refusal that takes more than half of the
		// deadline is as bad as a miss.
		if r.Total <= r.Deadline/2 {
			return outcomeRefused
		}
	case answer.Unknown:
	}
	return outcomeMissed
}

func (c *Counts) add(class outcomeClass) {
	c.Sent++
	switch class {
	case outcomeDone:
		c.Done++
	case outcomeMissed:
		c.Missed++
	case outcomeRefused:
		c.Refused++
	}
}

// Summary describes the results of one run.
type Summary struct {
	Counts
	// Goodput is the number of requests answered within their deadline, per second of the run.
	Goodput float64 `json:"goodput"`
	// LongThroughput is the number of prompt tokens per second of the run, counting only requests that are not short
	// and were answered within their deadline.
	LongThroughput float64 `json:"long-throughput"`
	// HitShare is the share of prompt tokens that the engines had cached.
	HitShare   float64               `json:"hit-share"`
	FirstToken map[string]Quantiles  `json:"first-token-ms"`
	Total      map[string]Quantiles  `json:"total-ms"`
	Reasons    map[answer.Reason]int `json:"reasons"`
	ByLength   map[string]Counts     `json:"by-length"`
	// medianTotal and medianFirst are the median times to the end and to the first token, by prompt length.
	medianTotal, medianFirst map[string]time.Duration
}

// summarize computes the summary of a run of the given duration. Prompts of up to shortLimit tokens are short.
func summarize(results []Result, duration time.Duration, shortLimit int64) Summary {
	s := Summary{
		FirstToken: map[string]Quantiles{}, Total: map[string]Quantiles{}, Reasons: map[answer.Reason]int{},
		ByLength: map[string]Counts{}, medianTotal: map[string]time.Duration{}, medianFirst: map[string]time.Duration{},
	}
	first, total := map[string]histogram{}, map[string]histogram{}
	cachedTokens, promptTokens, longTokens := int64(0), int64(0), int64(0)
	for _, r := range results {
		class := r.outcomeClass()
		s.add(class)
		lengthCounts := s.ByLength[r.LengthName]
		lengthCounts.add(class)
		s.ByLength[r.LengthName] = lengthCounts
		switch o := r.Outcome.(type) {
		case answer.Done:
		case answer.NotRun:
			s.Reasons[o.Reason]++
			continue
		case answer.Unknown:
			s.Reasons[o.Reason]++
			continue
		}
		if _, ok := first[r.LengthName]; !ok {
			first[r.LengthName], total[r.LengthName] = newHistogram(), newHistogram()
		}
		first[r.LengthName].AddTime(r.FirstToken)
		total[r.LengthName].AddTime(r.Total)
		cachedTokens, promptTokens = cachedTokens+r.Usage.CachedTokens, promptTokens+r.Usage.PromptTokens
		if class == outcomeDone && r.Tokens > shortLimit {
			longTokens += r.Tokens
		}
	}
	for name := range first {
		s.FirstToken[name], s.Total[name] = first[name].Quantiles(), total[name].Quantiles()
		s.medianFirst[name] = fromMillis(s.FirstToken[name].P50)
		s.medianTotal[name] = fromMillis(s.Total[name].P50)
	}
	s.Goodput = float64(s.Done) / duration.Seconds()
	s.LongThroughput = float64(longTokens) / duration.Seconds()
	s.HitShare = float64(cachedTokens) / float64(max(promptTokens, 1))
	return s
}

func fromMillis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// Slowdown is the time of short requests that run beside long ones, divided by the median time of short requests that
// run without long ones.
type Slowdown struct {
	FirstToken Quantiles `json:"first-token"`
	Total      Quantiles `json:"total"`
}

// newSlowdown compares the short requests of a run with a run of the same short requests alone.
func newSlowdown(results []Result, shortOnly Summary, shortLimit int64) Slowdown {
	first, total := newHistogram(), newHistogram()
	for _, r := range results {
		if _, ok := r.Outcome.(answer.Done); !ok || r.Tokens > shortLimit || shortOnly.medianTotal[r.LengthName] == 0 {
			continue
		}
		first.Add(float64(r.FirstToken) / float64(shortOnly.medianFirst[r.LengthName]))
		total.Add(float64(r.Total) / float64(shortOnly.medianTotal[r.LengthName]))
	}
	return Slowdown{FirstToken: first.Quantiles(), Total: total.Quantiles()}
}

// Spread is the median and range of a value over several seeds.
type Spread struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// newSpread returns the median, minimum and maximum of the values.
func newSpread(values ...float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	n := len(sorted)
	return Spread{Median: (sorted[(n-1)/2] + sorted[n/2]) / 2, Low: sorted[0], High: sorted[n-1]}
}

// String returns the median, followed by the range in brackets.
func (s Spread) String() string {
	digits := 2
	if math.Abs(s.Median) >= 100 {
		digits = 0
	}
	return fmt.Sprintf("%.*f [%.*f-%.*f]", digits, s.Median, digits, s.Low, digits, s.High)
}

// ratio returns a over b, or zero when b is zero.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
