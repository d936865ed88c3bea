package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a merge result that depends on the order of the marks, counts a repeated mark twice, or keeps marks
// alive as processes exchange them.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var marks []Mark
		for range 30 {
			marks = append(marks, Mark{
				Fingerprint: Fingerprint{byte(r.IntN(4))}, Crash: CrashID{Sequence: uint64(r.IntN(20))},
				Role: CrashRole(1 + r.IntN(3)), Remaining: time.Duration(1+r.IntN(60)) * time.Minute,
			})
		}
		a, b := New(uuid.UUID{1}), New(uuid.UUID{2})
		a.Merge(start, marks)
		r.Shuffle(len(marks), func(i, j int) { marks[i], marks[j] = marks[j], marks[i] })
		b.Merge(start, marks[:20])
		b.Merge(start, marks)
		assert.DeepEqual(t, a.Marks(start), b.Marks(start))
		assert.Equal(t, a.MarksDigest(start), b.MarksDigest(start))
		// Each exchange takes ten seconds. All copies must have expired one mark lifetime after the crash.
		now := start
		for range 370 {
			a.Merge(now.Add(10*time.Second), b.Marks(now))
			b.Merge(now.Add(10*time.Second), a.Marks(now))
			now = now.Add(10 * time.Second)
		}
		assert.Equal(t, len(a.Marks(now))+len(b.Marks(now)), 0)
	})
}

// Guards against losing a third server to one request, and against quarantining an innocent request because it shared
// crashes with an isolated suspect. Marks reach every registry before the next attempt.
func TestServersLost(t *testing.T) {
	const servers, requests, crashing = 6, 12, 0
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		entry, sidecars := New(uuid.UUID{99}), make([]*Registry, servers)
		running := make([][]Fingerprint, servers)
		for i := range sidecars {
			sidecars[i] = New(uuid.UUID{byte(i + 1)})
		}
		lost := 0
		for now := start; now.Before(start.Add(9 * time.Minute)); now = now.Add(time.Second) {
			i := r.IntN(servers)
			name := fmt.Sprint("server ", i)
			if n := len(running[i]); n > 0 && r.IntN(3) == 0 {
				j := r.IntN(n)
				if f := running[i][j]; f != (Fingerprint{crashing}) {
					sidecars[i].End(name, f)
					running[i] = append(running[i][:j], running[i][j+1:]...)
				}
			}
			f := Fingerprint{byte(r.IntN(requests))}
			busy := false
			for _, fs := range running {
				for _, other := range fs {
					busy = busy || other == f
				}
			}
			if !busy && sidecars[i].TryStart(now, name, f) {
				running[i] = append(running[i], f)
			}
			for _, f := range running[i] {
				if f == (Fingerprint{crashing}) && r.IntN(2) == 0 {
					lost++
					marks := sidecars[i].RecordCrash(now, name, running[i])
					running[i] = nil
					entry.Merge(now, marks)
					for _, s := range sidecars {
						s.Merge(now, marks)
					}
					break
				}
			}
			for f := range byte(requests) {
				if _, ok := entry.Check(now, Fingerprint{f}).(Quarantined); ok && f != crashing {
					t.Fatalf("innocent request %d is quarantined: %+v", f, entry.Marks(now))
				}
			}
		}
		if lost > 2 {
			t.Fatalf("%d servers lost", lost)
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	r := New(uuid.UUID{1})
	for i := range 4096 {
		f := NewFingerprint("workspace", fmt.Sprint(i), [16]byte{})
		r.RecordCrash(start, "server", []Fingerprint{f})
	}
	cases := map[string]Fingerprint{"not suspect": {1}, "isolated": NewFingerprint("workspace", "7", [16]byte{})}
	for name, f := range cases {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Check(start, f)
			}
		})
	}
}
