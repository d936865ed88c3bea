package suspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// expectedVerdicts decides on all requests from their ends alone, without the indexes.
func expectedVerdicts(v *evidence) map[Fingerprint]verdict {
	verdicts, probed, servers := map[Fingerprint]verdict{}, map[CrashID]int{}, map[CrashID]time.Time{}
	for f, r := range v.requests {
		for _, e := range r.ends {
			if _, known := e.crash.id.ServerOf(); known {
				servers[e.crash.id] = e.crash.at
			}
			if e.probe && len(r.ends) >= crashesToQuarantine {
				probed[e.crash.id]++
			}
		}
		if len(r.ends) >= crashesToQuarantine {
			verdicts[f] = verdict{last: slices.MaxFunc(r.ends, func(a, b *end) int { return a.at.Compare(b.at) }).at}
		}
	}
	explained := map[CrashID]bool{}
	for f, verdict := range verdicts {
		for _, e := range v.requests[f].ends {
			switch {
			case !e.probe:
			case probed[e.crash.id] == 1:
				verdict.probes++
			default:
				verdict.sharedProbes++
			}
		}
		for id, at := range servers {
			if v.find(f, id) == nil && at.After(verdict.lastOther) {
				verdict.lastOther = at
			}
		}
		verdicts[f] = verdict
		for _, e := range v.requests[f].ends {
			explained[e.crash.id] = explained[e.crash.id] || verdict.probes > 0
		}
	}
	for f, verdict := range verdicts {
		unexplained := slices.DeleteFunc(slices.Clone(v.requests[f].ends), func(e *end) bool { return explained[e.crash.id] })
		if verdict.probes == 0 && len(unexplained) < crashesToQuarantine {
			delete(verdicts, f)
		}
	}
	return verdicts
}

// Guards against indexes that drift from the ends which they are kept for, so that a request is held for no reason or never.
func TestEvidenceIndexes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		requests, crashes := 1+random.IntN(8), 1+random.IntN(40)
		r := NewRequestRegistry(uuid.UUID{1})
		now := start
		for range 300 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Second)
			f := Fingerprint{byte(random.IntN(requests))}
			crash := crashOf(ServerKey(1 + random.IntN(crashes)))
			if random.IntN(5) == 0 {
				crash = CrashID{Incarnation: uuid.UUID{2}, Sequence: uint64(1 + random.IntN(crashes))}
			}
			age := time.Duration(random.IntN(70)) * time.Minute
			switch random.IntN(12) {
			case 0:
				r.Merge(now, RequestReport{Answers: []RequestAnswerReport{{f, age}}})
			case 1:
				r.RecordAnswer(now, f)
			case 2:
				r.RecordEnd(now, ServerKey(1+random.IntN(crashes)), LostRequest{Fingerprint: f, Probe: random.IntN(2) == 0})
			default:
				r.Merge(now, RequestReport{Ends: []EndReport{{Crash: crash, Age: age, LostRequest: LostRequest{Fingerprint: f, Probe: random.IntN(4) == 0}}}})
			}
			got := map[Fingerprint]verdict{}
			for f := range r.evidence.requests {
				if v, ok := r.evidence.verdict(f); ok {
					got[f] = v
				}
			}
			assert.Equal(t, fmt.Sprint(got), fmt.Sprint(expectedVerdicts(r.evidence)))
			checkIndexes(t, r.evidence)
		}
	})
}

// checkIndexes checks that the indexes hold what the ends say, and nothing else.
func checkIndexes(t *rapid.T, v *evidence) {
	ends, servers, suspects := map[CrashID]int{}, 0, 0
	for _, r := range v.requests {
		assert.Assert(t, len(r.ends) > 0)
		if r.suspect() {
			suspects++
		}
		for _, e := range r.ends {
			ends[e.crash.id]++
		}
	}
	for id := range ends {
		if _, known := id.ServerOf(); known {
			servers++
		}
	}
	assert.Equal(t, len(v.crashes), len(ends))
	for id, n := range ends {
		assert.Equal(t, v.crashes[id].ends, n)
	}
	assert.Equal(t, v.all.Len(), len(v.requests))
	assert.Equal(t, v.byLast.Len(), len(v.requests))
	assert.Equal(t, v.suspects.Len(), suspects)
	assert.Equal(t, v.servers.Len(), servers)
}

