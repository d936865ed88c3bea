// Package forecast predicts from an engine's published figures, and from the work that all gateways have placed there, when one
// more prompt begins, how long its pauses are, when it ends, and how it delays the requests already there. It keeps no state, reads
// no clock and does no input or output.
//
// The model is that of docs/contention.md, section 3.6: an engine works in iterations. An iteration with generating requests
// executes a number of token steps (the stride) and prefills at most a chunk of prompt tokens for each of them; without generating
// requests it executes one step. Events are sent when an iteration ends. Prompts are prefilled in the order in which they get a
// slot. docs/design/forecast.md has the assumptions where the published figures leave something open.
package forecast

import (
	"math"
	"time"

	"berylward.example/berylward/internal/route"
)

// Engine holds the published figures of an engine in the units of the model. Times are in seconds. See NewEngine.
type Engine struct {
	slots, memory float64 // requests; tokens, infinite if not stated
	stride        float64 // token steps of an iteration
	// step is the time of a token step, perSequence and perContext what a generating request and a token of its context add to it,
	// hop what a request with helpers adds.
	step, perSequence, perContext, hop float64
	perPrompt, perPair                 float64 // prefill time for each token, and for each pair of a token and an earlier one
	chunk                              float64 // prompt tokens for each step, infinite if not stated
	usualPrompt, usualOutput           float64
}

// NewEngine returns the figures of an engine. A nil engine has none.
func NewEngine(e *route.Engine) Engine {
	if e == nil {
		return Engine{slots: math.Inf(1), memory: math.Inf(1), stride: 1, chunk: math.Inf(1), usualOutput: defaultOutput}
	}
	out := Engine{
		slots: orUnlimited(float64(e.Slots)), memory: orUnlimited(float64(e.KVCacheTokens)), stride: max(bounded(float64(e.StepsPerIteration)), 1),
		step: bounded(e.StepTime.Seconds()), perSequence: bounded(e.StepTimePerSequence.Seconds()),
		perContext: bounded(e.StepTimePer1000Context.Seconds()) / 1000, hop: bounded(e.HelperStepTime.Seconds()),
		perPair: bounded(e.PrefillTimePerMillionPairs.Seconds()) / 1e6, chunk: orUnlimited(float64(e.PrefillChunk)),
		usualPrompt: bounded(float64(e.UsualPrompt)), usualOutput: bounded(float64(e.UsualAnswer)),
	}
	if e.PrefillRate > 0 {
		out.perPrompt = 1 / e.PrefillRate
	}
	if out.usualOutput == 0 {
		out.usualOutput = defaultOutput
	}
	return out
}

// defaultOutput is the number of tokens of an answer where the table states none.
const defaultOutput = 512

// maxFigure bounds the figures of tables and reports, so that predictions from senseless ones stay finite.
const maxFigure = 1 << 40

// bounded returns a figure that is neither negative nor unlimited.
func bounded(figure float64) float64 { return min(max(figure, 0), maxFigure) }

// orUnlimited returns a limit, which is infinite if it is not stated.
func orUnlimited(limit float64) float64 {
	if limit <= 0 {
		return math.Inf(1)
	}
	return limit
}

// prefillSeconds returns the time to prefill a number of tokens that follow others of the same prompt.
func (e *Engine) prefillSeconds(tokens, earlier float64) float64 {
	return tokens*e.perPrompt + tokens*(earlier+tokens/2)*e.perPair
}

// promptTokens returns the length of a prompt with a prefill time; it is the inverse of prefillSeconds.
func (e *Engine) promptTokens(seconds float64) float64 {
	switch {
	case seconds <= 0 || e.perPrompt == 0:
		return 0
	case e.perPair == 0:
		return seconds / e.perPrompt
	}
	return (math.Sqrt(e.perPrompt*e.perPrompt+2*e.perPair*seconds) - e.perPrompt) / e.perPair
}

// stepSeconds returns the time of a token step with a number of generating requests that have a number of context tokens in total,
// and of which some have helpers.
func (e *Engine) stepSeconds(generating, context, joint float64) float64 {
	return e.step + generating*e.perSequence + context*e.perContext + joint*e.hop
}

// Load is the work that all gateways have placed at an engine and that goes before one more request. Waiting requests that are
// less urgent than the new one must not be counted.
type Load struct {
	// Generating requests have had their first event. Prefilling requests have a slot, and Waiting ones none yet.
	Generating, Prefilling, Waiting int
	// Joint is how many of the generating requests have helpers.
	Joint int
	// PrefillTokens are the prompt tokens that are not prefilled yet, parts for other engines included, PrefillTime the time that
	// they take at the published speed. If one of them is zero, it is derived from the other as if they were one prompt.
	PrefillTokens int64
	PrefillTime   time.Duration
	// Context is the number of context tokens of the generating requests.
	Context int64
	// OutputLeft is the number of tokens that the generating and prefilling requests together have still to generate.
	OutputLeft int64
	// Slowness is how many times slower than published the engine is; less than 1 counts as 1.
	Slowness float64
}

// Request is one more request.
type Request struct {
	// Prompt and Output are numbers of tokens; Output is an estimate.
	Prompt, Output int64
	// Helpers is the number of other engines that prefill an equal part of the prompt each.
	Helpers int
}

// parts returns the number of parts of the prompt.
func (r Request) parts() float64 { return bounded(float64(r.Helpers)) + 1 }

// Prediction is the predicted course of one more request and its effect on those already there. Times count from now.
type Prediction struct {
	// First is the time to the first event, Gap the pause between events afterwards, End the time to the complete answer. What
	// arrives later, and prefills between the events, is not known and not included.
	First, Gap, End time.Duration
	// AddedGap is by how much the longest pause of the generating requests grows, AddedDelay by how much later the request that
	// shares the engine with the new one for longest ends. Both are zero if there are no others.
	AddedGap, AddedDelay time.Duration
	// Preempted means that the engine probably has too little memory for the request until its end, so that it is preempted and
	// prefilled again once. This is included in End.
	Preempted bool
}

// Await returns the prediction for the engine that generates the answer when the parts of the prompt at other engines are
// prefilled after a time, see PredictPart.
func (p Prediction) Await(part time.Duration) Prediction {
	if part <= p.First {
		return p
	}
	// The last part arrives within an iteration of the engine, at a time that is not known, and the first event follows at its end.
	late := part + p.Gap/2 - p.First
	p.First += late
	p.End += late
	return p
}
