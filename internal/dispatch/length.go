package dispatch

import (
	"math"
	"time"
)

// LengthClasses is the number of classes of long prompts by their prefill time. Each is centred at twice the prefill time of the
// class before, the first at the longest prefill of a short prompt. Ten classes reach prompts of more than a million tokens.
const LengthClasses = 10

// PrefillByLength is prefill time on one engine by the length of the prompts. A prompt between the centres of two classes
// counts for both in proportion, so that no boundary separates prompts of nearly the same length.
type PrefillByLength [LengthClasses]time.Duration

// lengthPosition returns the class of a prompt with a prefill time, and its part in the next class.
func lengthPosition(prefill time.Duration) (class int, next float64) {
	octaves := math.Log2(prefill.Seconds() / maxShortPrefill.Seconds())
	octaves = min(max(octaves, 0), LengthClasses-1)
	class = min(int(octaves), LengthClasses-2)
	return class, octaves - float64(class)
}

// Add adds work of prompts of the length of one with a prefill time.
func (l *PrefillByLength) Add(prefill, work time.Duration) {
	class, next := lengthPosition(prefill)
	upper := scale(work, next)
	l[class] += work - upper
	l[class+1] += upper
}

// addAll adds the prefill of all prompts of another sum.
func (l *PrefillByLength) addAll(other *PrefillByLength) {
	for c := range l {
		l[c] += other[c]
	}
}

// near returns the prefill of prompts of about the length of one with a prefill time.
func (l *PrefillByLength) near(prefill time.Duration) time.Duration {
	class, next := lengthPosition(prefill)
	return scale(l[class], 1-next) + scale(l[class+1], next)
}

// scale multiplies all classes by a factor.
func (l *PrefillByLength) scale(factor float64) {
	for c := range l {
		l[c] = scale(l[c], factor)
	}
}

// Total returns the prefill of prompts of all lengths.
func (l *PrefillByLength) Total() time.Duration {
	var total time.Duration
	for _, d := range l {
		total += d
	}
	return total
}

// scale multiplies a duration by a factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
