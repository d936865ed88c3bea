package gateway

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxWorkspaceMetrics is the number of workspaces of which counts are kept. A site has some dozens with long prompts; the status
// lists all of them.
const maxWorkspaceMetrics = 64

// WorkspacePrompts counts the prompts of a workspace for services whose requests are ranked.
type WorkspacePrompts struct {
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// Held counts the prompts that were held, whatever became of them, HeldMS is how long that took in all.
	Held   int64 `json:"held"`
	HeldMS int64 `json:"held-ms"`
}

// workspaceMetrics counts prompts by workspace. It keeps the maxWorkspaceMetrics workspaces that were used last. It is safe for
// concurrent use.
type workspaceMetrics struct {
	mu     sync.Mutex
	byName *simplelru.LRU[string, *WorkspacePrompts]
}

func newWorkspaceMetrics() *workspaceMetrics {
	return &workspaceMetrics{byName: newLRU[*WorkspacePrompts](maxWorkspaceMetrics)}
}

// record counts a request that has ended. The workspace is empty on a public route.
func (m *workspaceMetrics) record(workspace, outcome string, held time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w, ok := m.byName.Get(workspace)
	if !ok {
		w = &WorkspacePrompts{}
		m.byName.Add(workspace, w)
	}
	switch outcomeClass(outcome) {
	case "answered":
		w.Answered++
	case "refused":
		w.Refused++
	}
	if held > 0 {
		w.Held++
		w.HeldMS += held.Milliseconds()
	}
}

// counts returns the counts by workspace.
func (m *workspaceMetrics) counts() map[string]WorkspacePrompts {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]WorkspacePrompts, m.byName.Len())
	for _, name := range m.byName.Keys() {
		if w, ok := m.byName.Peek(name); ok {
			all[name] = *w
		}
	}
	return all
}
