package sidecar

import (
	"slices"
	"time"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/internal/worker"
)

// Status is the state of a sidecar as shown to operators.
type Status struct {
	Role              string            `json:"role"`
	Instance          string            `json:"instance"`
	Zone              string            `json:"zone"`
	Incarnation       string            `json:"incarnation"`
	Uptime            string            `json:"uptime"`
	Generation        uint64            `json:"generation"`
	RefusedGeneration string            `json:"refused-generation,omitempty"`
	ZonesOut          []string          `json:"zones-out,omitempty"`
	Service           string            `json:"service,omitempty"`
	Phase             string            `json:"phase"`
	Causes            []string          `json:"causes,omitempty"`
	Window            WindowSize        `json:"window"`
	InFlight          WindowSize        `json:"in-flight"`
	MemoryLimit       int64             `json:"memory-limit"`
	MemoryUsed        int64             `json:"memory-used"`
	Reservations      int               `json:"reservations"`
	CachedPrefixes    int               `json:"cached-prefixes"`
	Queued            int               `json:"queued"`
	QueuedByClass     map[string]int    `json:"queued-by-class,omitempty"`
	Running           int               `json:"running"`
	Models            []string          `json:"models,omitempty"`
	Links             []string          `json:"links"`
	Keys              int               `json:"keys"`
	KeyLifetime       string            `json:"key-life,omitempty"`
	Epoch             uint64            `json:"epoch,omitempty"`
	UnsealedEpochs    []uint64          `json:"lacking-epochs,omitempty"`
	Suspects          int               `json:"suspects"`
	SuspectList       []suspect.Summary `json:"suspect-list,omitempty"`
	Quarantine        string            `json:"quarantine"`
	// RequestBodies, AnswerBodies and CacheBodies are the memory that the bodies of requests, answers and caches take.
	RequestBodies body.Usage `json:"request-bodies"`
	AnswerBodies  body.Usage `json:"answer-bodies"`
	CacheBodies   body.Usage `json:"cache-bodies"`
}

// WindowSize has the fields of worker.Limits, with JSON names.
type WindowSize struct {
	Tokens   int64 `json:"tokens"`
	Requests int   `json:"requests"`
}

// statusRequested asks the backend goroutine for the status.
type statusRequested struct{ reply chan Status }

func (statusRequested) event() {}

// statusTimeout bounds the wait for the backend goroutine.
const statusTimeout = time.Second

// Status returns the state of the sidecar. It waits at most one second for the backend goroutine.
func (s *Sidecar) Status() Status {
	reply := make(chan Status, 1)
	s.events.Put(statusRequested{reply})
	timer := s.clock.NewTimer(statusTimeout)
	defer timer.Stop()
	select {
	case status := <-reply:
		return status
	case <-timer.C():
	case <-s.tomb.Dying():
	}
	return Status{Role: "sidecar", Instance: s.Instance, Zone: s.Zone, Phase: "not-answering"}
}

func (b *backend) status(now time.Time) Status {
	m := b.state()
	st := Status{
		Role:     "sidecar",
		Instance: b.Instance, Zone: b.Zone, Incarnation: b.incarnation.String(), Uptime: now.Sub(b.startedAt).Round(time.Second).String(),
		Generation: b.exchange.CurrentNumber(), Service: b.Service, Phase: m.Phase, Models: m.Models,
		Queued: m.Queued, Running: m.Running, SuspectList: b.suspects.List(now),
		Quarantine: b.suspects.Quarantine().String(), RequestBodies: b.budgets.requests.Usage(), AnswerBodies: b.budgets.answers.Usage(),
		CacheBodies: b.budgets.caches.Usage(),
	}
	st.Suspects = len(st.SuspectList)
	if r, ok := b.config.LastRefusal(); ok && len(r.Problems) > 0 {
		st.RefusedGeneration = r.Problems[0].String()
	}
	if d, ok := b.lifecycle.State().(worker.Draining); ok {
		for _, c := range d.Causes {
			st.Causes = append(st.Causes, string(c))
		}
	}
	if s := b.config.Snapshot(); s != nil {
		for name, z := range s.Declarations.Zones {
			if z.Out {
				st.ZonesOut = append(st.ZonesOut, name)
			}
		}
		slices.Sort(st.ZonesOut)
	}
	if b.scheduler != nil {
		st.QueuedByClass = map[string]int{}
		for c, n := range b.scheduler.QueuedByClass() {
			st.QueuedByClass[c.String()] = n
		}
		st.Window, st.InFlight = WindowSize(b.window.Limits()), WindowSize(b.window.InFlight())
		st.CachedPrefixes = b.prefixes.Len()
		st.MemoryLimit, st.MemoryUsed, st.Reservations = b.reservations.Limit(), b.reservations.Used(), b.reservations.Len()
	}
	if b.keyTable != nil {
		st.KeyLifetime = b.keyTable.Limits().KeyLifetime.String()
		st.Keys, st.Epoch, st.UnsealedEpochs = b.keyTable.Len(), b.keyTable.Epoch(), b.keyTable.UnsealedEpochs()
	}
	for conn := range b.links {
		st.Links = append(st.Links, conn.Peer().Instance)
	}
	slices.Sort(st.Links)
	return st
}
