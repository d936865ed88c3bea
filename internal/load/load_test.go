package load

import (
	"io"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/pkg/answer"
)

// Guards against a mix that is parsed wrongly, or accepted although its shares or lengths are invalid.
func TestParseMix(t *testing.T) {
	tests := map[string]struct {
		text string
		mean float64
		err  string
	}{
		"four lengths":         {"1k:0.70,10k:0.25,100k:0.045,1m:0.005", 700 + 2500 + 4500 + 5000, ""},
		"plain tokens":         {"500:1", 500, ""},
		"spaces and fractions": {"1.5k:0.5, 0.1m:0.5", 50_750, ""},
		"no share":             {"1k", 0, "no share"},
		"share of zero":        {"1k:0,2k:1", 0, "above 0"},
		"share not finite":     {"1k:nan", 0, "above 0"},
		"sum below one":        {"1k:0.5", 0, "sum to 0.5"},
		"length too large":     {"3m:1", 0, "want tokens from 1"},
		"length not a number":  {"long:1", 0, "want tokens from 1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			mix, err := ParseMix(tt.text)
			if tt.err != "" {
				assert.ErrorContains(t, err, tt.err)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, math.Abs(mix.Mean()-tt.mean) < 1e-6)
		})
	}
}

// Guards against arrivals that change between runs with the same seed, that do not follow a Poisson process, or whose
// lengths do not follow the mix.
func TestArrivals(t *testing.T) {
	mix, err := ParseMix("1k:0.7,10k:0.25,100k:0.05")
	assert.NilError(t, err)
	tests := map[string]struct {
		seed uint64
		rate float64
	}{
		"slow": {1, 20}, "fast": {2, 200}, "other seed": {3, 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const duration = 100 * time.Second
			arrivals := generateArrivals(tt.seed, mix, tt.rate, duration)
			assert.DeepEqual(t, arrivals, generateArrivals(tt.seed, mix, tt.rate, duration))
			assert.Assert(t, !slices.Equal(arrivals, generateArrivals(tt.seed+1, mix, tt.rate, duration)))
			want := tt.rate * duration.Seconds()
			assert.Assert(t, math.Abs(float64(len(arrivals))-want) < 4*math.Sqrt(want), len(arrivals))
			squares, last, short := 0.0, time.Duration(0), 0
			for _, a := range arrivals {
				gap := (a.Due - last).Seconds() * tt.rate
				squares, last = squares+gap*gap, a.Due
				if a.LengthName == "1k" {
					short++
				}
			}
			// Exponential gaps have a mean square of twice the squared mean.
			assert.Assert(t, math.Abs(squares/want-2) < 0.5, squares/want)
			assert.Assert(t, math.Abs(float64(short)/float64(len(arrivals))-0.7) < 0.05)
			assert.Assert(t, last < duration)
		})
	}
}

// Guards against separate prompts that share a cached prefix, and against prompts for the same document that do not.
func TestPromptText(t *testing.T) {
	tests := map[string]struct {
		a, b   Arrival
		shared int // bytes
	}{
		"own prompts":         {Arrival{Tokens: 1000, Number: 1}, Arrival{Tokens: 1000, Number: 2}, 23},
		"same document":       {Arrival{Tokens: 1000, Number: 1, Document: 4}, Arrival{Tokens: 1000, Number: 2, Document: 4}, 3600 + 23},
		"different documents": {Arrival{Tokens: 1000, Number: 1, Document: 4}, Arrival{Tokens: 1000, Number: 1, Document: 5}, 9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := promptText(tt.a, 1), promptText(tt.b, 1)
			assert.Equal(t, len(a), 4000)
			n := 0
			for n < len(a) && a[n] == b[n] {
				n++
			}
			assert.Equal(t, n, tt.shared)
			assert.Equal(t, len(promptText(tt.a, 0.5)), 2000)
		})
	}
}

// Guards against an oracle that counts the first request for a document, or the question after it, as cached.
func TestOracleShare(t *testing.T) {
	tests := map[string]struct {
		documents []int
		want      float64
	}{
		"no document": {[]int{0, 0}, 0}, "first requests": {[]int{1, 2}, 0}, "one repeat": {[]int{1, 1}, 0.45},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var arrivals []Arrival
			for _, n := range tt.documents {
				arrivals = append(arrivals, Arrival{Tokens: 1000, Document: n})
			}
			assert.Equal(t, oracleHitShare(arrivals), tt.want)
		})
	}
}

