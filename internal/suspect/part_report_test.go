package suspect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against evidence or decisions on parts that other processes never learn of because there are more than fit into a report.
// Parts with evidence stay refused there although an answer has released them, or are sent on although they end backend servers.
func TestPartReportsInTurn(t *testing.T) {
	one := func(part, crash int) []Implication {
		return []Implication{{Part: Part(part), Request: RequestTag(100*part + crash)}}
	}
	// crash records the end of one server for each of some parts at the same time, at a and at further registries.
	crash := func(now time.Time, a *PartRegistry, parts, number int, also ...*PartRegistry) {
		for _, r := range append(also, a) {
			for part := 1; part <= parts; part++ {
				r.RecordCrash(now, ServerKey(1000*number+part), one(part, number))
			}
		}
	}
	cases := map[string]struct {
		// reports is the number of reports that have room for all entries of the case.
		parts, reports int
		// prepare brings the parts at a to the state that b is to learn of, and returns the time.
		prepare     func(a, b *PartRegistry, parts int) time.Time
		quarantined bool // at b in the end
	}{
		"clearances": {2*maxReportedClearances + 1, 3, func(a, b *PartRegistry, parts int) time.Time {
			for i := range 3 {
				crash(start.Add(time.Duration(i)*time.Second), a, parts, i, b)
			}
			for part := 1; part <= parts; part++ {
				a.RecordAnswer(start.Add(2100*time.Millisecond), []Part{Part(part)})
			}
			return start.Add(2400 * time.Millisecond)
		}, false},
		"clearances renewed by further answers": {maxReportedClearances + 1, 2, func(a, b *PartRegistry, parts int) time.Time {
			for i := range 3 {
				crash(start.Add(time.Duration(i)*time.Second), a, parts, i, b)
			}
			for answer := range 20 { // the last part has one answer only
				for part := 1; part <= parts && (answer == 0 || part < parts); part++ {
					a.RecordAnswer(start.Add(2100*time.Millisecond+time.Duration(answer)*time.Millisecond), []Part{Part(part)})
				}
			}
			return start.Add(2400 * time.Millisecond)
		}, false},
		"crashes": {2*maxReportedCrashes + 1, 7, func(a, b *PartRegistry, parts int) time.Time {
			for i := range 2 {
				crash(start.Add(time.Duration(i)*time.Second), a, parts, i, b)
			}
			crash(start.Add(2*time.Second), a, parts, 2)
			return start.Add(2100 * time.Millisecond)
		}, true},
		"implications of one crash": {2*maxReportedImplications + 1, 3, func(a, b *PartRegistry, parts int) time.Time {
			for i := range 3 {
				var all []Implication
				for part := 1; part <= parts; part++ {
					all = append(all, one(part, i)...)
				}
				a.RecordCrash(start.Add(time.Duration(i)*time.Second), ServerKey(i), all)
				if i < 2 {
					b.RecordCrash(start.Add(time.Duration(i)*time.Second), ServerKey(i), all)
				}
			}
			return start.Add(2100 * time.Millisecond)
		}, true},
		"quarantines, to a process that has just started": {2*maxReportedQuarantines + 1, 3, func(a, _ *PartRegistry, parts int) time.Time {
			for i := range 4 {
				crash(start.Add(time.Duration(i)*1500*time.Millisecond), a, parts, i)
			}
			return start.Add(40 * time.Second) // the crashes are not reported any more
		}, true},
		"quarantines beside new ones": {2*maxReportedQuarantines + 1, maxTurnLead + 8, func(a, _ *PartRegistry, parts int) time.Time {
			for i := range 4 {
				crash(start.Add(time.Duration(i)*1500*time.Millisecond), a, parts/2, i)
			}
			for i := range 100 {
				a.Report(start.Add(20*time.Second + time.Duration(i)*60*time.Millisecond))
			}
			for i := range 4 {
				crash(start.Add(30*time.Second+time.Duration(i)*1500*time.Millisecond), a, parts, 10+i)
			}
			return start.Add(70 * time.Second)
		}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a, b := NewPartRegistry(), NewPartRegistry()
			now := tc.prepare(a, b, tc.parts)
			for range tc.reports {
				now = now.Add(60 * time.Millisecond)
				data, err := EncodePartReport(a.Report(now))
				assert.NilError(t, err)
				report, err := DecodePartReport(data) // checks the bounds
				assert.NilError(t, err)
				b.Merge(now, report)
			}
			for part := 1; part <= tc.parts; part++ {
				assert.Check(t, b.Holds([]Part{Part(part)}) == tc.quarantined, "part %d of %d", part, tc.parts)
			}
		})
	}
}

// Guards against a probe that other processes learn of late, so that they send the part on probe too and end a further server.
func TestProbeReportedAtOnce(t *testing.T) {
	const parts = 5 * maxReportedQuarantines
	a, b := NewPartRegistry(), NewPartRegistry()
	for i := range 4 {
		var implications []Implication
		for part := 1; part <= parts; part++ {
			implications = append(implications, Implication{Part: Part(part), Request: RequestTag(100*part + i)})
		}
		for _, r := range []*PartRegistry{a, b} {
			r.RecordCrash(start.Add(time.Duration(i)*1500*time.Millisecond), ServerKey(i), implications)
		}
	}
	for i := range 20 {
		a.Report(start.Add(time.Minute + time.Duration(i)*60*time.Millisecond))
	}
	now := start.Add(firmTime + 10*time.Second)
	assert.DeepEqual(t, a.Check(now, 0, []Part{parts}), PartState(PartProbe{Part: parts}))
	b.Merge(now, a.Report(now))
	assert.DeepEqual(t, b.Check(now.Add(10*time.Second), 1, []Part{parts}), PartState(PartQuarantined{Part: parts, Until: now.Add(probeTimeout)}))
}
