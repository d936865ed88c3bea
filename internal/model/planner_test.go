package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func want(generation uint64, models ...Model) Desired {
	return Desired{Generation: generation, Models: models}
}

// applyOrder applies an order the way an engine does that ignores the fencing number.
func applyOrder(s *Status, o Order) {
	drop := func(model string) {
		s.Models = slices.DeleteFunc(slices.Clone(s.Models), func(m Model) bool { return m.Name == model })
	}
	at := func(model string) int {
		return slices.IndexFunc(s.Models, func(m Model) bool { return m.Name == model })
	}
	switch o := o.(type) {
	case Load:
		drop(o.Model)
		s.Models = append(s.Models, Model{Name: o.Model, Version: o.Version})
	case Unload:
		drop(o.Model)
	case LoadAdapter:
		if i := at(o.Model); i >= 0 {
			s.Models[i].Adapters = append(slices.Clone(s.Models[i].Adapters), o.Adapter)
		}
	case UnloadAdapter:
		if i := at(o.Model); i >= 0 {
			s.Models[i].Adapters = slices.DeleteFunc(slices.Clone(s.Models[i].Adapters), func(a Adapter) bool { return a.Name == o.Adapter })
		}
	case SetRole:
		s.Role = o.Role
	}
}

// Guards against wrong, repeated or missing orders. Each step calls Plan with a status at a given time.
func TestPlan(t *testing.T) {
	a1, a2 := Model{Name: "a", Version: "1"}, Model{Name: "a", Version: "2"}
	tuned := Model{Name: "a", Version: "1", Adapters: []Adapter{{"t", "1"}}}
	header := func(seq uint64, revert bool) OrderHeader { return OrderHeader{Fence{5, start}, seq, revert} }
	type step struct {
		// adopt and reject are applied before Plan. reject is the sequence of a refused order.
		adopt  *Desired
		reject uint64
		after  time.Duration
		status Status
		want   []Order
	}
	at := func(after time.Duration, s Status, orders ...Order) step {
		return step{after: after, status: s, want: orders}
	}
	has := func(models ...Model) Status { return Status{Models: models} }
	load := func(seq uint64, revert bool, version string) Load { return Load{header(seq, revert), "a", version} }
	newer := want(6, a2)
	tests := map[string]struct {
		desired Desired
		steps   []step
	}{
		"nothing to do": {want(5, a1), []step{at(0, has(a1))}},
		"one at a time": {want(5, tuned), []step{at(0, has(), load(1, false, "1")), at(1, has()),
			at(2, has(a1), LoadAdapter{header(2, false), "a", Adapter{"t", "1"}}), at(3, has(tuned))}},
		"retry after timeout": {want(5, a1), []step{at(0, has(), load(1, false, "1")), at(loadTimeout, has(), load(2, false, "1")),
			at(2*loadTimeout, has()), at(3*loadTimeout, has(), load(3, false, "1"))}},
		"retry after refusal": {want(5, a1), []step{at(0, has(), load(1, false, "1")), {reject: 1, after: orderTimeout - 1, status: has()},
			at(orderTimeout, has(), load(2, false, "1"))}},
		"unload first":                        {want(5, a1), []step{at(0, has(Model{Name: "b"}), Unload{header(1, false), "b"})}},
		"wait for streams to end":             {want(5, a2), []step{at(0, Status{Models: []Model{a1}, InUse: []string{"a"}}), at(1, has(a1), load(1, false, "2"))}},
		"late load of an earlier incarnation": {want(5, a2), []step{at(0, has(a2)), at(1, has(a1), load(1, true, "2")), at(2, has(a2))}},
		"late load of another model":          {want(5, a1), []step{at(0, has(a1)), at(1, has(a1, Model{Name: "b"}), Unload{header(1, true), "b"})}},
		"late unload":                         {want(5, a1), []step{at(0, has(a1)), at(1, has(), load(1, true, "1"))}},
		"new generation during a load": {want(5, a1), []step{at(0, has(), load(1, false, "1")), {adopt: &newer, after: 1, status: has()},
			at(2, has(a1), Load{OrderHeader{Fence{6, start}, 2, false}, "a", "2"})}},
		"engine restarted":                    {want(5, a1), []step{at(0, Status{Incarnation: "x", Models: []Model{a1}}), at(1, Status{Incarnation: "y"}, load(1, false, "1"))}},
		"later sidecar":                       {want(5, a1), []step{at(0, Status{Fence: Fence{5, start.Add(1)}})}},
		"newer generation of another sidecar": {want(5, a1), []step{at(0, Status{Fence: Fence{6, start.Add(-1)}})}},
		"role":                                {Desired{Generation: 5, Role: "prefill"}, []step{at(0, Status{Role: "decode"}, SetRole{header(1, false), "prefill"})}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner(start, rand.NewPCG(1, 2))
			assert.Equal(t, p.Adopt(start, tt.desired), Adopted{})
			assert.Equal(t, p.Adopt(start, want(4)), Stale{5})
			for _, s := range tt.steps {
				if s.adopt != nil {
					p.Adopt(start, *s.adopt)
				}
				p.OrderRejected(start, s.reject)
				if s.reject > 0 {
					assert.Equal(t, p.NextPlanTime(), start.Add(orderTimeout))
				}
				assert.DeepEqual(t, p.Plan(start.Add(s.after), s.status), s.want)
			}
		})
	}
}

