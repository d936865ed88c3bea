package dispatch

// States returns the number of incarnations of backend servers that the planner holds a state of.
func (p *Planner) States() int { return len(p.states) }
