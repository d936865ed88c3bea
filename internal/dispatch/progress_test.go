package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
)

// Guards against taking an engine for dead that sends no event while it prefills long prompts, and against waiting for one whose
// prompts do not explain its silence.
func TestIsPrefilling(t *testing.T) {
	const longTokens = 154000 // about 3 s of prefill
	place := func(profile dispatch.RequestProfile) func(*dispatch.Planner, []*roster.Server) {
		return func(p *dispatch.Planner, list []*roster.Server) {
			p.RecordPlacement(start, profile, dispatch.Send{Server: list[0]})
		}
	}
	helps := func(p *dispatch.Planner, list []*roster.Server) {
		p.RecordPlacement(start, longProfile(longTokens), dispatch.JointPrefill{Servers: list[:2], PartTime: time.Second})
	}
	reported := func(l dispatch.Load) func(*dispatch.Planner, []*roster.Server) {
		return func(p *dispatch.Planner, list []*roster.Server) {
			l.Key = dispatch.BackendKey(list[1])
			p.SetPeerLoads(start, "other", []dispatch.Load{l})
		}
	}
	cases := map[string]struct {
		server   int // index of the engine that runs the stream
		setup    func(*dispatch.Planner, []*roster.Server)
		unread   bool // the stream itself has had no event
		silence  time.Duration
		expected bool
	}{
		"nothing to prefill, in an iteration":    {silence: 80 * time.Millisecond, expected: true},
		"nothing to prefill":                     {silence: time.Second},
		"long prompt of this gateway":            {setup: place(longProfile(longTokens)), silence: time.Second, expected: true},
		"silent beyond the long prompt":          {setup: place(longProfile(longTokens)), silence: 6 * time.Second},
		"short prompt of this gateway":           {setup: place(shortProfile()), silence: time.Second},
		"part of a joint prefill, as a helper":   {server: 1, setup: helps, silence: time.Second, expected: true},
		"silent beyond the part":                 {server: 1, setup: helps, silence: 2 * time.Second},
		"not a member of the joint prefill":      {server: 2, setup: helps, silence: time.Second},
		"prompt of another gateway":              {server: 1, setup: reported(dispatch.Load{Long: 1, PendingPrefill: time.Second}), silence: time.Second, expected: true},
		"avoided by another gateway":             {server: 1, setup: reported(dispatch.Load{PendingPrefill: time.Second, AvoidFor: 2 * time.Second}), silence: time.Second},
		"own prompt not prefilled":               {setup: place(longProfile(longTokens)), unread: true, silence: time.Second},
		"requests of others, nothing to prefill": {server: 1, setup: reported(dispatch.Load{Short: 40}), silence: time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := newPlanner(1), newServers(3)
			id := p.RecordPlacement(start, shortProfile(), dispatch.Send{Server: list[tc.server]})
			if !tc.unread {
				p.RecordProgress(start, id)
			}
			if tc.setup != nil {
				tc.setup(p, list)
			}
			assert.Equal(t, p.IsPrefilling(start.Add(tc.silence), id), tc.expected)
		})
	}
}

// Guards against waiting for an engine that other requests have found dead, however much it had to prefill.
func TestIsPrefillingAfterLoss(t *testing.T) {
	p, list := newPlanner(1), newServers(1)
	id := p.RecordPlacement(start, shortProfile(), dispatch.Send{Server: list[0]})
	p.RecordProgress(start, id)
	p.RecordPlacement(start, longProfile(154000), dispatch.Send{Server: list[0]})
	now := start.Add(time.Second)
	assert.Assert(t, p.IsPrefilling(now, id))
	lost := p.RecordPlacement(start, shortProfile(), dispatch.Send{Server: list[0]})
	p.RecordEnd(now, lost, dispatch.Lost{})
	assert.Assert(t, !p.IsPrefilling(now, id))
	p.RecordEnd(now, id, dispatch.Lost{})
	assert.Assert(t, !p.IsPrefilling(now, id)) // no longer placed
}
