package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/answer"
)

// Guards against memory that stays reserved for whole leases after their entry has ended, also for a reservation that waited for
// memory then.
func TestLostLinksEndLeases(t *testing.T) {
	now, lost, other := time.Unix(1_000_000, 0), &link.Conn{}, &link.Conn{}
	cases := map[string]struct {
		conn  *link.Conn
		lease time.Duration
		want  time.Duration
	}{
		"lost link":                 {lost, memberLease, detachedLease},
		"lost link, lease at end":   {lost, time.Second, time.Second},
		"other link":                {other, memberLease, memberLease},
		"link that was lost before": {nil, time.Second, time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b, m := newTestBackend(0), &member{conn: tc.conn, leaseEnd: now.Add(tc.lease)}
			b.members = map[answer.ID]*member{m.id: m}
			b.pendingReserves = []pendingReserve{{conn: lost}, {conn: other}}
			b.detachMembers(now, lost)
			assert.Equal(t, m.leaseEnd.Sub(now), tc.want)
			assert.Assert(t, m.conn != lost)
			assert.Assert(t, len(b.pendingReserves) == 1 && b.pendingReserves[0].conn == other)
		})
	}
}
