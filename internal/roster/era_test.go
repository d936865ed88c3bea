package roster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/roster"
)

// copied is an entry as read from the older copy in the second era of the store.
func copied(id string, sequence int64, modify func(*roster.Server)) roster.Server {
	s := entry(id, 1, modify)
	s.Sequence, s.Era = sequence, 2
	return s
}

// firstEra is an entry as read in the first era of the store.
func firstEra(id string, revision int64, modify func(*roster.Server)) roster.Server {
	s := entry(id, revision, modify)
	s.Era = 1
	return s
}

func draining(s *roster.Server) { s.Draining = true }

func bornAt(ms int64) func(*roster.Server) {
	return func(s *roster.Server) { s.StartedAt = time.UnixMilli(ms) }
}

// Guards against what a store that came back from an older copy must not change: a drained, removed or replaced server gets
// requests again, one that the copy lacks is dropped before it could write again, or an ended drain is held for ever.
func TestServersOfRestoredStore(t *testing.T) {
	listed := func(r *roster.Roster, list ...roster.Server) { r.Replace(start, list) }
	b := copied("b", 2, nil)
	cases := map[string]struct {
		// before brings the roster, which has a with sequence 8 and b with 2 and revisions above those of the copy, into the
		// state at the change; after applies what is read in the second era.
		before, after func(*roster.Roster)
		want          string
	}{
		"unchanged": {nil, func(r *roster.Roster) { listed(r, copied("a", 8, nil), b) }, "[a b]"},
		"drain seen, copy shows ready": {
			func(r *roster.Roster) { r.Put(firstEra("a", 900, drainingAt(9))) },
			func(r *roster.Roster) { listed(r, copied("a", 8, nil), b) }, "[b]"},
		"drain seen, copy lacks the server, drained entry written again": {
			func(r *roster.Roster) { r.Put(firstEra("a", 900, drainingAt(9))) },
			func(r *roster.Roster) { listed(r, b); r.Put(copied("a", 10, draining)) }, "[b]"},
		"drain seen, another incarnation": {
			func(r *roster.Roster) { r.Put(firstEra("a", 900, drainingAt(9))) },
			func(r *roster.Roster) { listed(r, copied("a", 8, nil), b); r.Put(copied("a", 0, bornAt(5))) }, "[a b]"},
		"removal seen, copy shows the last entry": {
			func(r *roster.Roster) { r.Remove(start, "a") },
			func(r *roster.Roster) { listed(r, copied("a", 8, nil), b) }, "[b]"},
		"removal seen, server still writes": {
			func(r *roster.Roster) { r.Remove(start, "a") },
			func(r *roster.Roster) { listed(r, copied("a", 8, nil), b); r.Put(copied("a", 9, nil)) }, "[a b]"},
		"restart seen, copy shows the incarnation before": {
			func(r *roster.Roster) { r.Put(firstEra("a", 900, bornAt(5))) },
			func(r *roster.Roster) {
				listed(r, copied("a", 8, nil), b)
				assert.Assert(t, r.Present(&roster.Server{ID: "a", StartedAt: time.UnixMilli(5), Address: b.Address}))
			}, "[a b]"},
		"incarnation before was never seen, and none writes": {nil,
			func(r *roster.Roster) { listed(r, copied("a", 8, bornAt(0)), b); r.Expire(start.Add(2 * time.Second)) }, "[b]"},
		"server with a clock set back writes on": {nil,
			func(r *roster.Roster) { listed(r, copied("a", 8, bornAt(0)), b); r.Put(copied("a", 9, bornAt(0))) }, "[a b]"},
		"copy shows a drain that has ended": {nil,
			func(r *roster.Roster) { listed(r, copied("a", 7, draining), b) }, "[a b]"},
		"copy shows a drain that ends": {nil, func(r *roster.Roster) {
			listed(r, copied("a", 8, nil), b, copied("c", 3, draining))
			s := copied("c", 4, nil)
			s.Revision = 2
			r.Put(s)
		}, "[a b c]"},
		"missing in the copy": {nil, func(r *roster.Roster) { listed(r, b); r.Expire(start.Add(time.Second)) }, "[a b]"},
		"missing in the copy, which is read slowly": {nil, func(r *roster.Roster) {
			r.Put(b)
			r.Replace(start.Add(4*time.Second), []roster.Server{b})
			r.Expire(start.Add(5 * time.Second))
		}, "[a b]"},
		"missing in the copy, written again": {nil, func(r *roster.Roster) {
			listed(r, b)
			r.Put(copied("a", 9, nil))
			r.Expire(start.Add(time.Minute))
		}, "[a b]"},
		"missing in the copy for too long":          {nil, func(r *roster.Roster) { listed(r, b); r.Expire(start.Add(2 * time.Second)) }, "[b]"},
		"revision below the one before":             {nil, func(r *roster.Roster) { listed(r, copied("a", 9, draining), b) }, "[b]"},
		"entry of the first era that arrives later": {nil, func(r *roster.Roster) { listed(r, copied("a", 8, nil), b); r.Put(firstEra("a", 901, drainingAt(9))) }, "[a b]"},
		"drain seen, restored twice": {func(r *roster.Roster) { r.Put(firstEra("a", 900, drainingAt(9))) }, func(r *roster.Roster) {
			listed(r, copied("a", 8, nil), b)
			r.EnterEra(start.Add(time.Second), 3)
			third := copied("a", 7, nil)
			third.Era = 3
			r.Replace(start.Add(time.Second), []roster.Server{third})
		}, "[b]"},
		"removal seen, restored twice": {func(r *roster.Roster) { r.Remove(start, "a") }, func(r *roster.Roster) {
			listed(r, b)
			r.EnterEra(start.Add(time.Second), 3)
			third := copied("a", 8, nil)
			third.Era = 3
			r.Replace(start.Add(time.Second), []roster.Server{third})
		}, "[b]"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			r.EnterEra(start, 1)
			r.Put(firstEra("a", 801, beat(8)))
			r.Put(firstEra("b", 802, beat(2)))
			if tc.before != nil {
				tc.before(r)
			}
			r.EnterEra(start, 2)
			tc.after(r)
			assert.Equal(t, inService(r), tc.want)
		})
	}
}

