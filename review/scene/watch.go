//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["watch"] = playWatch }

// config returns a configuration as an operator writes it.
func config(version int, routes, services []map[string]any, tenants []map[string]any) []byte {
	w := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if tenants != nil {
		w["tenants"] = tenants
	}
	data, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return data
}

func plainRoute(name, prefix, service, kind string, public bool) map[string]any {
	attempts := 2
	if kind == "unsafe" {
		attempts = 1
	}
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 100, "priority": 2,
		"service": service, "maxAttempts": attempts, "public": public, "sticky": false, "resumable": false,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 48, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}
}

const (
	stabilityWindow = 3 * time.Second
	configApply     = 2 * time.Second
)

// playWatch has the store reject one machine for nine seconds while the operator publishes configurations in quick succession.
func playWatch(s *stage) (*result, error) {
	const (
		idleRoutes  = 2000
		rejectedFor = 9 * time.Second
		stormGap    = 222 * time.Millisecond
		stormFor    = 4400 * time.Millisecond
	)
	services := []map[string]any{plainService("desk-old"), plainService("desk-new")}
	build := func(version int, service string) []byte {
		routes := []map[string]any{plainRoute("r-book", "/book/", service, "unsafe", true)}
		for i := range idleRoutes {
			routes = append(routes, plainRoute(fmt.Sprintf("r-idle-%d", i), fmt.Sprintf("/idle%d/", i), "desk-old", "safe", true))
		}
		return config(version, routes, services, nil)
	}
	version := 7
	s.store.put("op/config", build(version, "desk-old"))
	old, err := s.addWorker(1, "desk-old", "pl-central-a")
	if err != nil {
		return nil, err
	}
	if _, err := s.addWorker(2, "desk-new", "pl-central-a"); err != nil {
		return nil, err
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
				case <-time.After(100 * time.Millisecond):
					c.send(request{method: "POST", target: "/book/1", body: "one visit", limit: 1500 * time.Millisecond})
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	rejected := s.gates[2]
	if s.trouble {
		rejected.door.setReject(true)
		s.logf("the store rejects %s with 503", rejected.name)
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	var confirmed time.Time
	size := 0
	for n := 0; time.Duration(n)*stormGap < stormFor; n++ {
		version += 2
		service := "desk-old"
		if time.Duration(n+1)*stormGap >= stormFor {
			service = "desk-new"
		}
		value := build(version, service)
		size = len(value)
		confirmed = s.store.put("op/config", value)
		s.logf("the operator publishes version %d (%d bytes), route r-book to %s", version, size, service)
		time.Sleep(stormGap)
	}
	time.Sleep(time.Until(began.Add(rejectedFor)))
	rejected.door.setReject(false)
	back := time.Now()
	s.logf("the store serves %s again", rejected.name)
	time.Sleep(time.Until(began.Add(24 * time.Second)))
	close(stop)
	senders.Wait()

	r := &result{}
	r.note("configuration of %d bytes; largest answer to a watch at %s: %d bytes", size, rejected.name, rejected.door.largestWatch())
	// In touch: stabilityWindowMs after the end of the disruption; the bound of the configuration counts from there too.
	from := back.Add(stabilityWindow)
	if bound := confirmed.Add(configApply); bound.After(from) {
		from = bound
	}
	byID := map[string]*sent{}
	for _, c := range clients {
		r.note("the client of %s has opened %d channel(s)", c.gate.name, c.opened)
		for _, q := range c.all() {
			byID[q.id] = q
		}
	}
	var last time.Time
	stretched := 0
	for _, x := range old.runsCopy() {
		q := byID[x.id]
		if q != nil && q.at.After(from) {
			last = q.at
			if q.at.Sub(confirmed) > configApply+skewMax {
				stretched++
			}
			r.broke("booking %s, sent to %s %.1f s after the confirmation of version %d and %.1f s after the store served that machine again, is run by the old service desk-old",
				q.id, q.gate, q.at.Sub(confirmed).Seconds(), version, q.at.Sub(back).Seconds())
		}
	}
	if !last.IsZero() {
		r.note("%d of them were sent later than configApplyMs + skewMaxMs after the confirmation", stretched)
		r.note("the last of them was sent %.1f s after the confirmation", last.Sub(confirmed).Seconds())
	}
	rejected.logLines(12, "store unavailable", "store available", "too large")
	return r, nil
}
