//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["removed-entry"] = removedEntry }

// removedEntry sends status lookups, which are safe, on a route that allows two attempts. In five rounds the workers of the
// service hang a part of their requests for some seconds, and half of them are replaced: the new worker starts, the entry of
// the old one is removed without a word of draining, and it goes on serving what it has.
func removedEntry(f *fleet, trouble bool) (result, error) {
	const (
		desk        = "wuno96b"
		maxAttempts = 2
		every       = 10 * time.Millisecond
		limit       = 1500 * time.Millisecond
		rounds      = 5
		round       = 16 * time.Second
		hangs       = 0.45
		replaced    = 3 // of 6
		gap         = time.Second
		allowed     = 3 // requests that may run on more workers than maxAttempts
	)
	f.putConfig(7, []routeEntry{
		{Name: "r-2yhvz3p", Host: callerHost, Prefix: "/cufi504/", Kind: "safe", TimeoutMs: 800, TargetLatencyMs: 100, Priority: 2, Service: desk, MaxAttempts: maxAttempts},
	}, plainService(desk))
	zones := []string{"pl-central-a", "pl-central-b", "pl-central-c"}
	var mu sync.Mutex
	var live []*worker
	started := 0
	add := func() error {
		w, err := f.addWorker(fmt.Sprintf("i-desk-%d", started), desk, zones[started%3], false)
		if err == nil {
			mu.Lock()
			live = append(live, w)
			mu.Unlock()
			started++
		}
		return err
	}
	for range 2 * replaced {
		if err := add(); err != nil {
			return result{}, err
		}
	}
	if err := f.addGateways(zones...); err != nil {
		return result{}, err
	}
	if err := f.waitReady(); err != nil {
		return result{}, err
	}
	time.Sleep(4 * time.Second) // until the gateways are in touch
	finished := make(chan error, 1)
	go func() {
		for range rounds {
			time.Sleep(round - (replaced+1)*gap)
			if trouble {
				f.rec.add("workers: all hang %g of their requests from now on", hangs)
				setHangs(live, hangs)
			}
			for range replaced {
				time.Sleep(gap)
				if err := add(); err != nil {
					finished <- err
					return
				}
				if trouble {
					setHangs(live, hangs)
				}
				w := live[0]
				live = live[1:]
				w.leave()
			}
			time.Sleep(gap)
			setHangs(live, 0)
			f.rec.add("workers: none hangs from now on")
		}
		finished <- nil
	}()
	var calls []*call
	var wg sync.WaitGroup
	began := time.Now()
	for n := 0; len(finished) == 0; n++ {
		c := &call{method: "GET", path: fmt.Sprintf("/cufi504/%d", n), gateway: f.gateways[n%3], limit: limit}
		calls = append(calls, c)
		wg.Go(func() { c.send(f.rec) })
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * every)))
	}
	wg.Wait()
	if err := <-finished; err != nil {
		return result{}, err
	}
	ranOn := map[string]map[string]bool{}
	for _, w := range f.workers {
		for _, run := range w.runsNow() {
			if run.began.IsZero() {
				continue
			}
			if ranOn[run.id] == nil {
				ranOn[run.id] = map[string]bool{}
			}
			ranOn[run.id][w.id] = true
		}
	}
	var over []string
	answered := 0
	for _, c := range calls {
		if len(ranOn[c.id]) > maxAttempts {
			over = append(over, fmt.Sprintf("BUDGET: %s ran on %d workers, maxAttempts is %d, and none of them had ended", c.id, len(ranOn[c.id]), maxAttempts))
		}
		if c.complete && c.status == 200 {
			answered++
		}
	}
	r := result{summary: fmt.Sprintf("%d requests, %d answered, %d ran on more than %d workers (%d may)", len(calls), answered, len(over), maxAttempts, allowed)}
	if len(over) > allowed {
		r.broken = over
	}
	return r, nil
}

func setHangs(list []*worker, share float64) {
	for _, w := range list {
		w.mu.Lock()
		w.hangs = share
		w.mu.Unlock()
	}
}
