//go:build review

package main

import (
	"fmt"
	"net"
	"sort"
	"sync"
	"time"
)

func init() { cases["cold"] = playCold }

// peerPath carries the datagrams between two gateways, each of which sees the other one at an address of the path.
type peerPath struct {
	mu  sync.Mutex
	cut bool
}

// addPeerPath opens a path between the machines a and b, which are seen at the addresses seenA and seenB.
func (s *stage) addPeerPath(a, b, seenA, seenB string) (*peerPath, error) {
	const port = 7340 // the first of internalPorts, at which gateways exchange datagrams
	p := &peerPath{}
	open := func(ip string) (*net.UDPConn, error) {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
		if err == nil {
			s.closers = append(s.closers, c)
		}
		return c, err
	}
	atA, err := open(seenA)
	if err != nil {
		return nil, err
	}
	atB, err := open(seenB)
	if err != nil {
		return nil, err
	}
	carry := func(in, out *net.UDPConn, from, to string) {
		buf := make([]byte, 64<<10)
		for {
			n, source, err := in.ReadFromUDP(buf)
			if err != nil {
				return
			}
			p.mu.Lock()
			cut := p.cut
			p.mu.Unlock()
			if !cut && source.IP.String() == from {
				_, _ = out.WriteToUDP(buf[:n], &net.UDPAddr{IP: net.ParseIP(to), Port: port})
			}
		}
	}
	go carry(atB, atA, a, b)
	go carry(atA, atB, b, a)
	return p, nil
}

func (p *peerPath) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// playCold cuts one of three gateways off from the others, and starts a worker cold meanwhile.
func playCold(s *stage) (*result, error) {
	const (
		coldPerS   = 36
		limit      = coldPerS*1.5 + 5
		cutFor     = 12 * time.Second
		cutOff     = 3  // the number of the gateway that is cut off
		perGateway = 44 // requests a second, from the start to the end
		coldFor    = 3 * time.Second
		// The cold worker survives the bound, and this many requests beyond it.
		crashMargin = 9
	)
	service := plainService("desk")
	service["coldPerS"], service["coldStartS"], service["maxConns"] = float64(coldPerS), 3.0, 334
	s.store.put("op/config", config(7, []map[string]any{plainRoute("r-check", "/check/", "desk", "safe", true), plainRoute("r-book", "/book/", "desk", "unsafe", true)}, []map[string]any{service}, nil))
	warm, err := s.addWorker(1, "desk", "pl-central-b")
	if err != nil {
		return nil, err
	}
	warm.work = 20 * time.Millisecond
	// seen returns the address at which one gateway sees another one.
	seen := func(other, by int) string { return s.ip(4, 10*other+by) }
	var paths []*peerPath
	for _, pair := range [][2]int{{1, 2}, {1, 3}, {2, 3}} {
		a, b := pair[0], pair[1]
		path, err := s.addPeerPath(s.ip(1, a), s.ip(1, b), seen(a, b), seen(b, a))
		if err != nil {
			return nil, err
		}
		if b == cutOff {
			paths = append(paths, path)
		}
	}
	var clients []*client
	for i := 1; i <= 3; i++ {
		var peers []string
		for other := 1; other <= 3; other++ {
			if other != i {
				peers = append(peers, seen(other, i))
			}
		}
		g, err := s.addGate(i, "pl-central-a", peers...)
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
			for n := 0; ; n++ {
				select {
				case <-stop:
					c.tasks.Wait()
					return
				case <-time.After(time.Second / perGateway):
					if n%2 == 0 {
						c.spawn(request{method: "POST", target: "/book/1", body: "one visit", limit: 1500 * time.Millisecond})
					} else {
						c.spawn(request{method: "GET", target: "/check/1", limit: 1500 * time.Millisecond})
					}
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		for _, path := range paths {
			path.setCut(true)
		}
		s.logf("%s is cut off from the other gateways", s.gates[cutOff-1].name)
	}
	time.Sleep(6 * time.Second)
	cold := &worker{stage: s, id: "i-00000002", service: "desk", zone: "pl-central-a", address: fmt.Sprintf("%s:8120", s.ip(2, 2)), slots: 16, state: "ready", born: time.Now(), work: 45 * time.Millisecond, coldLeft: coldFor, crashRate: limit + crashMargin}
	if err := cold.listen(); err != nil {
		return nil, err
	}
	started := cold.writeEntry()
	time.Sleep(cutFor - 6*time.Second)
	for _, path := range paths {
		path.setCut(false)
	}
	s.logf("the cut ends")
	time.Sleep(2 * time.Second)
	close(stop)
	senders.Wait()

	r := &result{}
	sentAt := map[string]time.Time{}
	for _, c := range clients {
		for _, q := range c.all() {
			sentAt[q.id] = q.at
		}
	}
	// The rule counts requests that were sent and arrived inside a second.
	type arrival struct{ sent, at time.Time }
	var list []arrival
	for _, x := range cold.runsCopy() {
		if sent, ok := sentAt[x.id]; ok && x.at.Before(started.Add(coldFor)) {
			list = append(list, arrival{sent, x.at})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
	most := 0
	for _, first := range list {
		n := 0
		for _, a := range list {
			if !a.sent.Before(first.sent) && a.at.Sub(first.sent) < time.Second {
				n++
			}
		}
		if n > most {
			most = n
		}
		if float64(n) > limit {
			r.broke("%d requests were sent and arrived at the cold worker within the second from %.3f s on; the bound is %.0f", n, s.since(first.sent), limit)
		}
	}
	r.note("most requests sent and arrived within a second at the cold worker: %d, bound %.0f; %d while it was cold", most, limit, len(list))
	if cold.crashed {
		ran := map[string]bool{}
		for _, x := range cold.runsCopy() {
			ran[x.id] = true
		}
		lost := 0
		for _, c := range clients {
			for _, q := range c.all() {
				if ran[q.id] && q.target == "/book/1" && q.status != 200 {
					lost++
					s.logf("booking %s ran at the worker that crashed, and its client got %d", q.id, q.status)
				}
			}
		}
		r.note("the cold worker crashed under this rate; %d bookings that it had begun were lost with it", lost)
	}
	for _, g := range s.gates {
		g.logLines(4, "gateway joined", "gateway lost")
	}
	return r, nil
}
