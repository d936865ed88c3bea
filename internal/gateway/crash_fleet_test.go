package gateway_test

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

const (
	// crashPath is the path of the request that ends backend servers.
	crashPath = "/check/crash"
	// serverAway is how long a backend server that has ended is away, unless a test sets another time. Its entry stays in the
	// store for entryKept.
	serverAway = 1500 * time.Millisecond
	entryKept  = 1200 * time.Millisecond
	// crashesAllowed is the number of ended servers after which a request may be sent only lateSendsAllowed times more, counted
	// from the end of lateAfter.
	crashesAllowed   = 3
	lateSendsAllowed = 3
	lateAfter        = 3 * time.Second
)

// crashFleet runs gateways in three zones and plain backend servers that end when they run the request for crashPath. Each
// server is back after a time, as a new incarnation at its old address.
type crashFleet struct {
	*fleet
	fault direct.EndsOnPath
	away  time.Duration
	// sameID is set if a server starts again with the identifier that it had.
	sameID    bool
	listeners map[netip.AddrPort]*standin.MemoryListener
	sequence  atomic.Int64

	mu       sync.Mutex
	backends []*direct.Backend // all incarnations
	servers  map[netip.AddrPort]*http.Server
	ends     []time.Time
	ending   sync.WaitGroup
	closed   bool
}

// withCrashFleet runs fn with three gateways and a number of backend servers of the service desk.
func withCrashFleet(t *testing.T, servers int, fault direct.EndsOnPath, fn func(*crashFleet)) {
	c := &crashFleet{fault: fault, away: serverAway, listeners: map[netip.AddrPort]*standin.MemoryListener{}, servers: map[netip.AddrPort]*http.Server{}}
	c.fault.Path = crashPath
	dial := func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return c.listeners[address].DialContext(ctx, "tcp", "")
	}
	withFleet(t, fleetOptions{gateways: 3, zones: 3, dial: dial}, func(f *fleet) {
		c.fleet = f
		for i := range servers {
			address := fleetAddress(1000 + i)
			c.listeners[address] = standin.NewMemoryListener(address)
			c.startServer(address, i)
		}
		for f.ready() < 3 {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		fn(c)
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.ending.Wait()
		for _, server := range c.servers {
			assert.Check(t, server.Close())
		}
	})
}

// startServer starts an incarnation of a backend server at an address.
func (c *crashFleet) startServer(address netip.AddrPort, number int) {
	id := fmt.Sprintf("i-%d-%d", number, c.sequence.Add(1))
	if c.sameID {
		id = fmt.Sprintf("i-%d", number)
	}
	b := direct.NewBackend(roster.Server{
		ID: id, Service: "desk", Zone: fmt.Sprint(number % 3), Slots: 6,
		Address: address, StartedAt: time.Now(),
	}, clock.RealClock{})
	b.Events, b.StepTime = 0, 80*time.Millisecond
	b.SetFault(c.fault)
	server := &http.Server{Handler: b}
	b.End = sync.OnceFunc(func() { c.end(b, server, number) })
	listener, err := c.listeners[address].Reopen()
	assert.Check(c.test, err)
	go func() { _ = server.Serve(listener) }()
	c.mu.Lock()
	c.backends, c.servers[address] = append(c.backends, b), server
	c.mu.Unlock()
	value, err := platform.EncodeServer(b.Server, 0)
	assert.Check(c.test, err)
	c.store.Put(platform.ServerKey(b.Server.ID), value)
}

// end ends an incarnation and starts the next one later.
func (c *crashFleet) end(b *direct.Backend, server *http.Server, number int) {
	c.mu.Lock()
	c.ends = append(c.ends, time.Now())
	restart := !c.closed
	c.mu.Unlock()
	assert.Check(c.test, server.Close())
	if !restart {
		return
	}
	c.ending.Go(func() {
		time.Sleep(c.away)
		c.startServer(b.Server.Address, number)
	})
	if !c.sameID {
		c.ending.Go(func() {
			time.Sleep(entryKept)
			c.store.Delete(platform.ServerKey(b.Server.ID))
		})
	}
}

// endAll ends the present incarnation of every server.
func (c *crashFleet) endAll() {
	c.mu.Lock()
	all := slices.Clone(c.backends)
	c.mu.Unlock()
	for _, b := range all {
		b.End()
	}
}