// Guards against wrong quantiles, and against values outside the range that are not counted.
func TestHistogram(t *testing.T) {
	tests := map[string]struct {
		values        []float64
		p50, p95, p99 float64
	}{
		"empty":     {nil, 0, 0, 0},
		"one":       {[]float64{1.5}, 1.5, 1.5, 1.5},
		"hundred":   {oneToHundred(), 50, 95, 99},
		"too small": {[]float64{0, -1}, 0.001, 0.001, 0.001},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHistogram()
			for _, v := range tt.values {
				h.Add(v)
			}
			q := h.Quantiles()
			assert.Equal(t, int(q.Count), len(tt.values))
			for _, pair := range [][2]float64{{q.P50, tt.p50}, {q.P95, tt.p95}, {q.P99, tt.p99}} {
				assert.Assert(t, math.Abs(pair[0]-pair[1]) <= pair[1]/1000, "%v", pair)
			}
		})
	}
}

func oneToHundred() []float64 {
	var all []float64
	for i := 1; i <= 100; i++ {
		all = append(all, float64(i))
	}
	return all
}

// Guards against a late answer that counts as goodput, and a late refusal that counts as an immediate one.
func TestOutcomeClass(t *testing.T) {
	tests := map[string]struct {
		outcome answer.Outcome
		total   time.Duration
		want    outcomeClass
	}{
		"in time":         {answer.Done{}, time.Second, outcomeDone},
		"late":            {answer.Done{}, 3 * time.Second, outcomeMissed},
		"refused at once": {answer.NotRun{}, time.Millisecond, outcomeRefused},
		"refused late":    {answer.NotRun{}, 1900 * time.Millisecond, outcomeMissed},
		"failed":          {answer.Unknown{}, time.Millisecond, outcomeMissed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := Result{Outcome: tt.outcome, Total: tt.total, Deadline: 2 * time.Second}
			assert.Equal(t, r.outcomeClass(), tt.want)
		})
	}
}

// Guards against slowdowns that include long requests, or that compare requests of different lengths.
func TestSlowdown(t *testing.T) {
	newResult := func(tokens int64, length string, first, total time.Duration) Result {
		return Result{Arrival: Arrival{Tokens: tokens, LengthName: length}, Outcome: answer.Done{}, Deadline: time.Minute, FirstToken: first, Total: total}
	}
	shortOnly := summarize([]Result{
		newResult(1000, "1k", 10*time.Millisecond, 100*time.Millisecond), newResult(2000, "2k", 20*time.Millisecond, 200*time.Millisecond),
	}, time.Second, 8000)
	s := newSlowdown([]Result{
		newResult(1000, "1k", 20*time.Millisecond, 150*time.Millisecond), newResult(2000, "2k", 40*time.Millisecond, 300*time.Millisecond),
		newResult(100_000, "100k", time.Second, time.Minute),
	}, shortOnly, 8000)
	assert.Equal(t, int(s.FirstToken.Count), 2)
	assert.Assert(t, math.Abs(s.FirstToken.P99-2) < 0.01 && math.Abs(s.Total.P99-1.5) < 0.01, "%+v", s)
}

// Guards against a spread that does not include the extremes.
func TestSpread(t *testing.T) {
	tests := map[string]struct {
		values []float64
		want   Spread
	}{
		"none": {nil, Spread{}}, "one": {[]float64{2}, Spread{2, 2, 2}},
		"odd": {[]float64{3, 1, 2}, Spread{2, 1, 3}}, "even": {[]float64{4, 1, 3, 2}, Spread{2.5, 1, 4}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, newSpread(tt.values...), tt.want) })
	}
}

// slowTransport answers each request after ten seconds and records when it was sent.
type slowTransport struct {
	mu   sync.Mutex
	sent []time.Time
}

func (t *slowTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.mu.Lock()
	t.sent = append(t.sent, time.Now())
	t.mu.Unlock()
	time.Sleep(10 * time.Second)
	return &http.Response{
		StatusCode: http.StatusOK, Request: req, Trailer: http.Header{"Berylward-Outcome": {"done"}},
		Body: io.NopCloser(strings.NewReader("data: {}\n\n")),
	}, nil
}

// Guards against slow answers that delay later arrivals, and against latency that does not include the wait for the
// answer.
func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, err := newDriver([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")})
		assert.NilError(t, err)
		transport := &slowTransport{}
		d.client.Transport = transport
		start := time.Now()
		arrivals := []Arrival{{Due: 0, Tokens: 10}, {Due: time.Second, Tokens: 10}, {Due: 3 * time.Second, Tokens: 10}}
		results := d.Run(t.Context(), arrivals)
		for i, a := range arrivals {
			assert.Equal(t, transport.sent[i].Sub(start), a.Due)
			assert.Equal(t, results[i].FirstToken, 10*time.Second)
			assert.Equal(t, results[i].outcomeClass(), outcomeDone)
		}
	})
}

// Guards against a driver that sends load to another machine, for example when an address is mistyped.
func TestLoopbackOnly(t *testing.T) {
	_, err := newDriver([]netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:80")})
	assert.ErrorContains(t, err, "not a loopback address")
}
