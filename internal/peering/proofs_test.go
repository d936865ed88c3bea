package peering_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/peering"
)

// Guards against a proof that states a later time than the store query proves. The time must be relative to a stamp
// that arrived before the store was queried, however late the datagrams are.
func TestProofs(t *testing.T) {
	const stamp = 70_000
	state := peering.State{Incarnation: 3, Stamp: stamp}
	later := peering.State{Incarnation: 3, Stamp: stamp + 900}
	cases := map[string]struct {
		run  func(p *peering.ProofTracker)
		want peering.Proof
	}{
		"stamp before the query": {func(p *peering.ProofTracker) {
			p.RecordStamp(other, state, start)
			p.QueryStarted(start.Add(40 * time.Millisecond))
			p.QuerySucceeded(8, 31)
		}, peering.Proof{Version: 8, Revision: 31, Incarnation: 3, Stamp: stamp, Delay: 40 * time.Millisecond}},
		"newer stamp after the query": {func(p *peering.ProofTracker) {
			p.RecordStamp(other, state, start)
			p.QueryStarted(start.Add(40 * time.Millisecond))
			p.RecordStamp(other, later, start.Add(900*time.Millisecond))
			p.QuerySucceeded(8, 31)
		}, peering.Proof{Version: 8, Revision: 31, Incarnation: 3, Stamp: stamp, Delay: 40 * time.Millisecond}},
		"no stamp before the query": {func(p *peering.ProofTracker) {
			p.QueryStarted(start)
			p.RecordStamp(other, state, start.Add(time.Millisecond))
			p.QuerySucceeded(8, 31)
		}, peering.Proof{}},
		"no answer": {func(p *peering.ProofTracker) {
			p.RecordStamp(other, state, start)
			p.QueryStarted(start.Add(time.Millisecond))
		}, peering.Proof{}},
		"old stamp": {func(p *peering.ProofTracker) {
			p.RecordStamp(other, state, start)
			p.QueryStarted(start.Add(time.Minute))
			p.QuerySucceeded(8, 31)
		}, peering.Proof{}},
		"last answer while the next query is pending": {func(p *peering.ProofTracker) {
			p.RecordStamp(other, state, start)
			p.QueryStarted(start.Add(time.Millisecond))
			p.QuerySucceeded(8, 31)
			p.RecordStamp(other, later, start.Add(900*time.Millisecond))
			p.QueryStarted(start.Add(time.Second))
		}, peering.Proof{Version: 8, Revision: 31, Incarnation: 3, Stamp: stamp, Delay: time.Millisecond}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := peering.NewProofTracker()
			tc.run(p)
			assert.DeepEqual(t, p.ProofFor(other), tc.want)
		})
	}
	p := peering.Proof{Stamp: stamp, Delay: 40 * time.Millisecond}
	assert.Assert(t, p.ProvenAt().Equal(time.UnixMilli(70_040)))
}
