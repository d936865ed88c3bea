// Package soak runs gateways as separate processes on this machine, against stand-ins that speak the platform's protocol,
// injects faults from outside them, and checks from what callers and backend servers see that every promise holds. A run
// is drawn from a seed: its traffic, its faults and their times. The soak ends only processes that it started.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// ChildVariable is set in the environment of the processes that the soak starts, so that a test binary knows what to run.
const ChildVariable = "BERYLWARD_SOAK_CHILD"

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	KindListen  ErrorKind = "listen"
	KindProcess ErrorKind = "process"
)

// Error reports a soak that cannot run.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("soak: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Options of one run.
type Options struct {
	// Program is the berylward binary.
	Program string
	// Folder takes the settings and logs of the processes.
	Folder string
	Seed   uint64
	// Length is how long faults and traffic last.
	Length time.Duration
	// Gateways, Engines and Desks are numbers of processes and of stand-ins of backend servers.
	Gateways, Engines, Desks int
	// Callers is how many callers ask, one request after the other each.
	Callers int
	// Timed adds the checks that depend on how soon this machine runs the processes.
	Timed bool
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Requests   int
	Answered   int
	Refused    int
	Failed     int
	Faults     map[string]int
	Violations []string
}

const (
	revokeWithin = 5 * time.Second
	drainWithin  = 2 * time.Second
	clockOff     = 10 * time.Second
	callerHost   = "desk.example"
	workspace    = "cuenca"
)

// world is everything around the gateways of one run.
type world struct {
	Options
	random   *rand.Rand
	clock    clock.Clock
	store    *direct.Store
	storeBy  *Proxy
	backends []*direct.Backend
	proxies  []*Proxy // in the order of backends
	fronts   []*Proxy // in the order of children
	children []*child
	servers  []*http.Server
	ports    int

	mu      sync.Mutex
	version int64
	keys    []string
	// withdrawn holds when a key was taken away.
	withdrawn map[string]time.Time
	calls     []*call
	faults    map[string]int
	// troubles are the times in which unplanned faults excuse broken answers, planned the leaves of backend servers.
	troubles []span
	planned  []drain
}

// span is a time in which an unplanned fault was in force.
type span struct{ from, to time.Time }

// drain is a planned leave of a backend server.
type drain struct {
	backend *direct.Backend
	at      time.Time
}

// address returns a loopback address that only this process uses: its host is made from the process id.
func (w *world) address() netip.AddrPort {
	id := uint32(os.Getpid())
	w.ports++
	host := netip.AddrFrom4([4]byte{127, byte(id>>16) | 0x80, byte(id >> 8), byte(id)})
	return netip.AddrPortFrom(host, uint16(12000+w.ports))
}

