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

func inService(r *roster.Roster) string {
	var list []string
	for _, s := range r.InService("pool") {
		list = append(list, s.ID)
	}
	return fmt.Sprint(list)
}

// Guards against new requests for backend servers that are draining, removed, in a zone out of service or restarted,
// and against dropping live ones whose entries disappeared in a store outage.
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
