package entry

import (
	"slices"
	"strings"
	"time"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/callers"
	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/suspect"
)

// Status is the state of an entry as shown to operators.
type Status struct {
	Role              string            `json:"role"`
	Instance          string            `json:"instance"`
	Zone              string            `json:"zone"`
	Incarnation       string            `json:"incarnation"`
	Ready             bool              `json:"ready"`
	NotReady          string            `json:"not-ready,omitempty"`
	Generation        uint64            `json:"generation"`
	RefusedGeneration string            `json:"refused-generation,omitempty"`
	ZonesOut          []string          `json:"zones-out,omitempty"`
	ActiveWorkspaces  int               `json:"active-workspaces"`
	SuspectCount      int               `json:"suspects"`
	SuspectList       []suspect.Summary `json:"suspect-list,omitempty"`
	// CallerConnections are the connections that callers have open.
	CallerConnections callers.Usage `json:"caller-connections"`
	// RequestBodies, AnswerBodies and WaitingBodies are the memory that the bodies of requests take, the answers to running requests,
	// and what callers that read slowly have not taken yet.
	RequestBodies body.Usage     `json:"request-bodies"`
	AnswerBodies  body.Usage     `json:"answer-bodies"`
	WaitingBodies body.Usage     `json:"waiting-bodies"`
	Workers       []WorkerStatus `json:"workers"`
}

// WorkerStatus is the state of one worker that the entry has a peer for, as the entry knows it.
type WorkerStatus struct {
	Name    string `json:"name"`
	Address string `json:"address,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Linked  bool   `json:"linked"`
	// State is serving, draining or down, or unlisted if the worker is not in the instance list.
	State string `json:"state"`
	// DrainCauses says why the worker gets no new work: zone-out, leaving or said-by-worker.
	DrainCauses []string `json:"causes,omitempty"`
	Serves      []string `json:"serves,omitempty"`
	// Fullness is the estimated load in windows. ReportAge is the age of the report that the estimate is based on, if
	// any.
	Fullness  float64 `json:"believed-fullness"`
	ReportAge string  `json:"report-age,omitempty"`
	Window    int64   `json:"window-tokens,omitempty"`
	Attempts  int     `json:"attempts"`
	Tokens    int64   `json:"tokens"`
}

// Status returns the current state of the entry.
func (e *Entry) Status() Status {
	reason := e.notReadyReason()
	st := Status{
		Role:     "entry",
		Instance: e.Instance, Zone: e.Zone, Incarnation: e.incarnation.String(), Ready: reason == "", NotReady: reason,
		Generation: e.exchange.CurrentNumber(), CallerConnections: e.conns.Usage(), RequestBodies: e.bodies.Usage(),
		AnswerBodies: e.answers.Usage(), WaitingBodies: e.waiting.Usage(), Workers: []WorkerStatus{},
	}
	if r, ok := e.config.LastRefusal(); ok && len(r.Problems) > 0 {
		st.RefusedGeneration = r.Problems[0].String()
	}
	if s := e.config.Snapshot(); s != nil {
		for name, z := range s.Declarations.Zones {
			if z.Out {
				st.ZonesOut = append(st.ZonesOut, name)
			}
		}
		slices.Sort(st.ZonesOut)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	st.ActiveWorkspaces, st.SuspectList = e.limiter.Active(), e.suspects.List(e.clock.Now())
	st.SuspectCount = len(st.SuspectList)
	workerViews := map[string]fleet.WorkerView{}
	for _, v := range e.view.WorkerViews(e.clock.Now()) {
		workerViews[v.Name] = v
	}
	for name, p := range e.peers {
		w := WorkerStatus{Name: name, State: "unlisted"}
		if v, ok := workerViews[name]; ok {
			w = workerStatus(v)
		}
		w.Address, w.Linked = p.address.String(), p.connected()
		w.Attempts, w.Tokens = e.view.Inflight(name)
		st.Workers = append(st.Workers, w)
	}
	slices.SortFunc(st.Workers, func(a, b WorkerStatus) int { return strings.Compare(a.Name, b.Name) })
	return st
}

func workerStatus(v fleet.WorkerView) WorkerStatus {
	w := WorkerStatus{
		Name: v.Name, Zone: v.Zone, State: string(v.Status), Serves: v.Serves, Fullness: v.Fullness, Window: v.Window,
	}
	if v.Reported {
		w.ReportAge = v.Age.Round(100 * time.Millisecond).String()
	}
	if v.ZoneOut {
		w.DrainCauses = append(w.DrainCauses, "zone-out")
	}
	if v.Leaving {
		w.DrainCauses = append(w.DrainCauses, "leaving")
	}
	if v.Status != fleet.StatusServing {
		w.DrainCauses = append(w.DrainCauses, "said-by-worker")
	}
	return w
}
