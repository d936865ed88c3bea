package forecast

import (
	"math"
	"time"
)

// outlook is the load of an engine in the units of the model, and how it changes until and after the new request begins. Times are
// in seconds at the published speed; positions in time are counted in token steps from now.
type outlook struct {
	engine *Engine
	// running is the number of generating requests, context their mean number of context tokens. They are assumed to end one after
	// the other, interval token steps apart.
	running, context, interval float64
	// span is the number of token steps in which all requests with a slot end.
	span                float64
	prefilling, waiting float64
	joint               float64
	// tokens and prefill are the pending prefill before the new request.
	tokens, prefill float64
}

func newOutlook(e *Engine, l *Load) outlook {
	o := outlook{
		engine: e, running: bounded(float64(l.Generating)), prefilling: bounded(float64(l.Prefilling)), waiting: bounded(float64(l.Waiting)),
		joint: bounded(float64(l.Joint)), tokens: bounded(float64(l.PrefillTokens)), prefill: max(l.PrefillTime.Seconds(), 0),
	}
	switch {
	case o.tokens <= 0:
		o.tokens = e.promptTokens(o.prefill)
	case o.prefill <= 0:
		o.prefill = e.prefillSeconds(o.tokens, 0)
	}
	output := bounded(float64(l.OutputLeft))
	o.span = 2 * output / (o.running + o.prefilling + 1)
	if o.running > 0 {
		o.context = bounded(float64(l.Context)) / o.running
		// The answers of requests that are prefilled have all their tokens left.
		if rest := output - o.prefilling*e.usualOutput; rest > 0 {
			output = rest
		}
		o.interval = 2 * output / (o.running * (o.running + 1))
	}
	return o
}

// ended returns how many generating requests end within a number of token steps.
func (o *outlook) ended(steps float64) float64 {
	if o.interval <= 0 {
		return o.running
	}
	return min(math.Floor(steps/o.interval), o.running)
}

// remaining returns how many of the generating requests still run at a time.
func (o *outlook) remaining(at float64) float64 { return o.running - o.ended(at) }

// contextAt returns the context tokens of the generating requests that still run at a time.
func (o *outlook) contextAt(at float64) float64 { return o.remaining(at) * (o.context + at) }

// requestSteps returns the integral of remaining from now on.
func (o *outlook) requestSteps(to float64) float64 {
	k := o.ended(to)
	return (o.running-k)*to + o.interval*k*(k+1)/2
}

// contextSteps returns the integral of contextAt from now on.
func (o *outlook) contextSteps(to float64) float64 {
	k, d := o.ended(to), o.interval
	return (o.running-k)*to*(o.context+to/2) + o.context*d*k*(k+1)/2 + d*d*k*(k+1)*(2*k+1)/12
}

// mean returns the mean number of the generating requests that still run over a span of time, and the mean of their context.
func (o *outlook) mean(from, to float64) (requests, context float64) {
	if to <= from {
		return o.remaining(from), o.contextAt(from)
	}
	return (o.requestSteps(to) - o.requestSteps(from)) / (to - from), (o.contextSteps(to) - o.contextSteps(from)) / (to - from)
}

// presence returns the mean share of a span of token steps during which those run that began within a number of steps before it and
// generate a usual answer.
func (o *outlook) presence(before, span float64) float64 {
	usual := o.engine.usualOutput
	before = min(before, usual)
	if before <= 0 {
		return min(1, usual/span)
	}
	whole := min(max(usual-span, 0), before) // those that began less than this before run for the whole span
	rest := (usual*(before-whole) - (before*before-whole*whole)/2) / span
	return (whole + rest) / before
}

// budget returns how many prompt tokens an iteration with generating requests prefills.
func (o *outlook) budget() float64 { return o.engine.chunk * o.engine.stride }

// iterations returns the number of iterations in which a number of prompt tokens is prefilled beside generating requests.
func (o *outlook) iterations(tokens float64) float64 {
	if math.IsInf(o.engine.chunk, 1) {
		return min(1, math.Ceil(tokens))
	}
	return math.Ceil(tokens / o.budget())
}