// call sends a request to a gateway, waits for its response no longer than patience, and reports whether it was served.
func (c *crashFleet) call(gatewayNumber int, path string, patience time.Duration) bool {
	ctx, cancel := context.WithTimeout(c.test.Context(), patience)
	defer cancel()
	request := gateway.CallerRequest{
		ID: fmt.Sprintf("call-%d", c.sequence.Add(1)), Method: http.MethodGet, Target: path, Host: callerHost, Key: callerKey, Timeout: 2 * time.Second,
	}
	resp, err := c.clients[gatewayNumber].Do(platform.EncodeCallerRequest(callerAddress, request, nil).WithContext(ctx))
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// lateSends returns how many servers have ended, and how often the request for crashPath reached a server later than
// lateAfter after the third end.
func (c *crashFleet) lateSends() (ended, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortFunc(c.ends, time.Time.Compare)
	if len(c.ends) < crashesAllowed {
		return len(c.ends), 0
	}
	counted := c.ends[crashesAllowed-1].Add(lateAfter)
	for _, b := range c.backends {
		for _, r := range b.Runs() {
			if r.Path == crashPath && r.At.After(counted) {
				late++
			}
		}
	}
	return len(c.ends), late
}

// Guards against a request that ends one backend server after the other, because the gateways forget what they have sent
// once they do not wait for it any more: its callers leave, or an attempt is given up before the server ends.
func TestServersEndAfterWait(t *testing.T) {
	cases := map[string]struct {
		servers int
		// endsAfter is the time after which a server that runs the request ends, patience the time for which a caller waits.
		endsAfter, patience time.Duration
		away                time.Duration // serverAway if it is zero
		sameID              bool
	}{
		"callers leave":                   {servers: 3, endsAfter: 90 * time.Millisecond, patience: 54 * time.Millisecond},
		"callers leave, 30 servers":       {servers: 30, endsAfter: 90 * time.Millisecond, patience: 54 * time.Millisecond},
		"callers leave, same identifier":  {servers: 3, endsAfter: 90 * time.Millisecond, patience: 54 * time.Millisecond, sameID: true},
		"callers leave, soon back":        {servers: 3, endsAfter: 90 * time.Millisecond, patience: 54 * time.Millisecond, away: 60 * time.Millisecond},
		"callers leave, one server":       {servers: 1, endsAfter: 90 * time.Millisecond, patience: 54 * time.Millisecond},
		"attempts given up":               {servers: 3, endsAfter: 400 * time.Millisecond, patience: 2 * time.Second},
		"attempts given up, 30 servers":   {servers: 30, endsAfter: 400 * time.Millisecond, patience: 2 * time.Second},
		"somebody waits":                  {servers: 3, endsAfter: 90 * time.Millisecond, patience: 2 * time.Second},
		"somebody waits, soon back":       {servers: 3, endsAfter: 90 * time.Millisecond, patience: 2 * time.Second, away: 60 * time.Millisecond, sameID: true},
		"callers leave late, 30 servers":  {servers: 30, endsAfter: 700 * time.Millisecond, patience: 600 * time.Millisecond},
		"servers end at once, 30 servers": {servers: 30, endsAfter: time.Millisecond, patience: 2 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withCrashFleet(t, tc.servers, direct.EndsOnPath{After: tc.endsAfter}, func(c *crashFleet) {
				c.away, c.sameID = cmp.Or(tc.away, serverAway), tc.sameID
				var calls sync.WaitGroup
				for i := range 1000 { // as long as a day of 100 s
					calls.Go(func() { c.call(i%3, fmt.Sprint("/check/sound-", i), 2*time.Second) })
					if i%5 == 0 {
						calls.Go(func() { c.call(i/5%3, crashPath, tc.patience) })
					}
					time.Sleep(100 * time.Millisecond)
				}
				calls.Wait()
				ended, late := c.lateSends()
				t.Logf("%d servers ended, %d late sends", ended, late)
				assert.Check(t, ended >= crashesAllowed, "the request ended %d servers", ended)
				assert.Check(t, late <= lateSendsAllowed, "sent %d times more", late)
			})
		})
	}
}

