package fleet

import (
	"math"
	"slices"
	"time"

	"berylward.example/berylward/pkg/answer"
)

const (
	// loadHalfLife is the half-life of an estimate above the fleet mean. It is about as long as a short request
	// takes, and makes a worker that was full a candidate again.
	loadHalfLife = 4 * time.Second
	// idleHalfLife is the half-life of an estimate below the fleet mean. Workers send `state` on change, so silence
	// confirms that a worker is idle. With equal half-lives, the worker that reported idle last looks best to every
	// entry at once.
	idleHalfLife = time.Minute
	// fleetMeanGain is the weight of one observation in the fleet mean.
	fleetMeanGain = 0.05
	// defaultLoad is the estimate for a worker when there is no observation of any worker.
	defaultLoad = 0.5
	// maxLoadAfterGrant is the highest estimate after a grant: the worker had room for at least one more request.
	maxLoadAfterGrant = 0.95
	// queueStep is added to the load of a full worker for each position in its queue.
	queueStep = 0.1
	// maxRetryAfter limits a retry hint, so that a wrong hint cannot take a worker out of use for long.
	maxRetryAfter = 30 * time.Second
	// defaultWindow is the window in tokens that is assumed until a worker reports its own. It is about what an
	// engine with a cold cache accepts. A low value spreads the first requests over more workers.
	defaultWindow = 64 << 10
)

// Status is the readiness that a worker reports.
type Status string

// The values of Status.
const (
	StatusServing  Status = "serving"
	StatusDraining Status = "draining"
	StatusDown     Status = "down"
)

// Report is the content of a `state` message.
type Report struct {
	Status Status
	// Window is the worker's admission window in tokens.
	Window int64
	// Fullness is the used share of the window. It exceeds 1 when requests are queued.
	Fullness float64
	// WarmModels are the models that can serve immediately; nil means unknown.
	WarmModels []string
}

// Refusal is the content of a `refused` message.
type Refusal struct {
	Reason answer.Reason
	// RetryAfter is the worker's retry hint; zero means none.
	RetryAfter time.Duration
	// Fullness is as in Report; zero means unknown.
	Fullness float64
}

// load is the estimate of one worker's load.
type load struct {
	known    bool
	fullness float64
	updated  time.Time
	window   int64
	// reports counts the observations of fullness. An observation includes every attempt answered before it.
	reports uint64
	// unreportedTokens is the number of tokens of this entry's attempts that the latest observation does not include.
	unreportedTokens int64
	// Until notBefore, requests of refusedTokens or more are not sent to the worker.
	notBefore     time.Time
	refusedTokens int64
}

// fleetMean is the mean of recent observations over all workers. Estimates decay towards it. If they decayed to zero,
// a worker that was full long ago would look better than one that is known to be half full.
type fleetMean struct {
	known bool
	mean  float64
}

func (m *fleetMean) observe(fullness float64) {
	if !m.known {
		m.known, m.mean = true, fullness
		return
	}
	m.mean += fleetMeanGain * (fullness - m.mean)
}

func (m *fleetMean) value() float64 {
	if !m.known {
		return defaultLoad
	}
	return m.mean
}

func (l *load) windowTokens() float64 {
	if l.window > 0 {
		return float64(l.window)
	}
	return defaultWindow
}

// decayedFullness returns the fullness, decayed by its age towards the mean. It excludes the entry's attempts since
// the last observation.
func (l *load) decayedFullness(now time.Time, mean float64) float64 {
	if !l.known {
		return mean
	}
	halfLife := loadHalfLife
	if l.fullness < mean {
		halfLife = idleHalfLife
	}
	age := max(now.Sub(l.updated), 0)
	return mean + (l.fullness-mean)*math.Exp2(-float64(age)/float64(halfLife))
}

// observe records a reported fullness, which includes all answered attempts of this entry.
func (l *load) observe(now time.Time, fullness float64, unanswered int64) {
	l.known, l.fullness, l.updated = true, max(fullness, 0), now
	l.reports++
	l.unreportedTokens = unanswered
}

// clamp moves the estimate into [low, high]. An estimate that is already in this range keeps its age.
func (l *load) clamp(now time.Time, mean, low, high float64) {
	if f := l.decayedFullness(now, mean); f < low || f > high {
		l.known, l.fullness, l.updated = true, min(max(f, low), high), now
	}
}

func (l *load) blocked(now time.Time, tokens int64) bool {
	return now.Before(l.notBefore) && tokens >= l.refusedTokens
}

func (l *load) recordRefusal(now time.Time, retryAfter time.Duration, tokens int64) {
	until := now.Add(min(retryAfter, maxRetryAfter))
	if now.Before(l.notBefore) {
		tokens = min(tokens, l.refusedTokens)
	}
	if until.After(l.notBefore) {
		l.notBefore = until
	}
	l.refusedTokens = tokens
}

// estimate returns the load that Choose compares, in windows. It is never below the load of this entry's own
// attempts.
func (w *worker) estimate(now time.Time, mean float64) float64 {
	window := w.load.windowTokens()
	own := float64(w.inflight.tokens) / window
	return max(w.load.decayedFullness(now, mean)+float64(w.load.unreportedTokens)/window, own)
}

// Report records a `state` message.
func (v *View) Report(now time.Time, name string, r Report) {
	w := v.workers[name]
	if w == nil {
		return
	}
	w.draining, w.down = r.Status == StatusDraining, r.Status == StatusDown
	// An engine that went down, or whose window fell to half or less, has a cold cache.
	if w.down || r.Window > 0 && r.Window <= w.load.window/2 {
		w.cacheEpoch++
	}
	if r.Window > 0 {
		w.load.window = r.Window
	}
	w.warmModels = slices.Clone(r.WarmModels)
	if w.down {
		return
	}
	w.load.observe(now, r.Fullness, w.inflight.unanswered)
	v.fleetMean.observe(r.Fullness)
	if r.Fullness < maxLoadAfterGrant {
		w.load.notBefore = time.Time{}
	}
}
