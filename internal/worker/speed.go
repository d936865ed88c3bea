package worker

import (
	"math"
	"time"
)

const (
	// speedMemory is the time constant with which evidence of speed is forgotten. It is the time in which a server that gets
	// little work is given work again to show that it has recovered. When there is more evidence than enoughWeight, new evidence
	// replaces it sooner, so that what was measured before a change does not hide it: at 2 s, an engine that answered 7 requests a second was
	// noticed to be four times slower after 1.75 s.
	speedMemory    = 2 * time.Second
	minSpeedMemory = speedMemory / 8
	enoughWeight   = 8
	// maxSlowness bounds the ratio that one answer counts with, so that one very late answer does not outweigh others.
	maxSlowness = 6
	// minSlowWeight is the weight of the evidence below which no server counts as slow: that of three answers. The pauses of one
	// answer reach at most speedMemory in seconds, 2, and its first event adds 1 only before them.
	minSlowWeight = 3
	// minSlowSignificance is how often the mean of the logarithms must exceed the error of a mean of such logarithms, whose standard
	// deviation is about speedNoise in a loaded fleet.
	minSlowSignificance = 2.4
	speedNoise          = 0.5
	// minSlowRatio is the ratio below which a server counts as being as fast as predicted. With 1.35, up to 8 % of the plain servers
	// of a fleet of equal ones at 78 % of its slots counted as slow, since queues grow and shrink.
	minSlowRatio = 1.5
	// calibrationStep is how far one piece of evidence of weight 1 moves a Calibration.
	calibrationStep = 0.05
)

// SpeedEvidence is a sum of logarithms of the ratios of measured to predicted times, and of their weights. An answer has the
// weight 1.
type SpeedEvidence struct{ Weight, LogSum float64 }

// Add adds other evidence, or subtracts it with a sign of -1.
func (e *SpeedEvidence) Add(other SpeedEvidence, sign float64) {
	e.Weight += sign * other.Weight
	e.LogSum += sign * other.LogSum
}

// Slowness returns how many times more slowly than predicted a backend server answers: 1 as long as the evidence does not
// show that it is slower.
func (e SpeedEvidence) Slowness() float64 {
	if e.Weight < minSlowWeight || e.Suspicion() < minSlowSignificance {
		return 1
	}
	ratio := math.Exp(e.LogSum / e.Weight)
	if ratio < minSlowRatio {
		return 1
	}
	return min(ratio, maxSlowness)
}

// Suspicion returns the mean of the logarithms in units of its standard error. It is positive if the server seems to be slow.
func (e SpeedEvidence) Suspicion() float64 {
	if e.Weight <= 0 {
		return 0
	}
	return e.LogSum / math.Sqrt(e.Weight) / speedNoise
}

// Speed is the evidence that one process has of the speed of a backend server. The older it is, the less it counts.
type Speed struct {
	evidence SpeedEvidence
	at       time.Time
}

// Record adds the logarithm of the ratio of a measured to a predicted time. processes is the number of processes that have
// about as much evidence.
func (s *Speed) Record(now time.Time, logRatio, weight float64, processes int) {
	limit := math.Log(maxSlowness)
	excess := max(s.evidence.Weight*float64(processes)/enoughWeight, 1)
	s.evidence = s.left(now, max(time.Duration(float64(speedMemory)/(excess*excess)), minSpeedMemory))
	s.evidence.Add(SpeedEvidence{Weight: weight, LogSum: weight * min(max(logRatio, -limit), limit)}, 1)
	s.at = now
}

// Undecayed returns the evidence as of the last record. What is left of it never shows a slow server if it does not.
func (s *Speed) Undecayed() SpeedEvidence { return s.evidence }

// Evidence returns what is left of the evidence.
func (s *Speed) Evidence(now time.Time) SpeedEvidence { return s.left(now, speedMemory) }

func (s *Speed) left(now time.Time, memory time.Duration) SpeedEvidence {
	if s.evidence.Weight == 0 {
		return SpeedEvidence{}
	}
	keep := math.Exp(-max(now.Sub(s.at), 0).Seconds() / memory.Seconds())
	return SpeedEvidence{Weight: keep * s.evidence.Weight, LogSum: keep * s.evidence.LogSum}
}

// Calibration follows the median of the logarithms of ratios for all backend servers of a service. An error of the prediction
// that all of them share says nothing about one of them.
type Calibration struct {
	median float64
	known  bool
}

// Known reports whether there has been a value.
func (c *Calibration) Known() bool { return c.known }

// Median returns the median, which is 0 before the first value.
func (c *Calibration) Median() float64 { return c.median }

// Adjust returns a logarithm relative to the median, and counts it for the median. A prediction that has no unit of its own
// takes the first value as the median; others start at 0.
func (c *Calibration) Adjust(logRatio, weight float64, absolute bool) float64 {
	if absolute && !c.known {
		c.median = logRatio
	}
	c.known = true
	adjusted := logRatio - c.median
	switch {
	case adjusted > 0:
		c.median += min(calibrationStep*weight, adjusted)
	case adjusted < 0:
		c.median += max(-calibrationStep*weight, adjusted)
	}
	return adjusted
}
