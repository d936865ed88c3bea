package roster_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/roster"
)

var start = time.Unix(1000, 0)

func entry(id string, revision int64, modify func(*roster.Server)) roster.Server {
	s := roster.Server{
		ID: id, Service: "pool", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "el-centro",
		StartedAt: time.UnixMilli(1), Revision: revision,
	}
	if modify != nil {
		modify(&s)
	}
	return s
}

// beat sets how many beats the server had written before.
func beat(sequence int64) func(*roster.Server) {
	return func(s *roster.Server) { s.Sequence = sequence }
}

func drainingAt(sequence int64) func(*roster.Server) {
	return func(s *roster.Server) { s.Sequence, s.Draining = sequence, true }
}

func inService(r *roster.Roster) string {
	var list []string
	for _, s := range r.InService("pool") {
		list = append(list, s.ID)
	}
	return fmt.Sprint(list)
}

// Guards against new requests for backend servers that are draining, removed, in a zone out of service or restarted, also if the store
// carries out an earlier write of a server late, and against dropping live ones whose entries disappeared in a store outage.
func TestRoster(t *testing.T) {
	cases := map[string]struct {
		apply func(*roster.Roster)
		// want is the list of backend servers in service; stale means that the first incarnation of a is no longer
		// current.
		want  string
		stale bool
	}{
		"unchanged":   {func(*roster.Roster) {}, "[a b]", false},
		"older entry": {func(r *roster.Roster) { r.Put(entry("a", 0, func(s *roster.Server) { s.Draining = true })) }, "[a b]", false},
		"draining":    {func(r *roster.Roster) { r.Put(entry("a", 5, func(s *roster.Server) { s.Draining = true })) }, "[b]", true},
		"removed":     {func(r *roster.Roster) { r.Remove(start, "a") }, "[b]", true},
		"restarted": {func(r *roster.Roster) {
			r.Put(entry("a", 5, func(s *roster.Server) { s.StartedAt = time.UnixMilli(9) }))
		}, "[a b]", true},
		"zone out of service": {func(r *roster.Roster) { r.SetZoneOut("el-centro", true) }, "[]", true},
		"zone back in service": {func(r *roster.Roster) {
			r.SetZoneOut("el-centro", true)
			r.SetZoneOut("el-centro", false)
		}, "[a b]", false},
		"complete list after lost history": {func(r *roster.Roster) { r.Replace(start, []roster.Server{entry("b", 2, nil)}) }, "[b]", true},
		"missing after an outage": {func(r *roster.Roster) {
			r.StoreRecovered(start)
			r.Replace(start.Add(time.Millisecond), nil)
			r.Expire(start.Add(time.Second))
		}, "[a b]", false},
		"removed while only the gateway was cut off": {func(r *roster.Roster) {
			r.StoreRecovered(start)
			r.Replace(start.Add(time.Millisecond), []roster.Server{entry("b", 2, nil)})
		}, "[b]", true},
		"missing and back": {func(r *roster.Roster) {
			r.StoreRecovered(start)
			r.Remove(start.Add(time.Millisecond), "a")
			r.Put(entry("a", 7, nil))
			r.Expire(start.Add(3 * time.Second))
		}, "[a b]", false},
		"missing for too long": {func(r *roster.Roster) {
			r.StoreRecovered(start)
			r.Replace(start.Add(time.Millisecond), nil)
			r.Expire(start.Add(2 * time.Second))
		}, "[]", true},
		"removed long after the outage": {func(r *roster.Roster) {
			r.StoreRecovered(start)
			r.Remove(start.Add(2*time.Second), "a")
		}, "[b]", true},
		"draining, removed after an outage": {func(r *roster.Roster) {
			r.Put(entry("a", 5, func(s *roster.Server) { s.Draining = true }))
			r.StoreRecovered(start)
			r.Remove(start, "a")
		}, "[b]", true},
		"late beat from before the drain": {func(r *roster.Roster) {
			r.Put(entry("a", 5, drainingAt(8)))
			r.Put(entry("a", 6, beat(7)))
		}, "[b]", true},
		"drain withdrawn": {func(r *roster.Roster) {
			r.Put(entry("a", 5, drainingAt(8)))
			r.Put(entry("a", 6, beat(9)))
		}, "[a b]", false},
		"late beat, read with the complete list": {func(r *roster.Roster) {
			r.Put(entry("a", 5, drainingAt(8)))
			r.Replace(start, []roster.Server{entry("a", 6, beat(7)), entry("b", 2, nil)})
		}, "[b]", true},
		"late beat after the server has left": {func(r *roster.Roster) {
			r.Put(entry("a", 5, drainingAt(8)))
			r.Remove(start, "a")
			r.Put(entry("a", 6, beat(7)))
			r.Expire(start.Add(time.Second))
			r.Put(entry("a", 7, beat(7)))
		}, "[b]", true},
		"late beat after an outage of the store": {func(r *roster.Roster) {
			r.Put(entry("a", 5, beat(8)))
			r.StoreRecovered(start)
			r.Remove(start, "a")
			r.Expire(start.Add(3 * time.Second))
			r.Put(entry("a", 6, beat(7)))
		}, "[b]", true},
		"back with a later beat after an outage": {func(r *roster.Roster) {
			r.Put(entry("a", 5, beat(8)))
			r.StoreRecovered(start)
			r.Remove(start, "a")
			r.Expire(start.Add(3 * time.Second))
			r.Put(entry("a", 6, beat(9)))
		}, "[a b]", false},
		"restarted, counts anew": {func(r *roster.Roster) {
			r.Put(entry("a", 5, beat(8)))
			r.Put(entry("a", 6, func(s *roster.Server) { s.StartedAt = time.UnixMilli(9) }))
		}, "[a b]", true},
		"late beat of the incarnation before the restart": {func(r *roster.Roster) {
			r.Put(entry("a", 5, beat(8)))
			r.Put(entry("a", 6, func(s *roster.Server) { s.StartedAt, s.Draining = time.UnixMilli(9), true }))
			r.Put(entry("a", 7, beat(8)))
		}, "[b]", true},
		"late beat of an incarnation that was not known": {func(r *roster.Roster) {
			r.Put(entry("a", 5, beat(8)))
			r.Put(entry("a", 6, func(s *roster.Server) { s.StartedAt, s.Draining = time.UnixMilli(0), true }))
			r.Put(entry("a", 7, beat(9)))
		}, "[a b]", false},
		"restarted with its clock set back": {func(r *roster.Roster) {
			r.Put(entry("a", 5, func(s *roster.Server) { s.StartedAt = time.UnixMilli(0) }))
		}, "[a b]", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			first := entry("a", 1, nil)
			r.Put(first)
			r.Put(entry("b", 2, nil))
			tc.apply(r)
			assert.Equal(t, inService(r), tc.want)
			assert.Equal(t, !r.StillInService(&first), tc.stale)
		})
	}
}

// Guards against zones that stay out of service although the complete list, read again, no longer contains them.
func TestReplaceZonesOut(t *testing.T) {
	r := roster.New()
	r.Put(entry("a", 1, nil))
	r.SetZoneOut("el-centro", true)
	changes := r.ReplaceZonesOut([]string{"banos"})
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, inService(r), "[a]")
	assert.Equal(t, r.Len(), 1)
}