// Guards against a full registry that drops the evidence about another request for an end that it does not keep.
func TestFullRegistryKeepsEvidence(t *testing.T) {
	r := NewRequestRegistry(uuid.UUID{1})
	for i := range maxSuspectRequests {
		f := Fingerprint{byte(i), byte(i >> 8)} // the first one is all zeros
		for server := range ServerKey(crashesToQuarantine) {
			r.RecordEnd(start, 1+server, LostRequest{Fingerprint: f})
		}
	}
	r.Merge(start, RequestReport{Ends: []EndReport{{Crash: crashOf(9), Age: time.Minute, LostRequest: LostRequest{Fingerprint: Fingerprint{1, 2, 3}}}}})
	assert.Equal(t, len(r.List(start)), maxSuspectRequests)
}

// fullRegistry returns a registry that holds as many requests and ends as it may.
func fullRegistry() *RequestRegistry {
	r := NewRequestRegistry(uuid.UUID{1})
	for i := range maxSuspectRequests {
		for server := range ServerKey(maxEndsPerRequest) {
			r.RecordEnd(start, 1+ServerKey(i)+server, LostRequest{Fingerprint: NewFingerprint("workspace", fmt.Sprint(i), [16]byte{})})
		}
	}
	return r
}

// BenchmarkFullRegistry measures a second of a gateway whose registry is full: reports from all other gateways, each with a new
// end, reports to them, and 500 requests, a tenth of them suspect. The rates are those at which gateways send reports.
func BenchmarkFullRegistry(b *testing.B) {
	cases := map[string]struct{ gateways, reportsOfEach int }{
		"3 gateways":   {3, 20},
		"30 gateways":  {30, 7},
		"103 gateways": {103, 4},
	}
	for name, tc := range cases {
		b.Run(name, func(b *testing.B) {
			r := fullRegistry()
			now, server := start, ServerKey(1<<20)
			second := func() {
				for i := range 500 {
					if i%25 == 0 {
						r.Report(now)
					}
					f := Fingerprint{1, byte(i), byte(i >> 8)}
					if i%10 == 0 {
						f = NewFingerprint("workspace", fmt.Sprint(i), [16]byte{})
					}
					r.Quarantined(now, f)
					for range (tc.gateways-1)*tc.reportsOfEach*(i+1)/500 - (tc.gateways-1)*tc.reportsOfEach*i/500 {
						server++
						lost := LostRequest{Fingerprint: NewFingerprint("workspace", fmt.Sprint(server%5000), [16]byte{})}
						r.Merge(now, RequestReport{Ends: []EndReport{{Crash: crashOf(server), LostRequest: lost}}})
					}
					now = now.Add(2 * time.Millisecond)
				}
			}
			for b.Loop() {
				second()
			}
		})
	}
}

// Guards against work that grows with the number of requests held, while the gateway's lock is: each new end had all requests judged
// anew, for reports and for requests that arrive. Allocations stand for the work, because times depend on the machine.
func TestFullRegistryWork(t *testing.T) {
	r := fullRegistry()
	now := start.Add(time.Minute)
	server := ServerKey(1 << 20)
	allocations := testing.AllocsPerRun(50, func() {
		server++
		now = now.Add(time.Second) // so that each run drops what has expired, too
		f := NewFingerprint("workspace", fmt.Sprint(server%maxSuspectRequests), [16]byte{})
		r.Merge(now, RequestReport{Ends: []EndReport{{Crash: crashOf(server), LostRequest: LostRequest{Fingerprint: f}}}})
		r.Quarantined(now, f)
		r.Report(now)
	})
	assert.Assert(t, allocations < 200, "%v allocations", allocations)
}