// meanAhead returns the mean prompt length of the requests that have not begun.
func (o *outlook) meanAhead() float64 {
	if n := o.prefilling + o.waiting; n > 0 {
		return o.tokens / n
	}
	return 0
}

// maxReleaseRounds bounds the work for one prediction. A queue in which each slot serves this many requests before the new one
// begins takes minutes, and its end is extrapolated.
const maxReleaseRounds = 16

// release returns the number of iterations, counted from the start of the one that runs now, after which the slot for a request
// is free before which a number of requests must end. Requests that run end at equal distances, and each of them is followed by a
// waiting request that holds the slot for the usual time.
func (o *outlook) release(ends float64) float64 {
	e := o.engine
	slots := min(e.slots, o.running+o.prefilling)
	span := max(o.span/e.stride, 1)
	hold := o.hold()
	// Round k of requests ends between hold*k and hold*k+span, slots/span of them in each iteration.
	rate := slots / span
	at, active, first, started, ended := 0.0, 1.0, 0.0, 1.0, 0.0
	for range 2 * maxReleaseRounds {
		next := min(started*hold, first*hold+span)
		gain := (next - at) * active * rate
		if ended+gain >= ends {
			return math.Ceil(at + (ends-ended)/(active*rate))
		}
		at, ended = next, ended+gain
		if started*hold <= first*hold+span {
			started++
			active++
		} else {
			first++
			active--
		}
	}
	return math.Ceil(at + (ends-ended)*hold/slots)
}

// hold returns the number of iterations for which a request that has not begun holds a slot.
func (o *outlook) hold() float64 {
	return max(1, o.iterations(o.meanAhead())) + math.Ceil(max(o.engine.usualOutput-1, 0)/o.engine.stride)
}

// course is the course of the new request in the units of the model.
type course struct {
	first      float64 // time to the first event
	begin      float64 // token steps until then
	iterations float64 // iterations in which its prompt, or its part, is prefilled
	prompt     float64 // tokens of its part
	prefill    float64 // prefill time of its part
}

// Predict returns the prediction for one more request at an engine. For a request with helpers the engine is the one that
// generates the answer, see PredictPart and Prediction.Await for the others.
func Predict(e Engine, l Load, r Request) Prediction {
	o := newOutlook(&e, &l)
	c := o.begin(r)
	slowness := max(bounded(l.Slowness), 1)
	output := max(bounded(float64(r.Output)), 1)
	var p Prediction

	// The requests that went before generate with this one, as long as they and it do.
	ahead := min(o.prefilling+o.waiting, max(e.slots-1, 0))
	others := min(o.remaining(c.begin)+ahead, max(e.slots-1, 0))
	aheadContext := ahead * (o.meanAhead() + min(c.begin, e.usualOutput)/2)
	joint := o.joint
	if o.running > 0 {
		joint *= o.remaining(c.begin) / o.running
	}
	if r.Helpers > 0 {
		joint++
	}
	pause := e.stride * e.stepSeconds(others+1, o.contextAt(c.begin)+aheadContext+c.prompt, joint)
	end := c.first
	if output > 1 {
		generating, context := o.mean(c.begin, c.begin+output)
		presence := o.presence(c.begin, output)
		context += presence*(aheadContext+ahead*output/2) + c.prompt + output/2
		generating = min(generating+presence*ahead, max(e.slots-1, 0)) + 1
		end += math.Ceil((output-1)/e.stride) * e.stride * e.stepSeconds(generating, context, joint)
	}
	if lost, ok := o.preemption(c, ahead, output); ok {
		p.Preempted = true
		end += c.prefill + (c.iterations+lost/e.stride)*pause
	}
	if others > 0 || o.running > 0 {
		added := e.perSequence + c.prompt*e.perContext
		if r.Helpers > 0 {
			added += e.hop
		}
		p.AddedGap = seconds(slowness * max(o.addedPrefill(c, r), e.stride*added))
		shared := max(o.interval*o.running-c.begin, 0)
		if ahead > 0 {
			shared = max(shared, e.usualOutput)
		}
		shared = min(shared, output)
		p.AddedDelay = seconds(slowness * (c.prefill + shared*(added+shared/2*e.perContext)))
	}
	p.First, p.Gap, p.End = seconds(slowness*c.first), seconds(slowness*pause), seconds(slowness*end)
	return p
}