// Run runs one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	w := &world{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 7)), clock: clock.RealClock{}, store: direct.NewStore(clock.RealClock{}),
		withdrawn: map[string]time.Time{}, faults: map[string]int{},
	}
	defer w.close()
	if err := w.build(); err != nil {
		return Report{}, err
	}
	if err := w.ready(ctx); err != nil {
		return Report{}, err
	}
	limited, cancel := context.WithTimeout(ctx, o.Length)
	defer cancel()
	var all sync.WaitGroup
	for i := range o.Callers {
		seed := w.random.Uint64()
		all.Go(func() { w.ask(limited, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	w.disturb(limited)
	all.Wait()
	return w.report(), nil
}

func (w *world) build() error {
	w.keys = []string{"key-1", "key-2"}
	w.publish()
	storeAddress := w.address()
	if err := w.serve(storeAddress, w.store); err != nil {
		return err
	}
	proxy := w.address()
	var err error
	if w.storeBy, err = NewProxy(w.clock, proxy, storeAddress); err != nil {
		return err
	}
	for i := range w.Engines + w.Desks {
		if err := w.addBackend(i); err != nil {
			return err
		}
	}
	var peers []netip.AddrPort
	var settings []platform.Settings
	for i := range w.Gateways {
		s := platform.Settings{Store: proxy, MemoryLimit: 256 << 20, Settings: gateway.Settings{
			Instance: fmt.Sprintf("front-%d", i), Zone: zone(i), Callers: w.address(), Readiness: w.address(), Peering: w.address(),
			StopWithin: 8 * time.Second, RevokeWithin: revokeWithin, RetryShare: 0.2, RetryReserve: 100,
			RetryWindow: 10 * time.Second, Stall: 1500 * time.Millisecond, LeaseMax: 20 * time.Second,
		}}
		peers = append(peers, s.Peering)
		settings = append(settings, s)
	}
	for i, s := range settings {
		s.Seeds = peers
		c, err := newChild(w.Program, w.Folder, s, w.clockOffset(uint64(i)))
		if err != nil {
			return err
		}
		if err := c.start(); err != nil {
			return err
		}
		w.children = append(w.children, c)
		front, err := NewProxy(w.clock, w.address(), s.Callers)
		if err != nil {
			return err
		}
		w.fronts = append(w.fronts, front)
	}
	return nil
}

// clockOffset draws how far the clock of a process is off at each of its starts. One that starts with a smaller offset than
// before has had its clock set back.
func (w *world) clockOffset(process uint64) func() time.Duration {
	random := rand.New(rand.NewPCG(w.Seed, 100+process))
	return func() time.Duration {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.faults["clock off"]++
		return time.Duration(random.Int64N(int64(clockOff))).Truncate(time.Millisecond)
	}
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%3) }

func (w *world) serve(address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return &Error{Op: "serve", Kind: KindListen, Err: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (w *world) addBackend(i int) error {
	service := "pool"
	if i >= w.Engines {
		service = "desk"
	}
	real, public := w.address(), w.address()
	b := direct.NewBackend(roster.Server{
		ID: fmt.Sprintf("i-%d", i), Service: service, Zone: zone(i), Slots: 8, Address: public, Born: w.clock.Now(),
	}, w.clock)
	b.Step = 15 * time.Millisecond
	b.Events = 8
	if service == "desk" {
		b.Events = 0
	}
	if err := w.serve(real, b); err != nil {
		return err
	}
	p, err := NewProxy(w.clock, public, real)
	if err != nil {
		return err
	}
	w.backends, w.proxies = append(w.backends, b), append(w.proxies, p)
	return w.announce(b, false)
}

func (w *world) announce(b *direct.Backend, draining bool) error {
	server := b.Server
	server.Draining = draining
	value, err := platform.EncodeServer(server, 0)
	if err != nil {
		return err
	}
	w.store.Put(platform.ServerKey(server.ID), value)
	return nil
}

// routes are those of the run; every prefix names a kind.
func routes() []route.Route {
	one := func(name string, kind route.Kind, service string, attempts int) route.Route {
		return route.Route{
			Name: name, Host: callerHost, Prefix: "/" + name + "/", Kind: kind, Timeout: 4 * time.Second, Target: 150 * time.Millisecond,
			MaxGap: 250 * time.Millisecond, MaxAttempts: attempts, Resumable: name == "draft",
			Shares: []route.Share{{Service: service, Weight: 1}},
		}
	}
	return []route.Route{
		one("book", route.Unsafe, "desk", 1), one("look", route.Safe, "desk", 2), one("draft", route.Stream, "pool", 2),
		one("once", route.Stream, "pool", 2),
	}
}

// publish writes the table with the keys in force. The caller holds the lock or is alone.
func (w *world) publish() {
	w.version += 1 + int64(w.random.IntN(3))
	keys := map[string]string{}
	for _, k := range w.keys {
		keys[k] = workspace
	}
	engine := &route.Engine{
		Slots: 16, MemoryTokens: 315000, Stride: 51, Step: 850 * time.Microsecond, ReadPerSecond: 177000, PairsPerMillion: 184 * time.Microsecond,
	}
	value, err := platform.EncodeTable(w.version, routes(), []route.Service{{Name: "desk"}, {Name: "pool", Engine: engine}}, keys, 1<<20)
	if err != nil {
		panic(err) // The table is fixed but for its keys.
	}
	w.store.Put(platform.ConfigKey, value)
}

// ready waits until a request is served, however long the processes take to start.
func (w *world) ready(ctx context.Context) error {
	for i := range w.fronts {
		for {
			c := w.newCall(i, "look", "key-1", w.random)
			w.send(ctx, http.DefaultTransport, c)
			if c.answer.Status == http.StatusOK {
				break
			}
			select {
			case <-ctx.Done():
				return &Error{Op: "ready", Kind: KindProcess, Err: ctx.Err()}
			case <-w.clock.After(50 * time.Millisecond):
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = nil
	return nil
}

func (w *world) close() {
	for _, c := range w.children {
		c.stop()
	}
	for _, p := range append(append([]*Proxy{w.storeBy}, w.proxies...), w.fronts...) {
		if p != nil {
			p.Close()
		}
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}
