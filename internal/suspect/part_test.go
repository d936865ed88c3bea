package suspect_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/suspect"
)

var partStart = time.Unix(5000, 0)

// partEvent is something that a process learns about parts.
type partEvent struct {
	at       time.Duration
	server   suspect.ServerKey     // the end of a backend server, if it is not zero
	implied  []suspect.Implication // at that server
	answered []suspect.Part        // parts of an answer that began and has gone on
}

func implied(part suspect.Part, request suspect.RequestTag) suspect.Implication {
	return suspect.Implication{Part: part, Request: request}
}

// Guards against a part that ends one backend server after the other, and against condemning a part for ends that have
// another cause.
func TestPartQuarantined(t *testing.T) {
	const crashing, sound, other = 1, 2, 3
	crashAt := func(at time.Duration, server suspect.ServerKey, implied ...suspect.Implication) partEvent {
		return partEvent{at: at, server: server, implied: implied}
	}
	cases := map[string]struct {
		events      []partEvent
		quarantined []suspect.Part
	}{
		"two crashes": {[]partEvent{
			crashAt(0, 1, implied(crashing, 1)), crashAt(time.Second, 2, implied(crashing, 2)),
		}, nil},
		"three crashes": {[]partEvent{
			crashAt(0, 1, implied(crashing, 1)), crashAt(time.Second, 2, implied(crashing, 2)), crashAt(2*time.Second, 3, implied(crashing, 3)),
		}, []suspect.Part{crashing}},
		"answers on a part beside it": {[]partEvent{
			crashAt(0, 1, implied(crashing, 1), implied(sound, 1)), crashAt(time.Second, 2, implied(crashing, 2), implied(sound, 2)),
			{at: 1500 * time.Millisecond, answered: []suspect.Part{sound}}, crashAt(2*time.Second, 3, implied(crashing, 3), implied(sound, 3)),
		}, []suspect.Part{crashing}},
		"parts that always come together": {[]partEvent{
			crashAt(0, 1, implied(crashing, 1), implied(sound, 1)), crashAt(time.Second, 2, implied(crashing, 2), implied(sound, 2)),
			crashAt(2*time.Second, 3, implied(crashing, 3), implied(sound, 3)),
		}, []suspect.Part{crashing, sound}},
		"a rack ends at once": {[]partEvent{
			crashAt(0, 1, implied(sound, 1)), crashAt(20*time.Millisecond, 2, implied(sound, 2)), crashAt(90*time.Millisecond, 3, implied(sound, 3)),
			crashAt(200*time.Millisecond, 4, implied(sound, 4)), crashAt(240*time.Millisecond, 5, implied(sound, 5)),
		}, nil},
		"one request again and again": {[]partEvent{
			crashAt(0, 1, implied(sound, 1)), crashAt(time.Second, 2, implied(sound, 1)), crashAt(2*time.Second, 3, implied(sound, 1)),
			crashAt(3*time.Second, 4, implied(sound, 1)),
		}, nil},
		"servers leave, answers between": {[]partEvent{
			crashAt(0, 1, implied(sound, 1)), {at: 600 * time.Millisecond, answered: []suspect.Part{sound}}, crashAt(time.Second, 2, implied(sound, 2)),
			{at: 1600 * time.Millisecond, answered: []suspect.Part{sound}}, crashAt(2*time.Second, 3, implied(sound, 3)),
			{at: 2600 * time.Millisecond, answered: []suspect.Part{sound}}, crashAt(3*time.Second, 4, implied(sound, 4)),
		}, nil},
		"other part in the same servers": {[]partEvent{
			crashAt(0, 1, implied(crashing, 1)), crashAt(time.Second, 2, implied(crashing, 2), implied(other, 8)),
			crashAt(2*time.Second, 3, implied(crashing, 3), implied(other, 9)),
		}, []suspect.Part{crashing}},
		"two crashing parts": {[]partEvent{
			crashAt(0, 1, implied(crashing, 1)), crashAt(500*time.Millisecond, 2, implied(other, 2)), crashAt(time.Second, 3, implied(crashing, 3)),
			crashAt(1500*time.Millisecond, 4, implied(other, 4)), crashAt(2*time.Second, 5, implied(crashing, 5)), crashAt(2500*time.Millisecond, 6, implied(other, 6)),
		}, []suspect.Part{crashing, other}},
		"long ago": {[]partEvent{
			crashAt(0, 1, implied(sound, 1)), crashAt(20*time.Second, 2, implied(sound, 2)), crashAt(40*time.Second, 3, implied(sound, 3)),
		}, nil},
		"contradicted later": {[]partEvent{
			crashAt(0, 1, implied(sound, 1)), crashAt(time.Second, 2, implied(sound, 2)), crashAt(2*time.Second, 3, implied(sound, 3)),
			{at: 2500 * time.Millisecond, answered: []suspect.Part{sound}},
		}, nil},
		"answer that began before": {[]partEvent{
			crashAt(0, 1, implied(crashing, 1)), crashAt(time.Second, 2, implied(crashing, 2)), crashAt(2*time.Second, 3, implied(crashing, 3)),
			{at: 1900 * time.Millisecond, answered: []suspect.Part{crashing}},
		}, []suspect.Part{crashing}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := suspect.NewPartRegistry()
			var now time.Time
			for _, e := range tc.events {
				if at := partStart.Add(e.at); at.After(now) {
					now = at
				}
				if e.server != 0 {
					r.RecordCrash(partStart.Add(e.at), e.server, e.implied)
				}
				r.RecordAnswer(partStart.Add(e.at), e.answered)
			}
			for _, p := range []suspect.Part{crashing, sound, other} {
				_, quarantined := r.Check(now, 0, []suspect.Part{p}).(suspect.PartQuarantined)
				want := false
				for _, c := range tc.quarantined {
					want = want || c == p
				}
				assert.Equal(t, quarantined, want, "part %d", p)
			}
		})
	}
}

