//go:build review

package main

import (
	"sync"
	"time"
)

func init() { cases["restart"] = playRestart }

// playRestart moves a public route to another service, has the store come back from a copy of a few seconds before while one of three
// gateways is restarted in a rollout, and writes the configuration again.
func playRestart(s *stage) (*result, error) {
	services := []map[string]any{plainService("desk-old"), plainService("desk-new")}
	build := func(version int, service string) []byte {
		return config(version, []map[string]any{plainRoute("r-book", "/book/", service, "unsafe", true)}, services, nil)
	}
	s.store.put("op/config", build(7, "desk-old"))
	old, err := s.addWorker(1, "desk-old", "pl-central-a")
	if err != nil {
		return nil, err
	}
	if _, err := s.addWorker(2, "desk-new", "pl-central-a"); err != nil {
		return nil, err
	}
	zones := []string{"pl-central-a", "pl-central-b", "pl-central-c"}
	for i, zone := range zones {
		g, err := s.addGate(i+1, zone, s.ip(1, 1), s.ip(1, 2), s.ip(1, 3))
		if err != nil {
			return nil, err
		}
		if err := g.start(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	platform := s.newEntry(s.gates)
	defer close(platform.stop)
	var mu sync.Mutex
	byID := map[string]*sent{}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for _, zone := range zones {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				c := s.newClient(platform.choose(zone))
				q := c.send(request{method: "POST", target: "/book/1", body: "one visit", limit: 1500 * time.Millisecond})
				c.http.CloseIdleConnections()
				mu.Lock()
				byID[q.id] = q
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	restarted := make(chan error, 1)
	go func() { restarted <- s.gates[0].terminate() }()
	time.Sleep(1500 * time.Millisecond)
	backup := s.store.copy()
	s.logf("a copy of the store is taken")
	time.Sleep(500 * time.Millisecond)
	confirmed := s.store.put("op/config", build(9, "desk-new"))
	s.logf("the operator publishes version 9, with route r-book to desk-new")
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		s.store.leave()
		s.logf("the store is away")
		time.Sleep(300 * time.Millisecond)
		s.store.restore(backup)
		s.logf("the store comes back from the copy, in era 1, with version 7")
	}
	back := time.Now()
	if err := <-restarted; err != nil {
		return nil, err
	}
	started := time.Now()
	time.Sleep(stabilityWindow + 4*time.Second)
	again := time.Now()
	if s.trouble {
		s.store.put("op/config", build(9, "desk-new"))
		s.logf("the operator writes version 9 again")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	senders.Wait()

	r := &result{}
	// In touch: stabilityWindowMs after the start of the process and the end of the store's disruption, whichever is later.
	from := started.Add(stabilityWindow)
	if stable := back.Add(stabilityWindow); stable.After(from) {
		from = stable
	}
	stretched := 0
	for _, x := range old.runsCopy() {
		q := byID[x.id]
		if q != nil && q.at.After(from) && q.at.Sub(confirmed) > configApply {
			if q.at.Sub(confirmed) > configApply+skewMax {
				stretched++
			}
			r.broke("booking %s, sent to %s %.1f s after the confirmation of version 9, %.1f s after its start and %.1f s after the store came back, is run by the old service desk-old",
				q.id, q.gate, q.at.Sub(confirmed).Seconds(), q.at.Sub(started).Seconds(), q.at.Sub(back).Seconds())
		}
	}
	r.note("%d of them were sent later than configApplyMs + skewMaxMs after the confirmation", stretched)
	r.note("version 9 was written again %.1f s after the store came back", again.Sub(back).Seconds())
	s.gates[0].logLines(12, `"started"`, "older copy", "table in force", "gateway joined")
	return r, nil
}
