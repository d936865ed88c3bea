package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/route"
)

// Guards against a table that reverts, a withdrawn key that works again, or a table that counts as the latest version although
// the store, which came back from an older copy, or another gateway shows that it need not be.
func TestTableOfRestoredStore(t *testing.T) {
	withdrawn := route.NewTable(7, []route.Route{{Name: "all", Host: "a.example", Prefix: "/"}}, nil, map[string]string{}, route.Limits{})
	later := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	cases := map[string]struct {
		after func(c *route.CurrentTable)
		// version is in force then, age is the age of its proof 3 s after the start.
		version int64
		age     time.Duration
	}{
		"no change": {func(c *route.CurrentTable) { c.Prove(later(2), 905) }, 7, time.Second},
		"older version in the copy": {func(c *route.CurrentTable) {
			c.EnterEra(2)
			assert.Assert(t, !c.Install(newTable(6)))
			assert.Assert(t, !c.Prove(later(2), 850))
		}, 7, 3 * time.Second},
		"no table in the copy": {func(c *route.CurrentTable) { c.EnterEra(2); c.Prove(later(2), 850) }, 7, 3 * time.Second},
		"same version in the copy": {func(c *route.CurrentTable) {
			c.EnterEra(2)
			c.Install(newTable(7))
			assert.Assert(t, c.Prove(later(2), 850))
		}, 7, time.Second},
		"older version, then the same": {func(c *route.CurrentTable) {
			c.EnterEra(2)
			c.Install(newTable(6))
			c.Prove(later(1), 850)
			c.Install(newTable(7))
			c.Prove(later(2), 851)
		}, 7, time.Second},
		"older version, then a newer one": {func(c *route.CurrentTable) {
			c.EnterEra(2)
			c.Install(newTable(6))
			c.Install(newTable(8))
			c.Prove(later(2), 852)
		}, 8, time.Second},
		"same version, restored again": {func(c *route.CurrentTable) {
			c.EnterEra(2)
			c.Install(newTable(7))
			c.EnterEra(3)
			c.Install(newTable(6))
			c.Prove(later(2), 840)
		}, 7, 3 * time.Second},
		"another gateway proves the version, changes not applied": {func(c *route.CurrentTable) {
			c.EnterEra(2)
			c.Install(newTable(7))
			assert.Assert(t, !c.ProveByPeer(7, 880, later(2), later(3)))
		}, 7, 3 * time.Second},
		"another gateway proves the version, not shown here": {func(c *route.CurrentTable) {
			c.EnterEra(2)
			c.Prove(later(1), 890)
			assert.Assert(t, !c.ProveByPeer(7, 880, later(2), later(3)))
		}, 7, 3 * time.Second},
		"another gateway has a newer version": {func(c *route.CurrentTable) {
			c.EnterEra(2)
			c.Install(newTable(7))
			c.RecordReported(8)
			assert.Assert(t, !c.Prove(later(2), 850))
		}, 7, 3 * time.Second},
		"another gateway had a newer version": {func(c *route.CurrentTable) {
			c.EnterEra(2)
			c.RecordReported(8)
			c.Install(newTable(8))
			c.Prove(later(2), 850)
		}, 8, time.Second},
		"another gateway has a newer version, store without eras": {func(c *route.CurrentTable) {
			c.RecordReported(8)
			c.Prove(later(2), 905)
		}, 7, time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := route.NewCurrentTable(4500 * time.Millisecond)
			c.Install(newTable(6))
			c.Install(withdrawn)
			c.Prove(start, 900)
			tc.after(c)
			assert.Equal(t, c.Table().Version, tc.version)
			assert.Equal(t, c.ProofAge(later(3)), tc.age)
			if tc.version == 7 {
				_, admitted := c.AdmitAgain("a.example", "/x", "key").(route.Admitted)
				assert.Assert(t, !admitted, "withdrawn key")
			}
		})
	}
}

// Guards against a gateway that starts beside a restored store and admits requests by a copy before others have reported what it
// lacks, and against one that waits although the store was never restored.
func TestAwaitReports(t *testing.T) {
	later := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := map[string]struct {
		era      int64
		reported int64
		end      bool
		admitted bool
	}{
		"store without eras": {0, 0, false, true},
		"awaiting":           {2, 0, false, false},
		"none reported":      {2, 0, true, true},
		"same reported":      {2, 6, true, true},
		"newer reported":     {2, 7, true, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := route.NewCurrentTable(4500 * time.Millisecond)
			c.AwaitReports()
			c.EnterEra(tc.era)
			c.Install(newTable(6))
			c.Prove(later(100), 850)
			c.RecordReported(tc.reported)
			if tc.end {
				c.EndAwait()
			}
			_, admitted := c.Admit(later(400), "a.example", "/x", "key").(route.Admitted)
			assert.Equal(t, admitted, tc.admitted)
			assert.Equal(t, c.AdmitsKeys(later(400)), tc.admitted)
		})
	}
}
