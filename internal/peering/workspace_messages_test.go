package peering_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/peering"
)

// Guards against engine time that gateways count for another workspace or priority, or not at all.
func TestWorkspacesInDatagram(t *testing.T) {
	sent := peering.State{
		Work:       []dispatch.LongWork{{Service: 1, Rank: 1}, {Service: 1, Rank: 2}},
		Workspaces: []dispatch.WorkspaceTime{{Service: 1, Rank: 2, Workspace: 3, Sent: 90 * time.Second, Forfeited: 700 * time.Millisecond}},
		Held:       []dispatch.HeldPrompt{{Service: 1, Rank: 2, Workspace: 3, Waited: time.Second, Prefill: 2 * time.Second}},
	}
	data, err := peering.Encode(sent)
	assert.NilError(t, err)
	proof, err := peering.EncodeProof(peering.Proof{})
	assert.NilError(t, err)
	got, _, err := peering.Decode(append(data, proof...))
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Workspaces, sent.Workspaces)
	assert.DeepEqual(t, got.Held, sent.Held)
}
