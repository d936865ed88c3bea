package fleet

import (
	"slices"
	"strings"
	"time"
)

// WorkerView is the entry's knowledge about one worker, as shown to operators.
type WorkerView struct {
	Name, Zone string
	Linked     bool
	// Status is what the worker reported last.
	Status Status
	// Leaving and ZoneOut each mean that the worker gets no new work, whatever its status is.
	Leaving, ZoneOut bool
	// Fullness is the load that Choose compares, in windows. Reported is set when it is based on an observation of
	// the worker, which is Age old.
	Fullness float64
	Reported bool
	Age      time.Duration
	// Window is the worker's admission window in tokens; zero means unknown.
	Window int64
	// Serves holds the models or the service of the worker.
	Serves []string
}

// WorkerViews returns the estimates for all listed workers, sorted by name. It changes nothing.
func (v *View) WorkerViews(now time.Time) []WorkerView {
	all := make([]WorkerView, 0, len(v.workers))
	for name, w := range v.workers {
		wv := WorkerView{
			Name: name, Zone: w.Zone, Linked: w.linked, Status: StatusServing, Leaving: w.Leaving, ZoneOut: v.zonesOut[w.Zone],
			Fullness: w.estimate(now, v.fleetMean.value()), Reported: w.load.known, Window: w.load.window,
			Serves: slices.Clone(w.Models),
		}
		if w.Role == RoleService {
			wv.Serves = []string{w.Service}
		}
		if wv.Reported {
			wv.Age = max(now.Sub(w.load.updated), 0)
		}
		switch {
		case w.down:
			wv.Status = StatusDown
		case w.draining:
			wv.Status = StatusDraining
		}
		all = append(all, wv)
	}
	slices.SortFunc(all, func(a, b WorkerView) int { return strings.Compare(a.Name, b.Name) })
	return all
}
