package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/entry"
	"berylward.example/berylward/internal/sidecar"
	"berylward.example/berylward/internal/standin"
)

var zoneNames = []string{"banos", "el-centro", "totoracocha"}

func (r *randomRun) sidecarNamed(name string) *sidecar.Sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Sidecars[name]
}

func (r *randomRun) entryAt(i int) *entry.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Entries[i]
}

// injectFaults injects random faults until the run ends. Each fault ends by itself.
func (r *randomRun) injectFaults(random *rand.Rand) {
	kinds := r.faultKinds()
	kindNames := make([]string, 0, len(kinds))
	for name := range kinds {
		kindNames = append(kindNames, name)
	}
	slices.Sort(kindNames)
	for time.Now().Before(r.end) {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(3*time.Second)))
		for range 1 + random.IntN(2) {
			kind := kindNames[random.IntN(len(kindNames))]
			engine := zoneNames[random.IntN(3)] + "-engine-1"
			bookingService := "booking-desk-" + zoneNames[random.IntN(3)]
			entryIndex, duration := random.IntN(2), time.Second+time.Duration(random.IntN(8000))*time.Millisecond
			worker := engine
			if random.IntN(3) == 0 {
				worker = bookingService
			}
			if *printFaults {
				r.test.Logf("%s: %s %s %s entry-%d for %s", time.Now().Format("05.000"), kind, engine, worker, entryIndex+1, duration)
			}
			ft := faultTarget{engine: engine, bookingService: bookingService, worker: worker, zone: zoneNames[random.IntN(3)],
				entry: entryIndex, duration: duration}
			r.goroutines.Go(func() { kinds[kind](ft) })
		}
	}
}

// faultTarget holds the processes and the zone that one fault may affect, and the duration of the fault.
type faultTarget struct {
	engine, bookingService, worker, zone string
	entry                                int
	duration                             time.Duration
}

func (f faultTarget) entryName() string { return fmt.Sprintf("entry-%d", f.entry+1) }

