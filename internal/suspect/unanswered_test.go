package suspect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against evidence that is lost when nobody waits for a request any more, and against sound requests that are blamed for
// an end long after they were given up.
func TestUnansweredSends(t *testing.T) {
	cases := map[string]struct {
		// alive are the times after which the server was seen alive, endsAfter that of its end, all after the request was given up.
		alive     []time.Duration
		endsAfter time.Duration
		left      bool // the server left as planned before
		evidence  bool
	}{
		"ends at once":                      {nil, 40 * time.Millisecond, false, true},
		"alive shortly before its end":      {[]time.Duration{10 * time.Millisecond, 300 * time.Millisecond}, 400 * time.Millisecond, false, true},
		"alive long after":                  {[]time.Duration{1200 * time.Millisecond}, 1300 * time.Millisecond, false, false},
		"silent until its entry is removed": {nil, 4 * time.Second, false, true},
		"silent for too long":               {nil, 11 * time.Second, false, false},
		"has left":                          {nil, time.Second, true, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			u := NewUnansweredSends()
			u.Record(7, UnansweredSend{Fingerprint: Fingerprint{1}, GaveUpAt: start})
			for _, after := range tc.alive {
				u.RecordAlive(start.Add(after), 7)
			}
			if tc.left {
				u.Forget(7)
			}
			assert.Equal(t, len(u.RecordEnd(start.Add(tc.endsAfter), 8)), 0, "another server")
			assert.Equal(t, len(u.RecordEnd(start.Add(tc.endsAfter), 7)) > 0, tc.evidence)
			assert.Equal(t, len(u.RecordEnd(start.Add(tc.endsAfter), 7)), 0, "an end counts once")
		})
	}
}

// Guards against a set that grows without limit when many callers leave.
func TestUnansweredLimits(t *testing.T) {
	u := NewUnansweredSends()
	for i := range 3 * maxUnansweredServers {
		for range 2 * maxUnansweredPerServer {
			u.Record(ServerKey(i), UnansweredSend{GaveUpAt: start})
		}
		assert.Assert(t, len(u.servers[ServerKey(i)]) <= maxUnansweredPerServer)
	}
	assert.Equal(t, len(u.servers), maxUnansweredServers)
	u.Record(0xffffffff, UnansweredSend{GaveUpAt: start.Add(time.Minute)})
	assert.Assert(t, u.Has(0xffffffff), "old ones make room")
	assert.Equal(t, len(u.servers), 1)
}