// soundCalls counts the calls of sound requests.
type soundCalls struct {
	running       sync.WaitGroup
	asked, served atomic.Int64
}

// callSound sends 24 sound requests again and again, each at the next gateway 30 ms after its last answer, and counts those sent
// within 3 s after counting begins.
func (c *crashFleet) callSound(counting time.Time) *soundCalls {
	const (
		requests = 24
		pause    = 30 * time.Millisecond
		counted  = 3 * time.Second
	)
	s := &soundCalls{}
	for i := range requests {
		s.running.Go(func() {
			for g := i; time.Now().Before(counting.Add(counted)); g++ {
				counts := time.Now().After(counting)
				ok := c.call(g%3, fmt.Sprint("/check/sound-", i), 2*time.Second)
				if counts {
					s.asked.Add(1)
				}
				if counts && ok {
					s.served.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	return s
}

// check waits for the calls to end, and checks that 99 of 100 were served.
func (s *soundCalls) check(t *testing.T) {
	t.Helper()
	s.running.Wait()
	t.Logf("%d of %d sound requests served", s.served.Load(), s.asked.Load())
	assert.Check(t, s.served.Load()*100 >= s.asked.Load()*99, "%d of %d served", s.served.Load(), s.asked.Load())
}

// Guards against sound requests that are refused for minutes because they ran beside the one that ends backend servers.
func TestSoundRequestsBesideCrashes(t *testing.T) {
	const (
		// settled is how long after the last return of a server everything sound must be served again.
		settled      = 4 * time.Second
		lossInterval = 4 * time.Second
	)
	cases := map[string]struct {
		servers int
		// repeats is how often the request that ends servers is sent, every 500 ms at the gateways in turn; together sends it to
		// all gateways at the same time.
		repeats  int
		together bool
		// losses is how often all servers end at the same time for a cause of their own, every lossInterval.
		losses int
	}{
		"one request":                 {3, 1, false, 0},
		"repeated":                    {3, 20, false, 0},
		"at all gateways at once":     {3, 1, true, 0},
		"repeated at all gateways":    {3, 12, true, 0},
		"30 servers, repeated":        {30, 20, false, 0},
		"30 servers, at all gateways": {30, 12, true, 0},
		"servers lose power":          {3, 0, false, 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withCrashFleet(t, tc.servers, direct.EndsOnPath{After: 60 * time.Millisecond}, func(c *crashFleet) {
				var calls sync.WaitGroup
				counting := time.Now().Add(max(time.Duration(tc.repeats)*500*time.Millisecond, time.Duration(tc.losses)*lossInterval) + settled)
				calls.Go(func() {
					for range tc.losses {
						c.endAll()
						time.Sleep(lossInterval)
					}
				})
				calls.Go(func() {
					for i := range tc.repeats {
						for g := range 3 {
							if tc.together || g == i%3 {
								calls.Go(func() { c.call(g, crashPath, 2*time.Second) })
							}
						}
						time.Sleep(500 * time.Millisecond)
					}
				})
				callers := c.callSound(counting)
				calls.Wait()
				callers.check(t)
				ended, late := c.lateSends()
				t.Logf("%d servers ended, %d late sends", ended, late)
				assert.Check(t, late <= lateSendsAllowed, "sent %d times more", late)
			})
		})
	}
}

// Guards against sound requests that are refused for minutes because servers end one after the other for a cause of their own,
// such as a bad release, and the requests are sent again on each next one.
func TestSoundRequestsInRollingCrashes(t *testing.T) {
	const settled = 4 * time.Second
	cases := map[string]struct {
		servers int
		between time.Duration // two ends
	}{
		"6 servers":  {6, 60 * time.Millisecond},
		"30 servers": {30, 60 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withCrashFleet(t, tc.servers, direct.EndsOnPath{}, func(c *crashFleet) {
				var calls sync.WaitGroup
				crashing := 6 * time.Second
				counting := time.Now().Add(crashing + settled)
				calls.Go(func() {
					for i := range int(crashing / tc.between) {
						c.mu.Lock()
						b := c.backends[min(i, len(c.backends)-1)]
						c.mu.Unlock()
						b.End()
						time.Sleep(tc.between)
					}
				})
				callers := c.callSound(counting)
				calls.Wait()
				callers.check(t)
			})
		})
	}
}
