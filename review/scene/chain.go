//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["chain"] = playChain }

const revoke = 5 * time.Second

// terminate sends SIGTERM to a gateway, waits for its end and starts it again, as the platform does in a rollout.
func (g *gate) terminate() error {
	g.signal(syscall.SIGTERM)
	select {
	case <-g.done:
	case <-time.After(8 * time.Second): // graceS
		g.signal(syscall.SIGKILL)
		<-g.done
	}
	g.stage.logf("%s has ended", g.name)
	time.Sleep(300 * time.Millisecond)
	return g.start()
}

// playChain takes a key away, has the store come back from a copy of a few seconds before during a rollout of two gateways, and
// writes the configuration again.
func playChain(s *stage) (*result, error) {
	const (
		kept  = "n2ctnfzs989anu6wsjnb"
		taken = "anfqasnmgkcuyj8pjbvk"
	)
	build := func(version int, keys ...string) []byte {
		return config(version, []map[string]any{plainRoute("r-book", "/book/", "desk", "unsafe", false)}, []map[string]any{plainService("desk")},
			[]map[string]any{{"name": "hule930", "apiKeys": keys, "priority": 1}})
	}
	s.store.put("op/config", build(7, kept, taken))
	var workers []*worker
	for i, zone := range []string{"pl-central-a", "pl-central-b"} {
		w, err := s.addWorker(i+1, "desk", zone)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	zones := []string{"pl-central-a", "pl-central-b"}
	for i, zone := range zones {
		g, err := s.addGate(i+1, zone, s.ip(1, 1), s.ip(1, 2))
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
		for _, key := range []string{kept, taken} {
			senders.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					c := s.newClient(platform.choose(zone))
					q := c.send(request{method: "POST", target: "/book/" + key[:4], key: key, body: "one visit", limit: 1500 * time.Millisecond})
					c.http.CloseIdleConnections()
					mu.Lock()
					byID[q.id] = q
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	rollout := make(chan error, 1)
	go func() {
		for _, g := range s.gates {
			if err := g.terminate(); err != nil {
				rollout <- err
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
		rollout <- nil
	}()
	time.Sleep(1500 * time.Millisecond)
	backup := s.store.copy()
	s.logf("a copy of the store is taken")
	time.Sleep(500 * time.Millisecond)
	confirmed := s.store.put("op/config", build(9, kept))
	s.logf("the operator publishes version 9, which takes the key %s away", taken)
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		s.store.leave()
		s.logf("the store is away")
		time.Sleep(300 * time.Millisecond)
		s.store.restore(backup)
		s.logf("the store comes back from the copy, in era 1, with version 7")
	}
	back := time.Now()
	if err := <-rollout; err != nil {
		return nil, err
	}
	ready := 0
	for range 15 {
		time.Sleep(200 * time.Millisecond)
		if s.gates[1].isReady() {
			ready++
		}
	}
	again := time.Now()
	if s.trouble {
		s.store.put("op/config", build(9, kept))
		s.logf("the operator writes version 9 again")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	senders.Wait()

	r := &result{}
	for _, w := range workers {
		for _, x := range w.runsCopy() {
			q := byID[x.id]
			if q != nil && q.target == "/book/"+taken[:4] && q.at.Sub(confirmed) > revoke {
				r.broke("booking %s with the key that was taken away, sent to %s %.1f s after the confirmation of version 9, runs at %s", q.id, q.gate, q.at.Sub(confirmed).Seconds(), w.id)
			}
		}
	}
	r.note("front-2 was ready at %d of 15 questions between its start and then", ready)
	r.note("version 9 was written again %.1f s after the store came back", again.Sub(back).Seconds())
	for _, g := range s.gates {
		g.logLines(12, `"started"`, "older copy", "table in force", "gateway joined")
	}
	if len(byID) == 0 {
		return nil, fmt.Errorf("no request was sent")
	}
	return r, nil
}
