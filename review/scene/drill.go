//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["drill"] = playDrill }

const (
	evacuate = 5 * time.Second
	// skewMax is by how much an unstable core stretches the bounds of configuration and evacuation at most.
	skewMax = 5 * time.Second
)

// playDrill evacuates a zone, has the store come back from a copy of three seconds before, publishes an ordinary configuration,
// and writes the evacuation again.
func playDrill(s *stage) (*result, error) {
	services := []map[string]any{plainService("desk")}
	build := func(version, timeout int) []byte {
		route := plainRoute("r-check", "/check/", "desk", "safe", true)
		route["timeoutMs"] = timeout
		return config(version, []map[string]any{route}, services, nil)
	}
	s.store.put("op/config", build(7, 1500))
	var evacuated *worker
	for i, zone := range []string{"pl-central-a", "pl-central-b", "pl-central-c"} {
		w, err := s.addWorker(i+1, "desk", zone)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			evacuated = w
		}
	}
	var clients []*client
	for i, zone := range []string{"pl-central-a", "pl-central-b", "pl-central-c"} {
		g, err := s.addGate(i+1, zone, s.ip(1, 1), s.ip(1, 2), s.ip(1, 3))
		if err != nil {
			return nil, err
		}
		if err := g.start(); err != nil {
			return nil, err
		}
		clients = append(clients, s.newClient(g))
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for _, c := range clients {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					c.send(request{method: "GET", target: "/check/1", limit: 1500 * time.Millisecond})
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	backup := s.store.copy()
	s.logf("a copy of the store is taken")
	time.Sleep(time.Second)
	confirmed := s.store.put("op/evacuate/pl-central-a", []byte("{}"))
	s.logf("the operator evacuates pl-central-a")
	time.Sleep(4 * time.Second)
	if s.trouble {
		s.store.leave()
		s.logf("the store is away")
		time.Sleep(300 * time.Millisecond)
		s.store.restore(backup)
		s.logf("the store comes back from the copy, in era 1")
	}
	back := time.Now()
	time.Sleep(stabilityWindow + 500*time.Millisecond)
	s.store.put("op/config", build(9, 1400))
	s.logf("the operator publishes version 9, with another timeout")
	time.Sleep(4 * time.Second)
	again := time.Now()
	if s.trouble {
		s.store.put("op/evacuate/pl-central-a", []byte("{}"))
		s.logf("the operator writes the evacuation of pl-central-a again")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	senders.Wait()

	r := &result{}
	from := confirmed.Add(evacuate)
	if stable := back.Add(stabilityWindow); stable.After(from) {
		from = stable
	}
	var last time.Time
	stretched := 0
	for _, x := range evacuated.runsCopy() {
		if x.at.After(from) {
			last = x.at
			if x.at.Sub(confirmed) > evacuate+skewMax {
				stretched++
			}
			r.broke("%s reaches %s in pl-central-a %.1f s after the confirmation of its evacuation, %.1f s after the store came back", x.id, evacuated.id, x.at.Sub(confirmed).Seconds(), x.at.Sub(back).Seconds())
		}
	}
	if !last.IsZero() {
		r.note("%d of them arrived later than evacuateMs + skewMaxMs after the confirmation", stretched)
		r.note("the last of them arrived %.1f s after the confirmation, %.1f s after the evacuation was written again", last.Sub(confirmed).Seconds(), last.Sub(again).Seconds())
	}
	for _, c := range clients {
		r.note("the client of %s has opened %d channel(s)", c.gate.name, c.opened)
	}
	for _, g := range s.gates {
		g.logLines(6, "older copy", "zone taken", "zone back", "table in force")
	}
	if evacuated == nil {
		return nil, fmt.Errorf("no worker in the zone")
	}
	return r, nil
}
