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
