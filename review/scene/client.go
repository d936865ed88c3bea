//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const host = "ficu95.example"

// sent is one request of a client and its answer.
type sent struct {
	id, target, gate string
	at, ended        time.Time
	status           int // 0: no complete answer
	body             string
	err              string
	seal             string
}

// client sends requests to one gateway on kept channels.
type client struct {
	stage *stage
	gate  *gate
	http  *http.Client
	mu    sync.Mutex
	sent  []*sent
	tasks sync.WaitGroup
	// opened counts the channels that the client has opened.
	opened int
}

func (s *stage) newClient(g *gate) *client {
	c := &client{stage: s, gate: g}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c.mu.Lock()
		c.opened++
		n := c.opened
		c.mu.Unlock()
		s.logf("client opens channel %d to %s", n, g.name)
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
	}
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, DialContext: dial}}
	return c
}

func (s *stage) newID() string {
	s.idMu.Lock()
	defer s.idMu.Unlock()
	s.lastID++
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+s.lastID)
}

// request describes a request of a client.
type request struct {
	method, target, key, body string
	limit                     time.Duration
	header                    http.Header
}

// send sends a request and waits for its answer.
func (c *client) send(r request) *sent {
	q := &sent{id: c.stage.newID(), target: r.target, gate: c.gate.name, at: time.Now()}
	c.mu.Lock()
	c.sent = append(c.sent, q)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), r.limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.gate.front+r.target, strings.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	for k, v := range r.header {
		req.Header[k] = v
	}
	req.Host = host
	req.Header.Set("Attempt-Id", q.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(r.limit.Milliseconds()))
	if r.key != "" {
		req.Header.Set("Api-Key", r.key)
	}
	c.stage.logf("client sends %s %s %s to %s", q.id, r.method, r.target, c.gate.name)
	resp, err := c.http.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			q.status, q.body, q.seal = resp.StatusCode, string(data), resp.Header.Get("Response-Seal")
		}
	}
	q.ended = time.Now()
	if err != nil {
		q.err = err.Error()
	}
	c.stage.logf("client gets %d for %s from %s %s", q.status, q.id, c.gate.name, q.err)
	return q
}

// spawn sends a request without waiting for its answer.
func (c *client) spawn(r request) { c.tasks.Go(func() { c.send(r) }) }

func (c *client) all() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent(nil), c.sent...)
}
