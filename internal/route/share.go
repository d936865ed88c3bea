package route

// Share is the part of a route's requests that goes to one service. A weight of zero or less is a share of none.
type Share struct {
	Service string
	Weight  int
}

// Allows reports whether requests of the route may go to a service: whether it has a share with a positive weight.
func (r *Route) Allows(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// ChooseService draws a service by the weights of the shares. Services that are not usable are left out while another one
// of the route is usable; a share of none stays one also then. draw returns a random number from zero up to a bound, which it
// does not reach. ChooseService returns false if no share has a positive weight.
func (r *Route) ChooseService(draw func(bound int) int, usable func(service string) bool) (string, bool) {
	if service, ok := r.drawService(draw, usable); ok {
		return service, true
	}
	return r.drawService(draw, func(string) bool { return true })
}

// drawService draws one of the services for which eligible returns true.
func (r *Route) drawService(draw func(bound int) int, eligible func(service string) bool) (string, bool) {
	total := 0
	for _, s := range r.Shares {
		if s.Weight > 0 && eligible(s.Service) {
			total += s.Weight
		}
	}
	if total == 0 {
		return "", false
	}
	n := draw(total)
	for _, s := range r.Shares {
		if s.Weight <= 0 || !eligible(s.Service) {
			continue
		}
		if n -= s.Weight; n < 0 {
			return s.Service, true
		}
	}
	return "", false
}
