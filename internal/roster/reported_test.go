package roster_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/roster"
)

// Guards against a gateway that starts beside a restored store and sends requests where others have seen a drain, a removal or a
// zone taken out, and against a report that keeps servers out that have written since, or for ever.
func TestReportedOut(t *testing.T) {
	const zone = "el-centro"
	cases := map[string]struct {
		// seen is what the reporting gateway has seen in the first era, before it reads the copy with a and b.
		seen func(*roster.Roster)
		// after happens at the gateway that has read only the copy and got the report.
		after func(*roster.Roster)
		want  string
	}{
		"nothing":        {func(*roster.Roster) {}, nil, "[a b]"},
		"drain":          {func(r *roster.Roster) { r.Put(firstEra("a", 900, drainingAt(9))) }, nil, "[b]"},
		"removal":        {func(r *roster.Roster) { r.Remove(start.Add(-time.Minute), "a") }, nil, "[b]"},
		"zone taken out": {func(r *roster.Roster) { r.SetZoneOut(zone, true) }, nil, "[]"},
		"drain, server writes": {func(r *roster.Roster) { r.Put(firstEra("a", 900, drainingAt(9))) }, func(r *roster.Roster) {
			ready := copied("a", 10, nil)
			ready.Revision = 7
			r.Put(ready)
		}, "[a b]"},
		"zone taken out, key written and removed": {func(r *roster.Roster) { r.SetZoneOut(zone, true) }, func(r *roster.Roster) {
			r.SetZoneOut(zone, true)
			r.SetZoneOut(zone, false)
		}, "[a b]"},
		"reports end": {func(r *roster.Roster) {
			r.Put(firstEra("a", 900, drainingAt(9)))
			r.SetZoneOut(zone, true)
		}, func(r *roster.Roster) { r.Expire(start.Add(3 * time.Second)) }, "[a b]"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			list := []roster.Server{copied("a", 8, nil), copied("b", 2, nil)}
			old, started := roster.New(), roster.New()
			old.EnterEra(start.Add(-time.Hour), 1)
			old.Put(firstEra("a", 801, beat(8)))
			old.Put(firstEra("b", 802, beat(2)))
			tc.seen(old)
			old.EnterEra(start, 2)
			old.Replace(start, list)
			old.ReplaceZonesOut(nil)
			started.EnterEra(start, 2)
			started.Replace(start, list)
			started.ReplaceZonesOut(nil)
			started.Reported(start, old.Report())
			if tc.after != nil {
				tc.after(started)
			}
			assert.Equal(t, inService(started), tc.want)
		})
	}
}

// Guards against a report that is too long for a datagram or leaves servers out for ever, and against one that has an effect
// beside a store that was never restored.
func TestReportBounds(t *testing.T) {
	r := roster.New()
	r.EnterEra(start, 1)
	for i := range 20 {
		r.Put(firstEra(fmt.Sprint(i), 900, drainingAt(1)))
		r.SetZoneOut(fmt.Sprint(i), true)
	}
	seen := map[uint32]bool{}
	for range 4 {
		report := r.Report()
		assert.Equal(t, len(report.Servers), 6)
		assert.Equal(t, len(report.Zones), 3)
		for _, s := range report.Servers {
			seen[s.Key] = true
		}
	}
	assert.Equal(t, len(seen), 20)
	without := roster.New()
	without.Put(entry("a", 1, drainingAt(1)))
	without.Put(entry("b", 1, nil))
	assert.Equal(t, len(without.Report().Servers), 0)
	without.Reported(start, roster.OutReport{Zones: []string{"el-centro"}})
	assert.Equal(t, inService(without), "[b]")
}
