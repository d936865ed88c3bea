// Package prompt schedules the inference requests of one backend server. It sorts requests into length classes by
// their uncached prompt tokens and predicts each request's time to first token and completion time from the queued
// and running work. A request that cannot finish by its deadline is refused at once. A share of memory, window and
// prefill is reserved for short requests. A Scheduler is used by one goroutine, its owner; it reads no clock and starts
// no goroutine.
package prompt

import "fmt"

// Class is the length class of a request.
type Class int

// The classes, in scheduling order.
const (
	Short Class = iota
	Medium
	Long
	numClasses
)

// String returns the class as one word.
func (c Class) String() string {
	switch c {
	case Short:
		return "short"
	case Medium:
		return "medium"
	case Long:
		return "long"
	}
	return fmt.Sprintf("class(%d)", int(c))
}

// ClassBounds holds the largest number of uncached prompt tokens of the short and medium classes. Longer prompts are
// Long.
type ClassBounds struct{ Short, Medium int64 }

// DefaultClassBounds are the class bounds without WithClassBounds.
var DefaultClassBounds = ClassBounds{Short: 8_000, Medium: 100_000}

// ClassOf returns the class of a prompt with this many uncached tokens.
func (b ClassBounds) ClassOf(uncached int64) Class {
	switch {
	case uncached <= b.Short:
		return Short
	case uncached <= b.Medium:
		return Medium
	}
	return Long
}

const (
	// maxPriority is the highest priority that a request can declare; higher values are clamped to it.
	maxPriority = 1000
	// priorityStep is the distance between the engine priorities of two classes, so that no declared priority ranks
	// a request above a shorter class.
	priorityStep = maxPriority + 1
)

// enginePriority maps class and declared priority to the engine's priority; the engine prefers higher values.
func enginePriority(c Class, priority int) int {
	return int(numClasses-1-c)*priorityStep + min(max(priority, 0), maxPriority)
}
