package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// partTraffic sends requests whose prompts share parts for a while.
type partTraffic struct {
	mu                      sync.Mutex
	sound, soundAnswered    int
	crashingRefused, lastID int
}

// send sends a request with a shared first part, and with a second one if it is not empty.
func (p *partTraffic) send(h *harness, first, second string) {
	p.mu.Lock()
	p.lastID++
	own := fmt.Sprint("own-", p.lastID)
	p.mu.Unlock()
	names := []string{first, own}
	if second != "" {
		names = []string{first, second, own}
	}
	got := h.call(http.MethodPost, "/draft/"+own, func(c *gateway.CallerRequest) { c.Header = platform.PartsHeader(names...) })
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case second == "":
		p.sound++
		if got.complete && got.Status == http.StatusOK {
			p.soundAnswered++
		}
	case got.NotRun:
		p.crashingRefused++
	}
}

// Guards against one part of prompts that ends one backend server after the other, each time in another request, and against
// refusing the sound requests that share their first part.
func TestPartEndsServers(t *testing.T) {
	const (
		engines  = 24
		maxEnded = 9 // three requests, each at up to three servers
		duration = 15 * time.Second
	)
	cases := map[string]struct {
		first, second string // parts of the requests that end servers
		endsOn        string
	}{
		"part in the middle": {"aa01", "dead", "dead"},
		"first part":         {"dead", "bb02", "dead"},
		"name in upper case": {"aa01", "DEAD", "DEAD"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withPreparedHarness(t, func(h *harness) {
				for i := range engines {
					h.addBackend("pool", 10+i)
				}
				for _, b := range h.backends {
					b.SetFault(direct.EndsOnPart{Part: tc.endsOn})
				}
			}, func(h *harness) {
				var p partTraffic
				var calls sync.WaitGroup
				for elapsed := time.Duration(0); elapsed < duration; elapsed += 50 * time.Millisecond {
					calls.Go(func() { p.send(h, "aa01", "") })
					if elapsed%(400*time.Millisecond) == 0 {
						calls.Go(func() { p.send(h, tc.first, tc.second) })
					}
					time.Sleep(50 * time.Millisecond)
				}
				calls.Wait()
				ended := h.endedBackends()
				t.Logf("%d servers ended, %d of %d sound requests answered, %d requests refused", ended, p.soundAnswered, p.sound, p.crashingRefused)
				assert.Check(t, ended <= maxEnded, "%d servers ended", ended)
				assert.Check(t, p.soundAnswered >= p.sound*9/10, "%d of %d answered", p.soundAnswered, p.sound)
				assert.Check(t, p.crashingRefused > 0)
			})
		})
	}
}

// endedBackends returns how many backend servers have ended.
func (h *harness) endedBackends() int {
	ended := 0
	for _, b := range h.backends {
		conn, err := h.listeners[b.Server.Address].DialContext(h.test.Context(), "tcp", "")
		if err != nil {
			ended++
			continue
		}
		_ = conn.Close()
	}
	return ended
}
