package model

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a model under steady traffic that never gets its new version, against closing a model before its
// slot, and against a model that stays closed.
func TestClosed(t *testing.T) {
	v1, tuned := Model{Name: "a", Version: "1"}, Model{Name: "a", Version: "1", Adapters: []Adapter{{Name: "t"}}}
	withPacing := func(d Desired) Desired { d.Workers, d.LoadsPerSecond = 1000, 1; return d }
	tests := map[string]struct {
		desired                        Desired
		loaded                         Model
		inUse                          []string
		closed, adapterClosed, ordered bool
		afterSlot                      bool
	}{
		"version in use":                        {want(5, Model{Name: "a", Version: "2"}), v1, []string{"a"}, true, true, false, false},
		"version before its slot":               {withPacing(want(5, Model{Name: "a", Version: "2"})), v1, []string{"a"}, false, false, false, false},
		"version after its slot":                {withPacing(want(5, Model{Name: "a", Version: "2"})), v1, []string{"a"}, true, true, false, true},
		"order for a version sent":              {want(5, Model{Name: "a", Version: "2"}), v1, nil, true, true, true, false},
		"adapter in use":                        {want(5, v1), tuned, []string{"a", "a:t"}, false, true, false, false},
		"adapter not in use":                    {want(5, v1), tuned, []string{"a"}, false, true, true, false},
		"new adapter while the model is in use": {want(5, tuned), v1, []string{"a"}, false, false, true, false},
		"role in use":                           {Desired{Generation: 5, Models: []Model{v1}, Role: "decode"}, v1, []string{"a"}, true, true, false, false},
		"as desired":                            {want(5, v1), v1, []string{"a"}, false, false, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner(start, rand.NewPCG(1, 2))
			p.Adopt(start, tt.desired)
			s := Status{Models: []Model{tt.loaded}, InUse: tt.inUse}
			orders := p.Plan(start, s)
			if tt.afterSlot {
				orders = p.Plan(p.NextPlanTime(), s)
				orders = append(orders, p.Plan(start.Add(2*time.Hour), s)...)
			}
			assert.Equal(t, len(orders) > 0, tt.ordered)
			assert.Equal(t, p.RefusesWork("a", ""), tt.closed)
			assert.Equal(t, p.RefusesWork("a", "t"), tt.adapterClosed)
			s.Models, s.Role, s.InUse = tt.desired.Models, tt.desired.Role, nil
			p.Plan(start.Add(3*time.Hour), s)
			assert.Assert(t, !p.RefusesWork("a", "t"), "still closed after the change")
		})
	}
}

// Guards against a sidecar that goes on sending orders although the engine follows another sidecar, and against a
// sidecar that never sends any again.
func TestFenced(t *testing.T) {
	tests := map[string]struct {
		adopt  Desired
		status Status
		orders int
	}{
		"same fencing number":  {want(5, Model{Name: "a", Version: "2"}), Status{}, 0},
		"newer fencing number": {want(6, Model{Name: "a", Version: "2"}), Status{}, 1},
		"engine restart":       {want(5, Model{Name: "a", Version: "2"}), Status{Incarnation: "new"}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner(start, rand.NewPCG(1, 2))
			p.Adopt(start, want(5, Model{Name: "a", Version: "1"}))
			assert.Equal(t, len(p.Plan(start, Status{})), 1)
			p.OrderFenced(1)
			p.Adopt(start, tt.adopt)
			assert.Equal(t, len(p.Plan(start.Add(time.Hour), tt.status)), tt.orders)
		})
	}
}
