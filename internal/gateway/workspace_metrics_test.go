package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a workspace whose refusals no metric shows, and against counts that grow with every name that callers have used.
func TestWorkspaceMetrics(t *testing.T) {
	m := newWorkspaceMetrics()
	for i := range 3 * maxWorkspaceMetrics {
		m.record(fmt.Sprint("w-", i), "answered", 0)
		m.record("steady", "answered", 0)
	}
	m.record("steady", "refused-overloaded", 2*time.Second)
	m.record("steady", "failed-backend-silent", time.Second)
	counts := m.counts()
	assert.Equal(t, len(counts), maxWorkspaceMetrics)
	assert.Equal(t, counts["steady"], WorkspacePrompts{Answered: 3 * maxWorkspaceMetrics, Refused: 1, Held: 2, HeldMS: 3000})
}
