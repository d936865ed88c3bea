package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a watch that goes on although the gateway has missed a change or its table is not proven, and against
// gateways that all query the store at once because one proof is late.
func TestReasonToCutWatch(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		pending, cut bool
		// reported is the revision in the proof of another gateway, own that of this gateway.
		reported, own int64
		after, age    time.Duration
		rank          int
		want          string
	}{
		"proven":                  {true, false, 7, 7, time.Second, time.Second, 1, ""},
		"no watch pending":        {false, false, 9, 7, time.Second, time.Minute, 1, ""},
		"cut already":             {true, true, 9, 7, time.Second, time.Minute, 1, ""},
		"unproven":                {true, false, 7, 7, time.Second, proofLimit, 0, "unproven"},
		"left to a lower rank":    {true, false, 7, 7, time.Second, proofLimit, 1, ""},
		"lower ranks failed":      {true, false, 7, 7, time.Second, proofLimit + 2*proofStagger, 2, "unproven"},
		"highest rank":            {true, false, 7, 7, time.Second, proofLimit + maxStaggered*proofStagger, 100, "unproven"},
		"behind":                  {true, false, 8, 7, behindLimit, time.Second, 1, "behind"},
		"change may be under way": {true, false, 8, 7, behindLimit - 1, time.Second, 1, ""},
		"earlier revision":        {true, false, 6, 7, time.Minute, time.Second, 1, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := pendingWatch{cut: tc.cut}
			if tc.pending {
				w.cancel = func() {}
			}
			w.sawRevision(start, tc.reported, tc.own)
			assert.Equal(t, w.reasonToCut(start.Add(tc.after), tc.own, tc.age, tc.rank), tc.want)
			w.applied(tc.own)
			assert.Assert(t, w.reasonToCut(start.Add(time.Hour), tc.own, 0, tc.rank) != "behind", "behind after the store answered")
		})
	}
}

// Guards against changes that come into force too late because many gateways share the store.
func TestBatchPause(t *testing.T) {
	cases := map[string]struct {
		gateways      int
		changeTimeout time.Duration
		want          time.Duration
	}{
		"small group":   {3, 2 * time.Second, 268 * time.Millisecond},
		"large group":   {103, 4 * time.Second, 868 * time.Millisecond},
		"largest group": {400, 4 * time.Second, time.Second},
		"short timeout": {103, 2 * time.Second, 500 * time.Millisecond},
		"no timeout":    {400, 0, time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, batchPauseFor(tc.gateways, tc.changeTimeout), tc.want) })
	}
}
