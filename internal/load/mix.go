package load

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// PromptLength is one prompt length of a mix and its share of the requests.
type PromptLength struct {
	Name   string
	Tokens int64
	Share  float64
}

// Mix is a distribution of prompt lengths. The shares sum to 1.
type Mix []PromptLength

// maxPromptTokens limits a prompt length. The longest prompts in the design have a million tokens.
const maxPromptTokens = 2_000_000

// ParseMix parses lengths and shares such as "1k:0.70,10k:0.25,100k:0.045,1m:0.005".
func ParseMix(text string) (Mix, error) {
	var mix Mix
	total := 0.0
	for _, pair := range strings.Split(text, ",") {
		name, share, ok := strings.Cut(strings.TrimSpace(pair), ":")
		if !ok {
			return nil, errors.Errorf("load: mix: %q has no share; want LENGTH:SHARE", pair)
		}
		tokens, err := parseTokens(name)
		if err != nil {
			return nil, err
		}
		s, err := strconv.ParseFloat(share, 64)
		if err != nil || !(s > 0 && s <= 1) {
			return nil, errors.Errorf("load: mix: share %q of %s; want a number above 0 and up to 1", share, name)
		}
		total += s
		mix = append(mix, PromptLength{Name: name, Tokens: tokens, Share: s})
	}
	if math.Abs(total-1) > 1e-6 {
		return nil, errors.Errorf("load: mix: the shares sum to %g, want 1", total)
	}
	return mix, nil
}

func parseTokens(name string) (int64, error) {
	factor, digits := 1.0, strings.ToLower(name)
	switch {
	case strings.HasSuffix(digits, "k"):
		factor, digits = 1e3, strings.TrimSuffix(digits, "k")
	case strings.HasSuffix(digits, "m"):
		factor, digits = 1e6, strings.TrimSuffix(digits, "m")
	}
	n, err := strconv.ParseFloat(digits, 64)
	if tokens := n * factor; err == nil && tokens >= 1 && tokens <= maxPromptTokens {
		return int64(tokens), nil
	}
	return 0, errors.Errorf("load: mix: length %q; want tokens from 1 to %d, such as 10k", name, maxPromptTokens)
}

// Mean returns the mean prompt length in tokens.
func (m Mix) Mean() float64 {
	mean := 0.0
	for _, l := range m {
		mean += l.Share * float64(l.Tokens)
	}
	return mean
}

// lengthIndex returns the index of the length at quantile u, which lies in [0, 1).
func (m Mix) lengthIndex(u float64) int {
	for i, l := range m {
		if u -= l.Share; u < 0 {
			return i
		}
	}
	return len(m) - 1
}

// Arrival is one request of an open-loop run.
type Arrival struct {
	// Due is when the request is due, measured from the start of the run.
	Due time.Duration
	// LengthName is the name of the prompt length. Tokens is the length itself, before scaling.
	LengthName string
	Tokens     int64
	// Number is unique within a run and makes prompts differ. Document is above 0 for prompts that begin with a shared
	// document, which makes up all but questionTokens of the prompt.
	Number   uint64
	Document int
}

// questionTokens is the number of tokens that follow a shared document.
const questionTokens = 100

// generateArrivals draws Poisson arrivals at rate requests/s for the given duration. The same arguments give the same
// arrivals.
func generateArrivals(seed uint64, mix Mix, rate float64, duration time.Duration) []Arrival {
	// Times and lengths have separate random sources, so that the arrival times do not depend on the mix.
	times, lengths := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	var arrivals []Arrival
	for at := time.Duration(0); len(arrivals) < maxRequests; {
		at += time.Duration(times.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			break
		}
		promptLength := mix[mix.lengthIndex(lengths.Float64())]
		arrivals = append(arrivals, Arrival{Due: at, LengthName: promptLength.Name, Tokens: promptLength.Tokens, Number: seed<<32 + uint64(len(arrivals)) + 1})
	}
	return arrivals
}

// assignDocuments turns arrivals into questions about shared documents. Each arrival gets one of the given number of
// documents, chosen by the seed.
func assignDocuments(seed uint64, arrivals []Arrival, documents int) []Arrival {
	r := rand.New(rand.NewPCG(seed, 3))
	assigned := make([]Arrival, len(arrivals))
	for i, a := range arrivals {
		a.Document = 1 + r.IntN(documents)
		assigned[i] = a
	}
	return assigned
}

// oracleHitShare returns the share of prompt tokens that would hit a cache of unlimited size, shared by all engines.
func oracleHitShare(arrivals []Arrival) float64 {
	seen := map[int]bool{}
	cached, total := int64(0), int64(0)
	for _, a := range arrivals {
		total += a.Tokens
		if a.Document > 0 && seen[a.Document] {
			cached += max(a.Tokens-questionTokens, 0)
		}
		seen[a.Document] = true
	}
	return float64(cached) / float64(max(total, 1))
}