// PredictPart returns the prediction for an engine that prefills one part of a prompt for another one: First and End are the time
// until the part is prefilled. Parts need no slot and go before the other prefills of the engine.
func PredictPart(e Engine, l Load, r Request) Prediction {
	o := newOutlook(&e, &l)
	c := o.newCourse(r)
	o.prefillFirst(&c)
	slowness := max(bounded(l.Slowness), 1)
	p := Prediction{First: seconds(slowness * c.first), End: seconds(slowness * c.first)}
	if o.running > 0 {
		p.AddedGap = seconds(slowness * o.addedPrefill(c, r))
	}
	if o.running+o.prefilling+o.waiting > 0 {
		p.AddedDelay = seconds(slowness * c.prefill)
	}
	return p
}

// newCourse returns the course of a request that has not begun.
func (o *outlook) newCourse(r Request) course {
	parts := r.parts()
	prompt := max(bounded(float64(r.Prompt)), 1)
	c := course{prompt: prompt / parts, prefill: o.engine.prefillSeconds(prompt, 0) / parts}
	c.iterations = max(1, o.iterations(c.prompt))
	return c
}

// begin returns the course of the new request until its first event.
func (o *outlook) begin(r Request) course {
	e := o.engine
	c := o.newCourse(r)
	ends := o.running + o.prefilling + o.waiting + 1 - e.slots
	switch {
	case r.Helpers > 0 && ends <= 0:
		o.prefillFirst(&c)
		return c
	case o.running == 0:
		o.beginWithoutGenerating(&c, ends)
		return c
	}
	// The iteration that runs now is half over in the mean, and so is its prefill, which counts as pending until it ends.
	start := 1.0
	if ends > 0 {
		start = o.release(ends)
	}
	start = o.awaitMemory(start, c.prompt)
	iterations := max(start+c.iterations, 1+o.iterations(o.tokens+c.prompt))
	c.begin = iterations * e.stride
	started := min(o.prefilling+o.meanStarted(ends), e.slots)
	generating, context := o.mean(0, c.begin)
	generating = min(generating+started, e.slots)
	context += started * (o.meanAhead() + min(c.begin, e.usualOutput)/4)
	c.first = (iterations-0.5)*e.stride*e.stepSeconds(generating, context, o.joint) + o.prefill - o.prefillNow()/2 + c.prefill
	return c
}

// meanStarted returns how many of the waiting requests generate in the mean until the new one gets its slot: they get theirs evenly,
// and generate when they are prefilled.
func (o *outlook) meanStarted(ends float64) float64 {
	e := o.engine
	if ends <= 0 || o.waiting <= 0 {
		return o.waiting / 2
	}
	slots := o.waiting / 2
	if o.waiting > e.slots {
		slots = e.slots - e.slots*e.slots/(2*o.waiting)
	}
	return slots * min(1, e.usualOutput/(o.hold()*e.stride))
}

// beginWithoutGenerating sets the course of a request at an engine on which nothing generates yet. Until the first of the pending
// prompts is prefilled, iterations have one step.
func (o *outlook) beginWithoutGenerating(c *course, ends float64) {
	e := o.engine
	single, rest := o.tokens+c.prompt, 0.0
	if o.prefilling > 0 {
		single = o.tokens / o.prefilling
		rest = o.tokens - single + c.prompt
	}
	c.first = o.singleSteps(single) + o.prefill - o.prefillNow()/2 + c.prefill
	if rest > 0 {
		iterations := max(1, o.iterations(rest))
		if ends > 0 {
			iterations = max(iterations, o.release(ends)+c.iterations)
		}
		c.begin = iterations * e.stride
		generating := min(o.prefilling+o.meanStarted(ends), e.slots)
		c.first += c.begin * e.stepSeconds(generating, generating*o.meanAhead(), o.joint)
	}
}

// singleSteps returns the time of the steps in which a number of prompt tokens is prefilled without generating requests, the
// prefill not included.
func (o *outlook) singleSteps(tokens float64) float64 {
	if math.IsInf(o.engine.chunk, 1) {
		return o.engine.step
	}
	return math.Ceil(tokens/o.engine.chunk) * o.engine.step
}

