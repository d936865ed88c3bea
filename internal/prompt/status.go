package prompt

// QueuedByClass returns the number of queued requests of each class, for status reports.
func (s *Scheduler) QueuedByClass() map[Class]int {
	waiting := make(map[Class]int, numClasses)
	for c := range numClasses {
		waiting[c] = len(s.queues[c])
	}
	return waiting
}