func (r *randomRun) faultKinds() map[string]func(faultTarget) {
	injectService := func(f faultTarget, fault standin.Fault) {
		assert.NilError(r.test, r.Services[f.bookingService].Inject(fault))
	}
	injectPlatform := func(duration time.Duration, fault standin.Fault) {
		r.addDisruptions(1)
		assert.NilError(r.test, r.Platform.Inject(fault))
		time.Sleep(duration)
		assert.NilError(r.test, r.Platform.Inject(standin.ClearFaults{}))
		// A generation published in the meantime needs a few seconds to reach all processes.
		time.Sleep(10 * time.Second)
		r.addDisruptions(-1)
	}
	return map[string]func(faultTarget){
		"engine crash": func(f faultTarget) {
			r.stateMu.Lock()
			r.injectedCrashes[f.engine]++
			r.stateMu.Unlock()
			r.inject(f.engine, standin.Crash{Downtime: f.duration})
		},
		"engine freeze":  func(f faultTarget) { r.inject(f.engine, standin.Freeze{Duration: f.duration}) },
		"engine silence": func(f faultTarget) { r.inject(f.engine, standin.SilenceConns{}) },
		"engine slow": func(f faultTarget) {
			r.inject(f.engine, standin.Slow{Factor: 3})
			time.Sleep(f.duration)
			r.inject(f.engine, standin.Slow{Factor: 1})
		},
		"engine cold": func(f faultTarget) {
			r.stateMu.Lock()
			r.allowExtraCrashes = true
			r.stateMu.Unlock()
			r.inject(f.engine, standin.TurnCold{})
		},
		"engine ignores cancels": func(f faultTarget) {
			r.inject(f.engine, standin.IgnoreCancels{On: true})
			time.Sleep(f.duration)
			r.inject(f.engine, standin.IgnoreCancels{On: false})
		},
		"service crash":           func(f faultTarget) { injectService(f, standin.Crash{Downtime: f.duration}) },
		"service crash after run": func(f faultTarget) { injectService(f, standin.CrashAfterRun{Count: 1, Downtime: f.duration}) },
		"service loses answer":    func(f faultTarget) { injectService(f, standin.LoseAnswer{Count: 1}) },
		"service freeze":          func(f faultTarget) { injectService(f, standin.Freeze{Duration: f.duration}) },
		"service silence":         func(f faultTarget) { injectService(f, standin.SilenceConns{}) },
		"service delay": func(f faultTarget) {
			injectService(f, standin.Delay{Duration: f.duration})
			time.Sleep(f.duration)
			injectService(f, standin.Delay{})
		},
		"sidecar crash": func(f faultTarget) {
			r.exclusively(f.worker, func() {
				r.killSidecar(f.worker)
				time.Sleep(f.duration - time.Second)
				r.restartSidecar(f.worker)
			})
		},
		"sidecar stop": func(f faultTarget) {
			r.exclusively(f.worker, func() {
				ctx, cancel := r.stopContext()
				defer cancel()
				s := r.sidecarNamed(f.worker)
				if err := s.Stop(ctx); err != nil {
					r.test.Errorf("stopping %s: %v: %+v", f.worker, err, s.Status())
				}
				r.restartSidecar(f.worker)
			})
		},
		"entry crash": func(f faultTarget) {
			r.exclusively(f.entryName(), func() {
				r.entryAt(f.entry).Kill()
				time.Sleep(f.duration - time.Second)
				r.stateMu.Lock()
				r.downUntil[f.entryName()] = time.Now()
				r.stateMu.Unlock()
				r.restartEntry(f.entry)
			})
		},
		"entry stop": func(f faultTarget) {
			r.exclusively(f.entryName(), func() {
				ctx, cancel := r.stopContext()
				defer cancel()
				if err := r.entryAt(f.entry).Stop(ctx); err != nil {
					r.test.Errorf("stopping %s: %v", f.entryName(), err)
				}
				r.stateMu.Lock()
				// Connections of callers are refused until the restart.
				r.downUntil[f.entryName()] = time.Now()
				r.stateMu.Unlock()
				r.restartEntry(f.entry)
			})
		},
		"sidecar pause": func(f faultTarget) { r.exclusively(f.worker, func() { r.pauseFor(f.worker, f.duration) }) },
		"entry pause":   func(f faultTarget) { r.exclusively(f.entryName(), func() { r.pauseFor(f.entryName(), f.duration) }) },
		"link silence":  func(f faultTarget) { r.net.silence(f.entryName(), f.worker) },
		"owner link silence": func(f faultTarget) {
			r.net.silence(f.bookingService, "booking-desk-"+f.zone)
		},
		"partition": func(f faultTarget) {
			r.addDisruptions(1)
			left := []string{f.entryName(), f.worker, f.engine}
			right := []string{"entry-1", "entry-2", "platform"}
			for _, z := range zoneNames {
				right = append(right, z+"-engine-1", "booking-desk-"+z)
			}
			right = slices.DeleteFunc(right, func(n string) bool { return slices.Contains(left, n) })
			r.net.partition(left, right)
			time.Sleep(2 * f.duration)
			r.net.heal()
			time.Sleep(10 * time.Second)
			r.addDisruptions(-1)
		},
		"platform down":  func(f faultTarget) { injectPlatform(f.duration, standin.Unreachable{On: true}) },
		"platform stale": func(f faultTarget) { injectPlatform(f.duration, standin.Stale{On: true}) },
		"platform slow":  func(f faultTarget) { injectPlatform(f.duration, standin.Delay{Duration: 10 * time.Second}) },
		"zone out": func(f faultTarget) {
			r.exclusively("zones", func() { r.takeZoneOut(f.zone, f.duration) })
		},
	}
}

// pauseFor pauses a process for the given duration.
func (r *randomRun) pauseFor(name string, duration time.Duration) {
	r.addDisruptions(1)
	from := time.Now()
	r.pause(name)
	time.Sleep(duration)
	r.resume(name)
	r.stateMu.Lock()
	r.pauses[name] = append(r.pauses[name], interval{from, time.Now()})
	r.stateMu.Unlock()
	time.Sleep(10 * time.Second)
	r.addDisruptions(-1)
}
