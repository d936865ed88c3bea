package worker

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSharedWindow guards against a backend server that gets more requests than it has shown that it answers, and against one
// that stays idle although it answers.
func TestSharedWindow(t *testing.T) {
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	started := func(w *SharedWindow) { w.Start(epoch) }
	timely := func(inFlight, times int) func(*SharedWindow) {
		return func(w *SharedWindow) {
			for range times {
				w.Record(at(time.Second), Timely{InFlight: inFlight})
			}
		}
	}
	record := func(d time.Duration, a Answer) func(*SharedWindow) {
		return func(w *SharedWindow) { w.Record(at(d), a) }
	}
	missing := func(d time.Duration, sent time.Duration) func(*SharedWindow) {
		return record(d, Missing{SentAt: at(sent)})
	}
	tests := map[string]struct {
		events []func(*SharedWindow)
		open   bool
		want   int
	}{
		"warm":                           {open: true},
		"new incarnation":                {events: []func(*SharedWindow){started}, want: 2},
		"answers":                        {events: []func(*SharedWindow){started, timely(3, 2)}, want: 6},
		"answers up to the slots":        {events: []func(*SharedWindow){started, timely(6, 5)}, open: true},
		"mostly idle":                    {events: []func(*SharedWindow){started, timely(1, 5)}, want: 4},
		"settled with little load":       {events: []func(*SharedWindow){started, timely(1, 1), record(6*time.Second, Timely{})}, open: true},
		"late lately":                    {events: []func(*SharedWindow){started, record(3*time.Second, Late{}), record(6*time.Second, Timely{})}, want: 1},
		"late":                           {events: []func(*SharedWindow){started, timely(3, 2), record(time.Second, Late{})}, want: 5},
		"one late answer of a warm one":  {events: []func(*SharedWindow){record(time.Second, Late{})}, open: true},
		"one lost answer among others":   {events: []func(*SharedWindow){timely(3, 1), missing(2*time.Second, 0)}, open: true},
		"answers stop":                   {events: []func(*SharedWindow){timely(3, 1), missing(3*time.Second, 2*time.Second)}, want: 1},
		"no answer at all":               {events: []func(*SharedWindow){started, missing(time.Second, time.Millisecond), missing(3*time.Second, 2*time.Second)}, want: 1},
		"answers again":                  {events: []func(*SharedWindow){missing(0, 0), timely(1, 1)}, want: 3},
		"a loss from before the failure": {events: []func(*SharedWindow){missing(time.Second, 0), timely(2, 2), missing(2*time.Second, 0)}, want: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := NewSharedWindow(12)
			for _, e := range tt.events {
				e(w)
			}
			assert.Equal(t, w.Open(), tt.open)
			if !tt.open {
				assert.Equal(t, w.Requests(), tt.want)
				assert.Equal(t, w.Room(1), tt.want-1)
			}
		})
	}
}

// TestSharedWindowCopies guards against copies that grow with the answers of one process only, that count a report twice, and
// that lose what a process has shown when it ends or when its reports are lost.
func TestSharedWindowCopies(t *testing.T) {
	a, b, late := NewSharedWindow(30), NewSharedWindow(30), NewSharedWindow(30)
	exchange := func(from *SharedWindow, name string, to ...*SharedWindow) {
		r, ok := from.Report(epoch)
		assert.Assert(t, ok)
		for _, w := range to {
			w.Merge(epoch, name, r)
			w.Merge(epoch, name, r)
		}
	}
	for _, w := range []*SharedWindow{a, b, late} {
		w.Start(epoch)
	}
	a.Record(epoch, Timely{InFlight: 5})
	exchange(a, "a", b)
	b.Record(epoch, Timely{InFlight: 5})
	b.Record(epoch, Late{})
	exchange(b, "b", a, late)
	exchange(a, "a", late)
	for _, w := range []*SharedWindow{a, b, late} {
		assert.Equal(t, w.Requests(), 5)
	}
	assert.Assert(t, a.Record(epoch.Add(time.Second), Missing{SentAt: epoch.Add(time.Millisecond)}))
	exchange(a, "a", b)
	assert.Equal(t, b.Requests(), 1)
	exchange(late, "late", b) // an earlier generation
	assert.Equal(t, b.Requests(), 1)
	b.Release(epoch)
	exchange(b, "b", a)
	assert.Assert(t, a.Open())
	_, reported := b.Report(epoch.Add(4 * time.Second))
	assert.Assert(t, !reported)
}

// TestSlowness guards against a slow server that is not noticed, against one that counts as slow for one answer or for noise, and
// against evidence that never ages.
func TestSlowness(t *testing.T) {
	tests := map[string]struct {
		ratios []float64
		weight float64
		age    time.Duration
		want   float64
	}{
		"no evidence":              {want: 1},
		"as predicted":             {ratios: []float64{1, 1.2, 0.9, 1.1, 1}, weight: 1, want: 1},
		"one very slow answer":     {ratios: []float64{50}, weight: 1, want: 1},
		"pauses of one answer":     {ratios: []float64{4, 4, 4, 4, 4}, weight: 0.4, want: 1},
		"one slow among others":    {ratios: []float64{1, 1, 8, 1, 1}, weight: 1, want: 1},
		"four times":               {ratios: []float64{4, 4, 4, 4}, weight: 1, want: 4},
		"twice, four answers":      {ratios: []float64{2, 2, 2, 2}, weight: 1, want: 2},
		"faster than predicted":    {ratios: []float64{0.2, 0.2, 0.2, 0.2}, weight: 1, want: 1},
		"slow, some time ago":      {ratios: []float64{4, 4, 4, 4}, weight: 1, age: 2 * time.Second, want: 1},
		"much slower than counted": {ratios: []float64{40, 40, 40, 40}, weight: 1, want: maxSlowness},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var s Speed
			for _, r := range tt.ratios {
				s.Record(epoch, math.Log(r), tt.weight, 1)
			}
			got := s.Evidence(epoch.Add(tt.age)).Slowness()
			assert.Assert(t, math.Abs(got-tt.want) < 0.01, "got %.2f, want %.2f", got, tt.want)
		})
	}
}

// TestCalibration guards against an error of the prediction that all servers share and that makes each of them count as slow,
// and against a slow server that moves the median for the others.
func TestCalibration(t *testing.T) {
	tests := map[string]struct {
		absolute bool
		slow     bool // every fifth answer is four times as slow
	}{
		"shared error":           {},
		"mean of a service":      {absolute: true},
		"one slow server":        {slow: true},
		"mean, with a slow one ": {absolute: true, slow: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c Calibration
			for i := range 500 {
				x := math.Log(2.5)
				if tt.slow && i%5 == 4 {
					x = math.Log(10)
				}
				c.Adjust(x, 1, tt.absolute)
			}
			assert.Assert(t, math.Abs(c.Adjust(math.Log(2.5), 1, tt.absolute)) < 0.1)
			assert.Assert(t, math.Abs(c.Adjust(math.Log(10), 1, tt.absolute)-math.Log(4)) < 0.1)
		})
	}
}
