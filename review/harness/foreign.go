//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["foreign-entry"] = foreignEntry }

// foreignEntry sends bookings at a steady rate. Meanwhile another writer writes, three times, an entry under the id of a
// model worker, in which half of the fields are missing and the service is that of the bookings. The worker's own next
// beat replaces it.
func foreignEntry(f *fleet, trouble bool) (result, error) {
	const (
		llm, desk = "huvo11a", "wuno96b"
		every     = 50 * time.Millisecond
		length    = 20 * time.Second
		first     = 6 * time.Second // the first entry of the other writer; one more each gap
		gap       = 4 * time.Second
		limit     = 1500 * time.Millisecond
	)
	f.putConfig(7, []routeEntry{
		{
			Name: "r-fi6y7z5", Host: callerHost, Prefix: "/pufi791/", Kind: "stream", TimeoutMs: 10000, TargetLatencyMs: 1500, Priority: 1,
			Service: llm, MaxAttempts: 2, Sticky: true, Resumable: true, TargetGapMs: 600,
		},
		{Name: "r-2yhvz3p", Host: callerHost, Prefix: "/puxa403/", Kind: "unsafe", TimeoutMs: 800, TargetLatencyMs: 100, Priority: 2, Service: desk, MaxAttempts: 1},
	}, llmService(llm), plainService(desk))
	zones := []string{"pl-central-a", "pl-central-b", "pl-central-c"}
	var engines []*worker
	for i, zone := range zones {
		w, err := f.addWorker(fmt.Sprintf("i-llm-%d", i), llm, zone, true)
		if err != nil {
			return result{}, err
		}
		engines = append(engines, w)
		if _, err := f.addWorker(fmt.Sprintf("i-desk-%d", i), desk, zone, false); err != nil {
			return result{}, err
		}
	}
	if err := f.addGateways(zones...); err != nil {
		return result{}, err
	}
	if err := f.waitReady(); err != nil {
		return result{}, err
	}
	var calls []*call
	var wg sync.WaitGroup
	began := time.Now()
	written := 0
	for n := 0; time.Since(began) < length; n++ {
		if trouble && written < len(engines) && time.Since(began) >= first+time.Duration(written)*gap {
			w := engines[written]
			written++
			f.putForeign(w.id, map[string]any{"service": desk, "address": w.address.String(), "zone": w.zone, "state": "ready"})
		}
		c := &call{method: "POST", path: fmt.Sprintf("/puxa403/%d", n), gateway: f.gateways[n%3], limit: limit, body: []byte("a booking")}
		calls = append(calls, c)
		wg.Go(func() { c.send(f.rec) })
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * every)))
	}
	wg.Wait()
	var r result
	paths := map[string]string{}
	for _, c := range calls {
		paths[c.id] = c.path
	}
	for _, w := range f.workers {
		for _, run := range w.runsNow() {
			if w.service != desk && paths[run.id] != "" && !run.began.IsZero() {
				r.broken = append(r.broken, fmt.Sprintf("ROUTE: booking %s, whose route goes to service %s only, was run by worker %s of service %s", run.id, desk, w.id, w.service))
			}
		}
	}
	answered := 0
	for _, c := range calls {
		if c.complete && c.status == 200 {
			answered++
		}
	}
	r.summary = fmt.Sprintf("%d bookings, %d answered", len(calls), answered)
	return r, nil
}
