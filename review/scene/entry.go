//go:build review

package main

import (
	"math/rand"
	"sync"
	"time"
)

const (
	// questionInterval is the time between two questions for readiness, and misses the number of them without a 200 that
	// takes a gateway out.
	questionInterval = time.Second
	misses           = 2
)

// entry is a stand-in for the platform's address for clients: it forwards each new channel to a gateway by the rules of PROTOCOL.md,
// Ingress.
type entry struct {
	gates []*gate
	mu    sync.Mutex
	// missed counts by gateway the questions in a row without a 200.
	missed []int
	out    []bool
	stop   chan struct{}
}

func (s *stage) newEntry(gates []*gate) *entry {
	e := &entry{gates: gates, missed: make([]int, len(gates)), out: make([]bool, len(gates)), stop: make(chan struct{})}
	for i, g := range gates {
		go func() {
			for {
				select {
				case <-e.stop:
					return
				case <-time.After(questionInterval):
				}
				e.record(i, g.isReady())
			}
		}()
	}
	return e
}

func (e *entry) record(i int, ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	was := e.out[i]
	if ready {
		e.missed[i], e.out[i] = 0, false
	} else if e.missed[i]++; e.missed[i] >= misses {
		e.out[i] = true
	}
	if e.out[i] != was {
		e.gates[i].stage.logf("the platform: %s out of rotation: %v", e.gates[i].name, e.out[i])
	}
}

// choose returns the gateway of a new channel from a zone: one of the zone that is in rotation, or any of the zone if fewer than half
// are. If none is, it is one of the nearest zones, which all others are: one in rotation there if there is any.
func (e *entry) choose(zone string) *gate {
	e.mu.Lock()
	defer e.mu.Unlock()
	var own, ownIn, others, othersIn []*gate
	for i, g := range e.gates {
		switch {
		case g.zone == zone && e.out[i]:
			own = append(own, g)
		case g.zone == zone:
			own, ownIn = append(own, g), append(ownIn, g)
		case e.out[i]:
			others = append(others, g)
		default:
			others, othersIn = append(others, g), append(othersIn, g)
		}
	}
	usable := ownIn
	switch {
	case len(ownIn) == 0 && len(othersIn) > 0:
		usable = othersIn
	case len(ownIn) == 0:
		usable = others
	case 2*len(ownIn) < len(own):
		usable = own
	}
	return usable[rand.Intn(len(usable))]
}
