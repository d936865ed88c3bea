package forecast

import (
	"math"
	"time"
)

// Sums is what gateways tell each other of an engine: their outstanding requests, the prefill time of the prompts without a first
// event at the published speed, and the tokens of all prompts and expected answers; zero if that is not known.
type Sums struct {
	Requests int
	Prefill  time.Duration
	Memory   int64
	// Slowness is how many times slower than published the engine is; less than 1 counts as 1.
	Slowness float64
}

// Estimate returns the load of an engine of which only sums are known. All requests count with the mean prompt and with the usual
// answer of the service, those that generate with half of it. Where the lengths at one engine differ much, the number of requests
// that have begun is uncertain; a caller that knows more sets the fields of Load itself.
func Estimate(e Engine, s Sums) Load {
	l := Load{PrefillTime: max(s.Prefill, 0), Slowness: s.Slowness}
	requests := bounded(float64(s.Requests))
	if requests == 0 {
		return l // parts of prompts of other engines
	}
	prompt := max(bounded(float64(s.Memory))/requests-e.usualOutput, 1)
	if s.Memory <= 0 {
		prompt = max(e.usualPrompt, 1)
	}
	slotted := min(requests, e.slots)
	waiting := requests - slotted
	pending := requests
	if each := e.prefillSeconds(prompt, 0); each > 0 {
		pending = min(math.Round(l.PrefillTime.Seconds()/each), requests)
	}
	if l.PrefillTime > 0 {
		// A prompt that is much longer than the others counts as one.
		pending = max(pending, 1)
	}
	prefilling := min(max(pending-waiting, 0), slotted)
	generating := slotted - prefilling
	l.Generating, l.Prefilling, l.Waiting = int(generating), int(prefilling), int(waiting)
	if n := prefilling + waiting; n > 0 {
		l.PrefillTokens = int64(n * e.promptTokens(l.PrefillTime.Seconds()/n))
	}
	l.Context = int64(generating * (prompt + e.usualOutput/2))
	l.OutputLeft = int64(generating*e.usualOutput/2 + prefilling*e.usualOutput)
	return l
}