// Guards against a server that is cold for longer because its entry is read again.
func TestColdTimeOfRestoredStore(t *testing.T) {
	r := roster.New()
	r.Put(entry("a", 1, func(s *roster.Server) { s.ColdUntil = start.Add(time.Second) }))
	r.EnterEra(start, 2)
	r.Replace(start, []roster.Server{copied("a", 0, func(s *roster.Server) { s.ColdUntil = start.Add(time.Minute) })})
	assert.Equal(t, r.Servers()[0].ColdUntil, start.Add(time.Second))
}

// Guards against a zone that gets requests although operators took it out, since the older copy lacks its key, and against one that
// is held although they have written it again, published a table or had the time for it.
func TestZonesOfRestoredStore(t *testing.T) {
	const zone = "el-centro"
	cases := map[string]struct {
		out   bool // whether the zone was out before
		after func(*roster.Roster)
		want  string
	}{
		"key is missing":     {true, func(r *roster.Roster) { r.ReplaceZonesOut(nil) }, "[]"},
		"key is in the copy": {true, func(r *roster.Roster) { r.ReplaceZonesOut([]string{zone}) }, "[]"},
		"key in the copy, then removed": {true, func(r *roster.Roster) {
			r.ReplaceZonesOut([]string{zone})
			r.SetZoneOut(zone, false)
		}, "[a]"},
		"missing, written and removed": {true, func(r *roster.Roster) {
			r.ReplaceZonesOut(nil)
			r.SetZoneOut(zone, true)
			r.SetZoneOut(zone, false)
		}, "[a]"},
		"missing, written, long after": {true, func(r *roster.Roster) {
			r.ReplaceZonesOut(nil)
			r.SetZoneOut(zone, true)
			r.Expire(start.Add(time.Hour))
		}, "[]"},
		"missing, table published": {true, func(r *roster.Roster) { r.ReplaceZonesOut(nil); r.ReleaseZones() }, "[a]"},
		"written, table published": {true, func(r *roster.Roster) { r.ReplaceZonesOut([]string{zone}); r.ReleaseZones() }, "[]"},
		"missing before the bound": {true, func(r *roster.Roster) { r.ReplaceZonesOut(nil); r.Expire(start.Add(59 * time.Second)) }, "[]"},
		"missing after the bound":  {true, func(r *roster.Roster) { r.ReplaceZonesOut(nil); r.Expire(start.Add(time.Minute)) }, "[a]"},
		"missing when read again":  {true, func(r *roster.Roster) { r.ReplaceZonesOut(nil); r.ReplaceZonesOut(nil) }, "[]"},
		"missing, restored twice": {true, func(r *roster.Roster) {
			r.ReplaceZonesOut(nil)
			r.EnterEra(start.Add(30*time.Second), 3)
			r.ReplaceZonesOut(nil)
			r.Expire(start.Add(70 * time.Second))
		}, "[]"},
		"copy has a key that was removed":           {false, func(r *roster.Roster) { r.ReplaceZonesOut([]string{zone}) }, "[]"},
		"copy has a key that was and is removed":    {false, func(r *roster.Roster) { r.ReplaceZonesOut([]string{zone}); r.SetZoneOut(zone, false) }, "[a]"},
		"in service before, not in the copy either": {false, func(r *roster.Roster) { r.ReplaceZonesOut(nil) }, "[a]"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			r.Put(entry("a", 801, nil))
			r.SetZoneOut(zone, tc.out)
			r.EnterEra(start, 2)
			r.Replace(start, []roster.Server{copied("a", 0, nil)})
			tc.after(r)
			assert.Equal(t, inService(r), tc.want)
		})
	}
}
