package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
)

// Guards against prompts that a gateway sends or holds although their answers can't be complete before it ends.
func TestCompleteBy(t *testing.T) {
	const busy = 2 * time.Second
	generating := *engine
	generating.StepTime, generating.StepsPerIteration = 850*time.Microsecond, 51
	cases := map[string]struct {
		tokens int64
		// left is the time until the gateway ends; zero when it goes on.
		left time.Duration
		busy bool
		want dispatch.Placement
	}{
		"short, gateway goes on": {tokens: 5000, want: dispatch.Send{}},
		"short, time suffices":   {tokens: 5000, left: 2 * time.Second, want: dispatch.Send{}},
		"short, too late":        {tokens: 5000, left: 300 * time.Millisecond, want: dispatch.NoPlacement{}},
		"long, time suffices":    {tokens: 60000, left: 3 * time.Second, want: dispatch.JointPrefill{}},
		"long, too late":         {tokens: 60000, left: 500 * time.Millisecond, want: dispatch.NoPlacement{}},
		"held, gateway goes on":  {tokens: 5000, busy: true, want: dispatch.Hold{}},
		"held, time suffices":    {tokens: 5000, left: busy + 2*time.Second, busy: true, want: dispatch.Hold{}},
		"held, too late":         {tokens: 5000, left: busy + 500*time.Millisecond, busy: true, want: dispatch.NoPlacement{}},
		// Two servers have the memory, but not before the first request there has ended.
		"memory, gateway goes on": {tokens: 500000, want: dispatch.Hold{}},
		"memory, too late":        {tokens: 500000, left: 2 * time.Second, want: dispatch.NoPlacement{}},
		"held, no time at all":    {tokens: 5000, left: time.Millisecond, busy: true, want: dispatch.NoPlacement{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := dispatch.NewPlanner("z-0")
			servers := newServers(2)
			for _, s := range servers {
				if tc.busy {
					p.RecordBusy(start, s, busy)
				}
			}
			if tc.tokens > generating.KVCacheTokens {
				placeAndRecord(p, longProfile(200000), servers)
				placeAndRecord(p, longProfile(200000), servers)
			}
			profile := dispatch.RequestProfile{
				Engine: &generating, Prompt: tc.tokens, Answer: 300, Target: time.Second, TargetTime: start.Add(time.Second), Deadline: start.Add(10 * time.Second),
			}
			if tc.left > 0 {
				profile.CompleteBy = start.Add(tc.left)
			}
			got := p.Place(start, profile, servers, nil)
			assert.Equal(t, fmt.Sprintf("%T", got), fmt.Sprintf("%T", tc.want))
			if refusal, ok := got.(dispatch.NoPlacement); ok {
				assert.Equal(t, refusal.Reason, dispatch.EndsTooLate)
			}
		})
	}
}
