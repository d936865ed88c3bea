package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a watch that waits at a store that is gone while another gateway has read a later era, one that is cut again and
// again, and a revision of an earlier era that makes a gateway think it has missed a change.
func TestLaterEraCutsWatch(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		see   func(w *pendingWatch)
		after time.Duration
		want  string
	}{
		"same era":                   {func(w *pendingWatch) { w.sawEra(start, 2, 2) }, time.Minute, ""},
		"earlier era":                {func(w *pendingWatch) { w.sawEra(start, 1, 2) }, time.Minute, ""},
		"later era, just now":        {func(w *pendingWatch) { w.sawEra(start, 3, 2) }, laterEraLimit - 1, ""},
		"later era":                  {func(w *pendingWatch) { w.sawEra(start, 3, 2) }, laterEraLimit, "era"},
		"reported again and again":   {func(w *pendingWatch) { w.sawEra(start, 3, 2); w.sawEra(start.Add(laterEraLimit-1), 3, 2) }, laterEraLimit, "era"},
		"store has answered since":   {func(w *pendingWatch) { w.sawEra(start, 3, 2); w.applied(7) }, time.Minute, ""},
		"era entered since":          {func(w *pendingWatch) { w.sawEra(start, 3, 2); w.enterEra() }, time.Minute, ""},
		"revision of the era before": {func(w *pendingWatch) { w.sawRevision(start, 900, 7); w.enterEra() }, time.Minute, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := pendingWatch{cancel: func() {}}
			tc.see(&w)
			assert.Equal(t, w.reasonToCut(start.Add(tc.after), 7, 0, 0), tc.want)
		})
	}
}
