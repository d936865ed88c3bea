package peering_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/peering"
	"berylward.example/berylward/internal/roster"
)

// Guards against a report of servers and zones out of service that gets lost, or makes a datagram too long.
func TestReportInDatagram(t *testing.T) {
	state := peering.State{Incarnation: 3}
	without, err := peering.Encode(state)
	assert.NilError(t, err)
	for i := range 6 {
		state.Out.Servers = append(state.Out.Servers, roster.ServerOut{Key: 1<<31 + uint32(i), Sequence: 100_000})
	}
	state.Out.Zones = []string{"zone-1", "zone-2", "zone-3"}
	with, err := peering.Encode(state)
	assert.NilError(t, err)
	assert.Assert(t, len(with)-len(without) <= 90, "%d bytes", len(with)-len(without))
	proof, err := peering.EncodeProof(peering.Proof{})
	assert.NilError(t, err)
	decoded, _, err := peering.Decode(append(with, proof...))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Out, state.Out)
}

// Guards against a proof of one era of the store that a gateway takes for one of another era, whose revisions mean something else.
func TestProofsAcrossEras(t *testing.T) {
	state := peering.State{Incarnation: 3, Stamp: 70_000, Version: 8, Era: 2}
	proof := peering.Proof{Version: 8, Revision: 31, Era: 2, Incarnation: 3, Stamp: 70_000, Delay: time.Millisecond}
	cases := map[string]struct {
		run  func(p *peering.ProofTracker)
		want peering.Proof
	}{
		"proven in the era": {func(p *peering.ProofTracker) { p.QuerySucceeded(8, 31) }, proof},
		"restored since":    {func(p *peering.ProofTracker) { p.QuerySucceeded(8, 31); p.EnterEra(3) }, peering.Proof{}},
		"proven in the new era by a query that was sent before": {func(p *peering.ProofTracker) {
			p.EnterEra(3)
			p.QuerySucceeded(8, 20)
		}, peering.Proof{Version: 8, Revision: 20, Era: 3, Incarnation: 3, Stamp: 70_000, Delay: time.Millisecond}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := peering.NewProofTracker()
			p.EnterEra(2)
			p.RecordStamp(other, state, start)
			p.QueryStarted(start.Add(time.Millisecond))
			tc.run(p)
			assert.DeepEqual(t, p.ProofFor(other), tc.want)
			data, err := peering.Encode(state)
			assert.NilError(t, err)
			encoded, err := peering.EncodeProof(tc.want)
			assert.NilError(t, err)
			decodedState, decoded, err := peering.Decode(append(data, encoded...))
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded, tc.want)
			assert.Equal(t, decodedState.Version, state.Version)
			assert.Equal(t, decodedState.Era, state.Era)
		})
	}
}