// prefillFirst sets the course of a part that goes before the pending prefill, as soon as the iteration that runs now is over.
func (o *outlook) prefillFirst(c *course) {
	e := o.engine
	if o.running == 0 {
		c.first = o.prefillNow()/2 + o.singleSteps(c.prompt) + c.prefill
		return
	}
	iteration := e.stride * e.stepSeconds(o.running, o.running*o.context, o.joint)
	c.begin = (1 + c.iterations) * e.stride
	c.first = (iteration+o.prefillNow())/2 + c.iterations*iteration + c.prefill
}

// prefillIn returns the time of a number of tokens of the pending prefill.
func (o *outlook) prefillIn(tokens float64) float64 {
	if o.tokens <= 0 {
		return 0
	}
	return o.prefill * min(tokens/o.tokens, 1)
}

// prefillNow returns the prefill time of the iteration that runs now. Waiting requests have no part in it.
func (o *outlook) prefillNow() float64 {
	tokens, budget := o.tokens, o.budget()
	if n := o.prefilling + o.waiting; n > 0 {
		tokens *= o.prefilling / n
	}
	if o.running == 0 {
		budget = o.engine.chunk
	}
	return o.prefillIn(min(tokens, budget))
}

// addedPrefill returns by how much the longest prefill of one iteration grows with the new request. The iterations before it are
// taken as full of pending prefill, so its prompt begins beside what is left of that.
func (o *outlook) addedPrefill(c course, r Request) float64 {
	budget := o.budget()
	before := o.prefillIn(min(o.tokens, budget))
	beside := 0.0
	if o.tokens > 0 && !math.IsInf(budget, 1) && r.Helpers == 0 {
		beside = math.Mod(o.tokens, budget)
	}
	if c.prompt+beside <= budget {
		return max(c.prefill+o.prefillIn(beside)-before, 0)
	}
	// Of the iterations that the prompt fills, the last has the most pairs, and the one after it prefills the rest.
	part := func(tokens, earlier float64) float64 {
		parts := r.parts()
		return o.engine.prefillSeconds(tokens, earlier*parts+tokens*(parts-1)/2)
	}
	head := budget - beside
	full := math.Floor((c.prompt - head) / budget)
	longest := max(part(head, 0)+o.prefillIn(beside), part(c.prompt-head-full*budget, head+full*budget))
	if full > 0 {
		longest = max(longest, part(budget, head+(full-1)*budget))
	}
	return max(longest-before, 0)
}

// maxEnds bounds how many ends of requests a prediction looks ahead for memory.
const maxEnds = 64

// awaitMemory returns the iteration from start on at which the engine has memory for a prompt.
func (o *outlook) awaitMemory(start, prompt float64) float64 {
	for range maxEnds {
		at := start * o.engine.stride
		if o.remaining(at) == 0 || o.contextAt(at)+o.tokens+prompt <= o.engine.memory {
			break
		}
		start = math.Ceil((o.ended(at) + 1) * o.interval / o.engine.stride)
	}
	return start
}

// preemption reports whether the engine has too little memory at a time between the begin of the new request and its end, and how
// many token steps pass until one of the others has ended.
func (o *outlook) preemption(c course, ahead, output float64) (float64, bool) {
	memory := o.engine.memory - ahead*o.meanAhead() - c.prompt
	if o.contextAt(c.begin)+o.remaining(c.begin)*output+ahead*min(output, o.engine.usualOutput)+output <= memory {
		return 0, false
	}
	ended := o.ended(c.begin)
	for range maxEnds {
		left := o.running - ended
		full := (memory - left*o.context + c.begin*(ahead+1)) / (left + ahead + 1) // when the memory is used up if none ends before
		next := (ended + 1) * o.interval
		switch {
		case full >= c.begin+output:
			return 0, false
		case left <= 0 || full < next:
			return max(next-max(full, c.begin), 0), true
		}
		ended++
	}
	return 0, false
}

// maxSeconds keeps durations in range.
const maxSeconds = 1e9

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
