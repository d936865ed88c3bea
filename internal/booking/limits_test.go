package booking

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// Guards against a change of the limits that allows a second run of a key, shortens an entry's retention, or has no
// effect. Each case runs a key under a lifetime of 1 h, changes the limits, and offers the key again.
func TestSetLimits(t *testing.T) {
	begin := time.UnixMilli(1_800_000_000_000)
	limits := func(life time.Duration, keys int) Limits { return Limits{life, time.Second, keys} }
	timestampedKey := func(at time.Time) string {
		id := uuid.UUID{6: 0x70, 8: 0x80}
		for i := range 6 {
			id[i] = byte(at.UnixMilli() >> (40 - 8*i))
		}
		return id.String()
	}
	replay, unknown, run, reject := Replay{}, Unknown{}, Run{}, Reject{}
	tests := map[string]struct {
		change  Limits
		changed time.Duration
		back    time.Duration
		opaque  bool
		err     bool
		want    Decision
	}{
		"unchanged, held":              {limits(time.Hour, 8), time.Minute, 50 * time.Minute, false, false, replay},
		"unchanged, too old":           {limits(time.Hour, 8), time.Minute, 2 * time.Hour, false, false, unknown},
		"longer, held for longer":      {limits(4*time.Hour, 8), time.Minute, 3 * time.Hour, false, false, replay},
		"longer, opaque key held":      {limits(4*time.Hour, 8), time.Minute, 3 * time.Hour, true, false, replay},
		"longer, expired before":       {limits(4*time.Hour, 8), 2 * time.Hour, 3 * time.Hour, false, false, unknown},
		"shorter, still held":          {limits(time.Minute, 8), time.Second, 50 * time.Minute, false, false, replay},
		"shorter, then too old":        {limits(time.Minute, 8), time.Second, 2 * time.Hour, false, false, unknown},
		"opaque key, expired":          {limits(time.Hour, 8), time.Minute, 3 * time.Hour, true, false, run},
		"fewer keys, held":             {limits(time.Hour, 1), time.Minute, 50 * time.Minute, false, false, replay},
		"no keys, invalid":             {limits(time.Hour, 0), time.Minute, 50 * time.Minute, false, true, replay},
		"negative lifetime, invalid":   {limits(-1, 8), time.Minute, 50 * time.Minute, false, true, replay},
		"fewer keys, new one rejected": {limits(time.Hour, 1), time.Minute, -1, false, false, reject},
		"more keys, new one accepted":  {limits(time.Hour, 100), time.Minute, -1, false, false, run},
		"shorter, new key accepted":    {limits(time.Minute, 8), time.Second, -1, false, false, run},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			// The worker started long before the keys were created, so no outcome is unknown because of its start.
			table, err := New(Config{Service: "s", Worker: "a", Start: begin.Add(-48 * time.Hour)},
				WithKeyLifetime(time.Hour), WithClockSkew(time.Second), WithMaxEntries(8))
			assert.NilError(t, err)
			table.Adopt(begin, Ownership{Epoch: 1, Workers: []Worker{{Name: "a", InService: true}}})
			call := Call{Workspace: "w", Key: timestampedKey(begin)}
			if tt.opaque {
				call.Key = "opaque"
			}
			d, ok := table.Offer(begin, call).(Run)
			assert.Assert(t, ok)
			assert.Assert(t, table.Complete(begin, d.Name, Answer{Status: 201}))
			err = table.SetLimits(begin.Add(tt.changed), tt.change)
			var failure *Error
			assert.Equal(t, errors.As(err, &failure), tt.err)
			back := begin.Add(tt.back)
			if tt.back < 0 {
				back = begin.Add(tt.changed)
				call.Key = timestampedKey(back)
			}
			assert.Equal(t, fmt.Sprintf("%T", table.Offer(back, call)), fmt.Sprintf("%T", tt.want))
		})
	}
}
