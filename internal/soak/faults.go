package soak

import (
	"context"
	"syscall"
	"time"

	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// fault is one kind of trouble. begin brings it about and returns what ends it; planned work excuses nothing.
type fault struct {
	name    string
	planned bool
	begin   func(w *world) (end func())
}

// faults are drawn with equal chances; several overlap, and the same one may come again meanwhile.
var faults = []fault{
	{"gateway killed", false, func(w *world) func() {
		w.child().signal(syscall.SIGKILL)
		return func() {}
	}},
	{"gateway paused", false, func(w *world) func() {
		c := w.child()
		c.signal(syscall.SIGSTOP)
		return func() { c.signal(syscall.SIGCONT) }
	}},
	{"gateway stopped", true, func(w *world) func() {
		w.child().signal(syscall.SIGTERM)
		return func() {}
	}},
	{"gateway reloads", true, func(w *world) func() {
		w.child().signal(syscall.SIGHUP)
		return func() {}
	}},
	{"store link", false, func(w *world) func() {
		w.storeBy.Set(w.trouble())
		return func() { w.storeBy.Set(Sound{}) }
	}},
	{"store out", false, func(w *world) func() {
		w.store.Fail([]direct.Outage{direct.Silent{}, direct.Busy{}, direct.Cut{}}[w.random.IntN(3)])
		return func() { w.store.Fail(direct.Up{}) }
	}},
	{"store history lost", false, func(w *world) func() {
		w.store.Compact()
		return func() {}
	}},
	{"backend link", false, func(w *world) func() {
		p := w.proxies[w.random.IntN(len(w.proxies))]
		p.Set(w.trouble())
		return func() { p.Set(Sound{}) }
	}},
	{"caller link", false, func(w *world) func() {
		p := w.fronts[w.random.IntN(len(w.fronts))]
		p.Set(w.trouble())
		return func() { p.Set(Sound{}) }
	}},
	{"backend misbehaves", false, func(w *world) func() {
		b := w.backends[w.random.IntN(len(w.backends))]
		b.Behave([]direct.Behavior{
			direct.Hangs{}, direct.Refuses{}, direct.Errors{}, direct.Breaks{After: w.random.IntN(4)}, direct.Unsigned{}, direct.Foreign{},
		}[w.random.IntN(6)])
		return func() { b.Behave(direct.Works{}) }
	}},
	{"backend drains", true, func(w *world) func() {
		b := w.backends[w.random.IntN(len(w.backends))]
		w.mu.Lock()
		w.planned = append(w.planned, drain{b, w.clock.Now()})
		w.mu.Unlock()
		w.entry(b, true)
		return func() { w.entry(b, false) }
	}},
	{"backend entry lost", false, func(w *world) func() {
		b := w.backends[w.random.IntN(len(w.backends))]
		w.store.Delete(platform.ServerKey(b.Server.ID))
		return func() { w.entry(b, false) }
	}},
	{"zone taken out", true, func(w *world) func() {
		z := zone(w.random.IntN(3))
		w.store.Put(platform.ZoneKey(z), []byte("{}"))
		return func() { w.store.Delete(platform.ZoneKey(z)) }
	}},
	{"key withdrawn", true, func(w *world) func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		old := w.keys[0]
		w.keys = append(w.keys[1:], old+"'")
		w.publish()
		w.withdrawn[old] = w.clock.Now()
		return func() {}
	}},
	{"table published", true, func(w *world) func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.publish()
		return func() {}
	}},
	{"broken entry", true, func(w *world) func() {
		w.store.Put(platform.ServerKey("broken"), []byte(`{"service":`))
		return func() { w.store.Delete(platform.ServerKey("broken")) }
	}},
}

func (w *world) child() *child { return w.children[w.random.IntN(len(w.children))] }

// entry writes the entry of a backend server. Its encoding cannot fail once it has succeeded at the start.
func (w *world) entry(b *direct.Backend, draining bool) { _ = w.announce(b, draining) }

func (w *world) trouble() Trouble {
	return []Trouble{
		Delayed{By: time.Duration(1+w.random.IntN(40)) * time.Millisecond}, Reset{}, Mute{}, Deaf{},
	}[w.random.IntN(4)]
}

const (
	// faultGap and faultLength bound the pause before the next fault and how long one lasts. They overlap as a rule.
	faultGap    = 900 * time.Millisecond
	faultLength = 2500 * time.Millisecond
	// excuse is how long after its end an unplanned fault still excuses a broken answer.
	excuse = 4 * time.Second
)

// disturb brings about faults until ctx ends, and ends them all.
func (w *world) disturb(ctx context.Context) {
	type running struct {
		until time.Time
		end   func()
	}
	var open []running
	for ctx.Err() == nil {
		now := w.clock.Now()
		kept := open[:0]
		for _, r := range open {
			if now.Before(r.until) {
				kept = append(kept, r)
			} else {
				r.end()
			}
		}
		open = kept
		f := faults[w.random.IntN(len(faults))]
		length := time.Duration(w.random.Int64N(int64(faultLength)))
		w.mu.Lock()
		w.faults[f.name]++
		if !f.planned {
			w.troubles = append(w.troubles, span{now, now.Add(length + faultGap + excuse)})
		}
		w.mu.Unlock()
		open = append(open, running{now.Add(length), f.begin(w)})
		select {
		case <-ctx.Done():
		case <-w.clock.After(time.Duration(w.random.Int64N(int64(faultGap)))):
		}
	}
	for _, r := range open {
		r.end()
	}
}
