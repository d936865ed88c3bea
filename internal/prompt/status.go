package prompt

// QueuedByClass returns the number of queued requests of each class, for status reports.
func (s *Scheduler) QueuedByClass() map[Class]int {
	counts := make(map[Class]int, numClasses)
	for c := range numClasses {
		counts[c] = len(s.queues[c])
	}
	return counts
}
