package forecast_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/forecast"
	"berylward.example/berylward/internal/route"
)

// engines are the engines of both deployments of docs/contention.md.
var engines = map[string]*route.Engine{
	"khökh tamga": {
		Slots: 12, KVCacheTokens: 344_250, StepsPerIteration: 38, StepTime: 1310 * time.Microsecond, StepTimePerSequence: 917 * time.Nanosecond,
		StepTimePer1000Context: 2130 * time.Nanosecond, PrefillRate: 154_000, PrefillTimePerMillionPairs: 162 * time.Microsecond,
		PrefillChunk: 2048, HelperStepTime: 50 * time.Microsecond, UsualAnswer: 600,
	},
	"brescia": {
		Slots: 12, KVCacheTokens: 232_000, StepsPerIteration: 48, StepTime: 1020 * time.Microsecond, StepTimePerSequence: 2260 * time.Nanosecond,
		StepTimePer1000Context: 4310 * time.Nanosecond, PrefillRate: 206_000, PrefillTimePerMillionPairs: 138 * time.Microsecond,
		PrefillChunk: 2048, HelperStepTime: 50 * time.Microsecond, UsualAnswer: 600,
	},
}

// answer is the length of each answer in the tests.
const answer = 600

// simLoad is the load of an engine when one more request arrives.
type simLoad struct {
	generating int
	context    float64
	prefilling float64 // length of one prompt that is prefilled
	waiting    int
	prompt     float64 // length of the waiting prompts
	slowness   float64
	newPrompt  int64
}

func (l simLoad) engine(e *route.Engine) *simEngine {
	s := &simEngine{e: e, slowness: max(l.slowness, 1), slots: generating(l.generating, l.context, answer)}
	if l.prefilling > 0 {
		s.slots = append(s.slots, prompts(1, l.prefilling, answer)...)
	}
	s.waiting = prompts(l.waiting, l.prompt, answer)
	return s
}

var loads = map[string]simLoad{
	"idle":                               {newPrompt: 4_960},
	"idle, long prompt":                  {newPrompt: 260_000 / 2},
	"few writers":                        {generating: 3, context: 5_000, newPrompt: 4_960},
	"few writers, slow":                  {generating: 3, context: 5_000, newPrompt: 4_960, slowness: 4},
	"few writers, long prompt":           {generating: 3, context: 5_000, newPrompt: 150_000},
	"one slot free":                      {generating: 11, context: 5_000, newPrompt: 4_960},
	"all slots taken":                    {generating: 12, context: 5_000, newPrompt: 4_960},
	"queue":                              {generating: 12, context: 5_000, waiting: 8, prompt: 4_960, newPrompt: 4_960},
	"queue of three rounds":              {generating: 12, context: 5_000, waiting: 30, prompt: 4_960, newPrompt: 4_960},
	"queue, slow":                        {generating: 12, context: 5_000, waiting: 8, prompt: 4_960, newPrompt: 4_960, slowness: 3},
	"long prefill beside writers":        {generating: 4, context: 5_000, prefilling: 150_000, newPrompt: 4_960},
	"long prefill alone":                 {prefilling: 150_000, newPrompt: 4_960},
	"long prefill, long prompt":          {generating: 2, context: 5_000, prefilling: 100_000, newPrompt: 45_000},
	"one long writer":                    {generating: 1, context: 120_000, newPrompt: 4_960},
	"many prompts at once, slots enough": {generating: 2, context: 5_000, waiting: 6, prompt: 20_000, newPrompt: 4_960},
}

// arrivals are the moments within an iteration at which the new request arrives.
var arrivals = []float64{0.02, 0.25, 0.5, 0.75, 0.98}

// place runs an engine until its first iteration, during which the new request arrives, and returns when it arrives.
func place(s *simEngine, r *simRequest, phase float64) float64 {
	idle := len(s.slots)+len(s.waiting)+len(s.parts) == 0
	if idle {
		s.waiting = append(s.waiting, r)
		return 0
	}
	s.admit()
	arrived := phase * s.iterate()
	s.waiting = append(s.waiting, r)
	return arrived
}

// Guards against predictions that the iterations of an engine contradict by more than the one iteration at a time of which nobody
// outside of the engine knows the beginning.
func TestPredict(t *testing.T) {
	for engine, e := range engines {
		for name, load := range loads {
			for _, phase := range arrivals {
				t.Run(fmt.Sprint(engine, "/", name, "/", phase), func(t *testing.T) {
					s := load.engine(e)
					s.admit()
					known := s.load()
					p := forecast.Predict(forecast.NewEngine(e), known, forecast.Request{Prompt: load.newPrompt, Output: answer})
					r := prompts(1, float64(load.newPrompt), answer)[0]
					arrived := place(s, r, phase)
					s.run(r)
					t.Logf("first %.0f predicted %.0f; end %.0f predicted %.0f; pass %.0f (ms)", 1000*(r.first-arrived), ms(p.First), 1000*(r.end-arrived), ms(p.End), 1000*s.longest)
					assert.Check(t, within(p.First, r.first-arrived, s.longest), "first event after %.3f s, predicted %v, iteration %.3f s", r.first-arrived, p.First, s.longest)
					assert.Check(t, within(p.End, r.end-arrived, s.longest), "end after %.3f s, predicted %v, iteration %.3f s", r.end-arrived, p.End, s.longest)
				})
			}
		}
	}
}

func ms(d time.Duration) float64 { return 1000 * d.Seconds() }

func within(predicted time.Duration, measured, bound float64) bool {
	return math.Abs(predicted.Seconds()-measured) <= bound
}
