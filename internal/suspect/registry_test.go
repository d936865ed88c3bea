package suspect

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// Guards against a suspect that crashes a third server, and against the quarantine of an innocent request.
func TestCheck(t *testing.T) {
	f, other := Fingerprint{1}, Fingerprint{2}
	crash := func(seq uint64, role CrashRole) Mark {
		return Mark{Fingerprint: f, Crash: CrashID{Sequence: seq}, Role: role, Remaining: time.Hour}
	}
	quarantined := Quarantined{Until: start.Add(10 * time.Minute)}
	tests := map[string]struct {
		marks []Mark
		after time.Duration
		want  State
	}{
		"no crash":                           {want: NotSuspect{}},
		"one crash":                          {marks: []Mark{crash(1, RolePlain)}, want: Isolated{}},
		"one crash, many copies":             {marks: []Mark{crash(1, RolePlain), crash(1, RolePlain), crash(1, RolePlain)}, want: Isolated{}},
		"two crashes":                        {marks: []Mark{crash(1, RolePlain), crash(2, RolePlain)}, want: quarantined},
		"second crash while isolated":        {marks: []Mark{crash(1, RoleShared), crash(2, RoleIsolated)}, want: quarantined},
		"crashes shared with other suspects": {marks: []Mark{crash(1, RolePlain), crash(2, RoleShared), crash(3, RoleShared)}, want: Isolated{}},
		"after quarantine":                   {marks: []Mark{crash(1, RolePlain), crash(2, RolePlain)}, after: 10 * time.Minute, want: Isolated{}},
		"after the mark lifetime":            {marks: []Mark{crash(1, RolePlain)}, after: time.Hour, want: NotSuspect{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(uuid.UUID{1})
			r.Merge(start, tt.marks)
			assert.DeepEqual(t, r.Check(start.Add(tt.after), f), tt.want)
			assert.DeepEqual(t, r.Check(start, other), State(NotSuspect{}))
		})
	}
}

// Guards against crashes that peers never learn of because only a few marks fit into a message. A new mark must be in
// the next sample, and every mark must appear eventually.
func TestSample(t *testing.T) {
	const limit = 12
	r := New(uuid.UUID{1})
	var all []Fingerprint
	for i := range 100 {
		f := Fingerprint{byte(200 - i)}
		all = append(all, f)
		now := start.Add(time.Duration(i) * time.Second)
		r.RecordCrash(now, "i-1", []Fingerprint{f})
		sample := r.Sample(now, 3*time.Second, limit)
		assert.Assert(t, len(sample) <= limit)
		assert.Equal(t, sample[0].Fingerprint, f, "the newest mark comes first")
	}
	sampled := map[Fingerprint]bool{}
	for range 100 {
		marks := r.Sample(start.Add(200*time.Second), 3*time.Second, limit)
		assert.Equal(t, len(marks), 1, "old marks are sampled one at a time")
		sampled[marks[0].Fingerprint] = true
	}
	assert.Equal(t, len(sampled), len(all))
	for i := range 30 {
		r.RecordCrash(start.Add(300*time.Second), "i-1", []Fingerprint{{1, byte(i)}})
	}
	for range 300 {
		marks := r.Sample(start.Add(301*time.Second), 3*time.Second, limit)
		assert.Equal(t, len(marks), limit)
		for _, m := range marks {
			sampled[m.Fingerprint] = true
		}
	}
	assert.Equal(t, len(sampled), 130, "each of many new marks is sampled")
}

// Guards against a mark that is lost because a full registry refuses another one that expires sooner.
func TestFullRegistry(t *testing.T) {
	tests := map[string]struct {
		held      Fingerprint
		remaining time.Duration // of the mark that arrives; the held one has 30 minutes left
		kept      bool
	}{
		"expires sooner":                        {Fingerprint{1}, time.Minute, true},
		"expires sooner, held fingerprint zero": {Fingerprint{}, time.Minute, true},
		"expires later":                         {Fingerprint{1}, time.Hour, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(uuid.UUID{1}, WithMaxFingerprints(1))
			r.Merge(start, []Mark{{Fingerprint: tt.held, Crash: CrashID{Sequence: 1}, Remaining: 30 * time.Minute}})
			r.Merge(start, []Mark{{Fingerprint: Fingerprint{2}, Crash: CrashID{Sequence: 2}, Remaining: tt.remaining}})
			marks := r.Marks(start)
			assert.Equal(t, len(marks), 1)
			assert.Equal(t, marks[0].Fingerprint == tt.held, tt.kept)
		})
	}
}
