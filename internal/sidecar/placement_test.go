package sidecar

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against placing a model on another number of workers than declared, and against workers that load and unload
// because an instance was replaced.
func TestPlacement(t *testing.T) {
	names := func(from, to int) (list []string) {
		for i := from; i < to; i++ {
			list = append(list, fmt.Sprintf("engine-%d", i))
		}
		return list
	}
	placed := func(list []string, workers int, had map[string]bool) map[string]bool {
		got := map[string]bool{}
		for _, name := range list {
			if isPlaced(rendezvousRank("office-8b", name, list), workers, had[name]) {
				got[name] = true
			}
		}
		return got
	}
	tests := map[string]struct {
		before, after  []string
		workers, moved int
	}{
		"unchanged":         {names(0, 20), names(0, 20), 5, 0},
		"one gone":          {names(0, 20), names(1, 20), 5, 1},
		"one replaced":      {names(0, 1200), names(1, 1201), 400, 1},
		"all are needed":    {names(0, 20), names(0, 20), 20, 0},
		"more than present": {names(0, 20), names(0, 20), 30, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before := placed(tt.before, tt.workers, nil)
			assert.Equal(t, len(before), min(tt.workers, len(tt.before)))
			after := placed(tt.after, tt.workers, before)
			moved := 0
			for _, name := range tt.after {
				if before[name] != after[name] {
					moved++
				}
			}
			assert.Assert(t, moved <= tt.moved, "%d workers load or unload", moved)
		})
	}
}
