package dispatch

import "time"

// shortGeneration and longGeneration are how many times longer than its steps an engine with other requests takes for most
// answers, by the class of the prompt. Prefills between the steps make the difference, and long prompts meet more of them.
const (
	shortGeneration = 1
	longGeneration  = 2
)

// retryAfterEnding is the delay suggested to the caller of a request that another gateway can serve, because this one ends.
const retryAfterEnding = 20 * time.Millisecond

// limitToCompletion replaces a placement with which the answer would probably not be complete by the time that the profile
// sets. It is decided again whenever a held request is placed, so a request is held only while its time suffices.
func limitToCompletion(now time.Time, profile RequestProfile, placement Placement) Placement {
	if profile.CompleteBy.IsZero() {
		return placement
	}
	var firstEvent time.Duration
	switch d := placement.(type) {
	case NoPlacement:
		return d
	case Send:
		firstEvent = d.Expected
		if profile.Engine == nil {
			firstEvent = profile.serviceTime()
		}
	case JointPrefill:
		firstEvent = d.Expected
	case Hold:
		// Nothing is expected for a prompt that waits for memory.
		firstEvent = max(d.Delay, d.Expected, profile.fastestPrefill()) + d.Queue.Wait
	}
	if now.Add(firstEvent + profile.answerTime()).After(profile.CompleteBy) {
		return NoPlacement{Reason: EndsTooLate, RetryAfter: retryAfterEnding}
	}
	return placement
}

// fastestPrefill returns how long as many idle engines as possible take to prefill the prompt; zero for a plain service.
func (p RequestProfile) fastestPrefill() time.Duration { return p.PrefillTime() / maxJointEngines }

// answerTime returns how long an engine with other requests takes to generate the answer after its first event; zero for a
// plain service.
func (p RequestProfile) answerTime() time.Duration {
	if p.Engine == nil {
		return 0
	}
	factor := time.Duration(longGeneration)
	if p.Short() {
		factor = shortGeneration
	}
	if p.Engine.StepsPerIteration == 0 {
		return factor * time.Duration(p.Answer) * p.Engine.StepTime
	}
	return factor * time.Duration(p.Answer) * iterationTime / time.Duration(p.Engine.StepsPerIteration)
}