// Guards against an engine that does not reach the desired state after late orders of an earlier incarnation.
func TestLateOrdersReverted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Model {
			m := Model{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "model"), Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")}
			if rapid.Bool().Draw(t, "tuned") {
				m.Adapters = []Adapter{{"t", "1"}}
			}
			return m
		}), 0, 3, func(m Model) string { return m.Name })
		former, p := NewPlanner(start.Add(-time.Hour), rand.NewPCG(1, 1)), NewPlanner(start, rand.NewPCG(2, 2))
		former.Adopt(start, Desired{Generation: 4, Models: models.Draw(t, "former"), Role: "decode"})
		p.Adopt(start, Desired{Generation: 5, Models: models.Draw(t, "desired"), Role: "prefill"})
		var s Status
		now, late := start, rapid.IntRange(0, 12).Draw(t, "late orders")
		for range 60 {
			now = now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Hour}).Draw(t, "pass"))
			if late > 0 {
				late--
				for _, o := range former.Plan(now, s) {
					applyOrder(&s, o)
				}
			}
			orders := p.Plan(now, s)
			if len(orders) > 1 {
				t.Fatalf("Plan returned %d orders", len(orders))
			}
			if len(orders) == 1 && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
				applyOrder(&s, orders[0])
			}
		}
		for range 40 {
			now = now.Add(time.Hour)
			for _, o := range p.Plan(now, s) {
				applyOrder(&s, o)
			}
		}
		if changes := requiredChanges(*p.desired, s); len(changes) > 0 {
			t.Fatalf("status %+v, differences %+v", s, changes)
		}
	})
}

// Guards against exceeding the limit of the weight store when all workers load at the same time. The limit is the
// declared rate with a burst of 3*sqrt(workers), which is the bound that loadPacer guarantees.
func TestLoadPacer(t *testing.T) {
	const workers, rate = 1200, 10.0
	tests := map[string]struct{ models int }{"one model each": {1}, "three models each": {3}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var loads []float64
			for i := range workers {
				p := NewPlanner(start, rand.NewPCG(uint64(i), 7))
				d := Desired{Generation: 1, Workers: workers, LoadsPerSecond: rate}
				for m := range tt.models {
					d.Models = append(d.Models, Model{Name: string(rune('a' + m))})
				}
				// Half of the workers adopt the generation a minute later, as when it spreads slowly.
				now := start.Add(time.Duration(i%2) * time.Minute)
				p.Adopt(now, d)
				var s Status
				for len(s.Models) < tt.models {
					orders := p.Plan(now, s)
					for _, o := range orders {
						applyOrder(&s, o)
						loads = append(loads, now.Sub(start).Seconds())
						now = now.Add(20 * time.Second)
					}
					if len(orders) == 0 {
						now = p.NextPlanTime().Add(time.Duration(i%7) * 100 * time.Millisecond)
					}
				}
			}
			slices.Sort(loads)
			lowest, excess := math.Inf(1), 0.0
			for i, at := range loads {
				lowest = min(lowest, float64(i)-rate*at)
				excess = max(excess, float64(i+1)-rate*at-lowest)
			}
			t.Logf("%d loads in %.0f s, largest excess over %v/s: %.0f", len(loads), loads[len(loads)-1], rate, excess)
			assert.Equal(t, len(loads), workers*tt.models)
			assert.Assert(t, excess <= 3*math.Sqrt(workers), "excess %.0f", excess)
		})
	}
}

// Guards against two loads in one period, and against using a slot long after it has passed.
func TestLoadPacerSlots(t *testing.T) {
	const period = 2 * time.Minute
	tests := map[string]struct {
		late    time.Duration
		started bool
	}{"on time": {0, true}, "a little late": {minLateTolerance, true}, "after a pause": {period/8 + 1, false}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newLoadPacer(rand.NewPCG(1, 2))
			assert.Assert(t, !p.tryStart(start, period))
			slot := p.nextSlot
			assert.Equal(t, p.tryStart(slot.Add(tt.late), period), tt.started)
			assert.Assert(t, !p.tryStart(slot.Add(tt.late), period))
			assert.Equal(t, p.nextSlot, slot.Add(period))
		})
	}
}
