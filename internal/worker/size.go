package worker

// size is the size of a window. It starts at the cold limits and grows with completed work up to the warm limits.
type size struct {
	cold, warm, limits Limits
	// growthFraction is the fraction of completed work by which the window grows. requestCredit accumulates
	// fractions of a request until they add up to a whole one.
	growthFraction, requestCredit float64
}

func newSize(cold, warm Limits) size {
	return size{cold: cold, warm: raise(warm, cold), limits: cold, growthFraction: 1}
}

// raise returns the larger of two limits of each kind.
func raise(a, b Limits) Limits {
	return Limits{Tokens: max(a.Tokens, b.Tokens), Requests: max(a.Requests, b.Requests)}
}

// setBounds changes the cold and warm limits. The window keeps its current size within the new bounds.
func (s *size) setBounds(cold, warm Limits) {
	s.cold, s.warm = cold, raise(warm, cold)
	s.limits.Tokens = min(max(s.limits.Tokens, s.cold.Tokens), s.warm.Tokens)
	s.limits.Requests = min(max(s.limits.Requests, s.cold.Requests), s.warm.Requests)
}

// halfUsed reports whether at least half of the window is in use. A mostly idle window proves no capacity.
func (s *size) halfUsed(inFlight Limits) bool {
	return 2*inFlight.Tokens >= s.limits.Tokens || 2*inFlight.Requests >= s.limits.Requests
}

// grow grows the window by the growth fraction of a completed request.
func (s *size) grow(tokens int64) {
	s.limits.Tokens = min(s.limits.Tokens+int64(float64(tokens)*s.growthFraction), s.warm.Tokens)
	s.requestCredit += s.growthFraction
	whole := int(s.requestCredit)
	s.requestCredit -= float64(whole)
	s.limits.Requests = min(s.limits.Requests+whole, s.warm.Requests)
}