// Guards against a part that stays quarantined after it has become sound, and against probes that several processes make at
// once or that are repeated while the part still ends backend servers.
func TestPartProbe(t *testing.T) {
	const part = 1
	parts := []suspect.Part{part}
	crash := func(r *suspect.PartRegistry, at time.Time, number int) {
		r.RecordCrash(at, suspect.ServerKey(number), []suspect.Implication{implied(part, suspect.RequestTag(number))})
	}
	tentative := partStart.Add(2600 * time.Millisecond) // the end of the tentative quarantine
	firm := tentative.Add(2*time.Minute + time.Second)
	cases := map[string]struct {
		firm bool
		rank int
		at   time.Time
		want suspect.PartState
	}{
		"tentative, before the end":   {false, 0, tentative.Add(-time.Millisecond), suspect.PartQuarantined{Part: part, Until: tentative}},
		"tentative, first process":    {false, 0, tentative, suspect.PartProbe{Part: part}},
		"tentative, second process":   {false, 1, tentative, suspect.PartQuarantined{Part: part, Until: tentative.Add(time.Second)}},
		"tentative, second one later": {false, 1, tentative.Add(time.Second), suspect.PartProbe{Part: part}},
		"firm, before the end":        {true, 0, firm.Add(-time.Second), suspect.PartQuarantined{Part: part, Until: firm}},
		"firm, first process":         {true, 0, firm, suspect.PartProbe{Part: part}},
		"firm, second process":        {true, 1, firm, suspect.PartQuarantined{Part: part, Until: firm.Add(5 * time.Second)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r, other := suspect.NewPartRegistry(), suspect.NewPartRegistry()
			for i := range 3 {
				crash(r, partStart.Add(time.Duration(i)*time.Second), i+1)
			}
			if tc.firm {
				crash(r, tentative.Add(time.Second), 4)
			}
			assert.DeepEqual(t, r.Check(tc.at, tc.rank, parts), tc.want)
			if _, probe := tc.want.(suspect.PartProbe); !probe {
				return
			}
			_, again := r.Check(tc.at.Add(time.Second), 0, parts).(suspect.PartProbe)
			assert.Assert(t, !again, "a second probe at once")
			for i := range 3 {
				crash(other, partStart.Add(time.Duration(i)*time.Second), i+1)
			}
			if tc.firm {
				crash(other, tentative.Add(time.Second), 4)
			}
			other.Merge(tc.at, r.Report(tc.at))
			_, again = other.Check(tc.at.Add(10*time.Second), 0, parts).(suspect.PartProbe)
			assert.Assert(t, !again, "a probe at another process during the first")
			r.CancelProbe(parts)
			assert.DeepEqual(t, r.Check(tc.at.Add(time.Second), tc.rank, parts), tc.want) // the first was not sent
			assert.DeepEqual(t, r.RecordAnswer(tc.at.Add(time.Second), parts), parts)
			assert.DeepEqual(t, r.Check(tc.at.Add(2*time.Second), 3, parts), suspect.PartState(suspect.PartsUsable{}))
			_, released := other.Merge(tc.at.Add(2*time.Second), r.Report(tc.at.Add(2*time.Second)))
			assert.DeepEqual(t, released, parts)
		})
	}
}

// Guards against a verdict that a process which starts late, or was cut off, does not learn or brings back after it was lifted.
func TestQuarantineAdopted(t *testing.T) {
	const part = 1
	r, late := suspect.NewPartRegistry(), suspect.NewPartRegistry()
	for i := range 4 {
		r.RecordCrash(partStart.Add(time.Duration(i)*1500*time.Millisecond), suspect.ServerKey(i), []suspect.Implication{implied(part, suspect.RequestTag(i))})
	}
	now := partStart.Add(40 * time.Second) // the crashes are not reported any more
	quarantined, _ := late.Merge(now, r.Report(now))
	assert.DeepEqual(t, quarantined, []suspect.Part{part})
	assert.DeepEqual(t, r.RecordAnswer(now.Add(time.Second), quarantined), quarantined)
	now = now.Add(2 * time.Second)
	again, _ := r.Merge(now, late.Report(now))
	assert.Equal(t, len(again), 0, "the verdict of the process that was cut off")
	_, released := late.Merge(now, r.Report(now))
	assert.DeepEqual(t, released, quarantined)
}

