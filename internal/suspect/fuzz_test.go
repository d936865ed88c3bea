package suspect

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// Guards against marks that make the decoder or the registry panic, and against marks that exceed the mark lifetime.
func FuzzDecodeMarks(f *testing.F) {
	seed, err := EncodeMarks([]Mark{{Crash: CrashID{Sequence: 1}, Role: RolePlain, Remaining: time.Hour}, {Role: RoleIsolated}})
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		marks, err := DecodeMarks(data)
		if err != nil {
			return
		}
		now := time.UnixMilli(1_800_000_000_000)
		r := New(uuid.UUID{1}, WithMaxFingerprints(64))
		r.Merge(now, marks)
		for _, m := range r.Marks(now) {
			if m.Remaining <= 0 || m.Remaining > time.Hour {
				t.Fatalf("mark remains for %s", m.Remaining)
			}
		}
		if _, err := EncodeMarks(marks); err != nil {
			t.Fatal(err)
		}
	})
}