// Guards against evidence that becomes younger each time it is passed on, so that an answer clears later crashes, a released
// part is quarantined again, or nobody may probe a part.
func TestReportsAreNotRenewed(t *testing.T) {
	const (
		part, other = 1, 2
		transit     = 20 * time.Millisecond
		rounds      = 700
	)
	now := partStart
	registries := []*suspect.PartRegistry{suspect.NewPartRegistry(), suspect.NewPartRegistry(), suspect.NewPartRegistry()}
	for i := range 4 {
		now = partStart.Add(time.Duration(i) * 1500 * time.Millisecond)
		registries[0].RecordCrash(now, suspect.ServerKey(i+1), []suspect.Implication{implied(part, suspect.RequestTag(i)), implied(other, 9)})
	}
	lastCrash := now
	registries[0].RecordAnswer(now.Add(time.Millisecond), []suspect.Part{other})
	exchange := func() {
		for i, from := range registries {
			report := from.Report(now)
			now = now.Add(transit)
			for j, to := range registries {
				if i != j {
					to.Merge(now, report)
				}
			}
		}
	}
	for range rounds {
		exchange()
	}
	for i, r := range registries {
		report := r.Report(now)
		assert.Equal(t, len(report.Clearances), 0, "registry %d", i)
		assert.Equal(t, len(report.Quarantines), 1, "registry %d", i)
		age := now.Sub(lastCrash) - report.Quarantines[0].LastCrash
		assert.Check(t, age <= 2*transit, "registry %d: the last crash is reported %v too late", i, age)
	}
	now = now.Add(3 * time.Minute)
	_, probes := registries[1].Check(now, 0, []suspect.Part{part}).(suspect.PartProbe)
	assert.Assert(t, probes)
	for began := now; now.Sub(began) < 16*time.Second; {
		exchange()
	}
	_, probes = registries[2].Check(now, 0, []suspect.Part{part}).(suspect.PartProbe)
	assert.Assert(t, probes, "the probe of another process has ended")
}

// Guards against a message that ends the process or fills its memory.
func FuzzDecodePartReport(f *testing.F) {
	r := suspect.NewPartRegistry()
	r.RecordCrash(partStart, 1, []suspect.Implication{implied(1, 1)})
	data, err := suspect.EncodePartReport(r.Report(partStart))
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		report, err := suspect.DecodePartReport(data)
		if err != nil {
			return
		}
		r := suspect.NewPartRegistry()
		r.Merge(partStart, report)
		_, err = suspect.EncodePartReport(r.Report(partStart))
		assert.NilError(t, err)
	})
}

// BenchmarkMergePartReport measures what a report costs its recipient while many backend servers end.
func BenchmarkMergePartReport(b *testing.B) {
	from, to := suspect.NewPartRegistry(), suspect.NewPartRegistry()
	for crash := range 64 {
		var implications []suspect.Implication
		for i := range 8 {
			implications = append(implications, implied(suspect.Part(100+crash%40+i), suspect.RequestTag(crash*10+i)))
		}
		at := partStart.Add(time.Duration(crash) * 50 * time.Millisecond)
		from.RecordCrash(at, suspect.ServerKey(crash+1), implications)
		to.RecordCrash(at, suspect.ServerKey(crash+1), implications[:4])
	}
	now := partStart.Add(4 * time.Second)
	report := from.Report(now)
	for i := 0; b.Loop(); i++ {
		report.Crashes[0].Implications[0].Request = suspect.RequestTag(i) // new evidence each time
		to.Merge(now, report)
	}
}

// Guards against a part that ends one backend server after the other because as many others are quarantined as may be, here or
// by another process.
func TestQuarantinesAtBound(t *testing.T) {
	r, other := suspect.NewPartRegistry(), suspect.NewPartRegistry()
	now, server := partStart, suspect.ServerKey(0)
	crash := func(part suspect.Part, request suspect.RequestTag) {
		now, server = now.Add(time.Second), server+1
		r.RecordCrash(now, server, []suspect.Implication{implied(part, request)})
	}
	isQuarantined := func(r *suspect.PartRegistry, part suspect.Part) bool {
		_, ok := r.Check(now, 0, []suspect.Part{part}).(suspect.PartQuarantined)
		return ok
	}
	for part := suspect.Part(1); part <= 200; part++ {
		for request := range suspect.RequestTag(3) {
			crash(part, request)
		}
		assert.Assert(t, isQuarantined(r, part), "part %d", part)
		now = now.Add(time.Second)
		assert.DeepEqual(t, r.Check(now, 0, []suspect.Part{part}), suspect.PartState(suspect.PartProbe{Part: part}))
		crash(part, 3)
		now = now.Add(time.Second)
		other.Merge(now, r.Report(now))
		assert.Assert(t, isQuarantined(r, part), "part %d after its probe", part)
		assert.Assert(t, isQuarantined(other, part), "part %d at another process", part)
	}
	assert.Assert(t, !isQuarantined(r, 1), "the part whose last crash is the oldest makes room")
}
