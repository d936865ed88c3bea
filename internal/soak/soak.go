// Package soak runs gateways as separate processes on this machine, against stand-ins that speak the platform's
// protocol. It injects faults from outside the gateways and checks their guarantees from what callers and backend
// servers observe. The seed of a run determines its random choices: traffic, faults and their times. Each call of Run
// owns the processes, proxies and stand-ins that it starts and stops them before it returns. The soak signals only
// processes that it started.
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

// GatewayProcessEnv is set in the environment of the processes that the soak starts, so that a test binary knows that
// it must run as a gateway.
const GatewayProcessEnv = "BERYLWARD_SOAK_CHILD"

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

// Options are the settings of one run.
type Options struct {
	// Program is the berylward binary.
	Program string
	// Folder holds the settings and log files of the processes.
	Folder string
	Seed   uint64
	// Duration is how long faults and traffic last.
	Duration time.Duration
	// Gateways is the number of gateway processes. EngineBackends and ServiceBackends are the numbers of stand-in
	// backend servers: model engines, and backend servers of a plain service.
	Gateways, EngineBackends, ServiceBackends int
	// Callers is the number of concurrent callers. Each sends one request at a time.
	Callers int
	// CheckTiming adds the checks that depend on how quickly this machine schedules the processes.
	CheckTiming bool
	// CheckMemory adds the check that no gateway exceeds its memory limit. It does not hold for a build with the race detector.
	CheckMemory bool
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
	// PeakMemory is the largest resident memory of a gateway in bytes.
	PeakMemory int64
}

const (
	// revocationDelay is how long gateways may still accept a revoked key.
	revocationDelay = 5 * time.Second
	// drainDelay is how long a backend server may still receive requests after it started to drain.
	drainDelay     = 2 * time.Second
	maxClockOffset = 10 * time.Second
	// memoryLimit is the memory in bytes that a gateway is told it may use.
	memoryLimit = 256 << 20
	callerHost  = "desk.example"
	workspace   = "cuenca"
)

// harness holds the state of one run: the gateway processes, the stand-ins and proxies around them, and the
// observations that verify checks.
type harness struct {
	Options
	random         *rand.Rand
	clock          clock.Clock
	store          *direct.Store
	storeProxy     *Proxy
	backends       []*direct.Backend
	backendProxies []*Proxy // in the order of backends
	gatewayProxies []*Proxy // in the order of gateways
	gateways       []*gatewayProcess
	// callerAddresses are the addresses for callers, in the order of gateways.
	callerAddresses []netip.AddrPort
	servers         []*http.Server
	addressCount    int

	mu           sync.Mutex
	tableVersion int64
	activeKeys   []string
	// revokedAt holds the time at which each revoked key was revoked.
	revokedAt   map[string]time.Time
	requests    []*sentRequest
	faultCounts map[string]int
	// startedAt is the start of the current incarnation of each backend server that was restarted.
	startedAt map[*direct.Backend]time.Time
	// unplannedFaults are the intervals in which unplanned faults excuse interrupted responses. drains are the planned
	// drains of backend servers.
	unplannedFaults []interval
	drains          []drain
	// What operators and backend servers have written last, which they write again after the store was restored: the routing
	// table, zones taken out, and by backend server the sequence number and whether it drains.
	tableValue []byte
	zonesOut   map[string]bool
	sequences  map[*direct.Backend]int64
	draining   map[*direct.Backend]bool
	// copies are the latest copies of the store.
	copies []storeCopy
}

// interval is a time span in which an unplanned fault was active or its effects could still last.
type interval struct{ from, to time.Time }

// drain is a planned drain of a backend server.
type drain struct {
	backend   *direct.Backend
	startedAt time.Time
}

// newAddress returns an unused loopback address. The host part is derived from the process ID, so that no other process
// uses the address.
func (h *harness) newAddress() netip.AddrPort {
	id := uint32(os.Getpid())
	h.addressCount++
	host := netip.AddrFrom4([4]byte{127, byte(id>>16) | 0x80, byte(id >> 8), byte(id)})
	return netip.AddrPortFrom(host, uint16(12000+h.addressCount))
}

// peeringAddress returns the address of a gateway for datagrams. Each gateway has a host of its own, so that gateways tell each
// other's datagrams from their own. All gateways of a run use the same port, as on the platform; host and port also depend on
// the process ID, so that runs beside each other do not meet.
func peeringAddress(gateway int) netip.AddrPort {
	pid, number := os.Getpid(), gateway+1
	host := netip.AddrFrom4([4]byte{127, byte(0x40 | number>>8&0x3f), byte(number), byte(1 + pid%254)})
	return netip.AddrPortFrom(host, uint16(11000+pid/254%900))
}

// Run runs the soak with one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	h := &harness{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 7)), clock: clock.RealClock{}, store: direct.NewStore(clock.RealClock{}),
		revokedAt: map[string]time.Time{}, faultCounts: map[string]int{}, startedAt: map[*direct.Backend]time.Time{},
		zonesOut: map[string]bool{}, sequences: map[*direct.Backend]int64{}, draining: map[*direct.Backend]bool{},
	}
	defer h.close()
	if err := h.setUp(); err != nil {
		return Report{}, err
	}
	if err := h.waitReady(ctx); err != nil {
		return Report{}, err
	}
	runCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var callers sync.WaitGroup
	for i := range o.Callers {
		seed := h.random.Uint64()
		callers.Go(func() { h.runCaller(runCtx, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	h.injectFaults(runCtx)
	callers.Wait()
	report := h.verify()
	h.checkMemory(&report)
	return report, nil
}

func (h *harness) setUp() error {
	h.activeKeys = []string{"key-1", "key-2"}
	h.publishTable()
	storeAddress := h.newAddress()
	if err := h.serve(storeAddress, h.store); err != nil {
		return err
	}
	storeProxyAddress := h.newAddress()
	var err error
	if h.storeProxy, err = NewProxy(h.clock, storeProxyAddress, storeAddress); err != nil {
		return err
	}
	for i := range h.EngineBackends + h.ServiceBackends {
		if err := h.addBackend(i); err != nil {
			return err
		}
	}
	var peers []netip.AddrPort
	var settings []platform.Settings
	for i := range h.Gateways {
		s := platform.Settings{Store: storeProxyAddress, Settings: gateway.Settings{
			MemoryLimit: memoryLimit, Instance: fmt.Sprintf("front-%d", i), Zone: zone(i), CallerAddress: h.newAddress(), ReadinessAddress: h.newAddress(), PeeringAddress: peeringAddress(i),
			ShutdownTimeout: 8 * time.Second, RevocationTimeout: revocationDelay, RetryShare: 0.2, RetryReserve: 100,
			RetryWindow: 10 * time.Second, HelperTimeout: 1500 * time.Millisecond, MaxLease: 20 * time.Second,
		}}
		peers = append(peers, s.PeeringAddress)
		settings = append(settings, s)
	}
	for i, s := range settings {
		s.Seeds = peers
		process, err := newGatewayProcess(h.Program, h.Folder, s, h.clockOffsets(uint64(i)))
		if err != nil {
			return err
		}
		if err := process.start(); err != nil {
			return err
		}
		h.gateways = append(h.gateways, process)
		gatewayProxy, err := NewProxy(h.clock, h.newAddress(), s.CallerAddress)
		if err != nil {
			return err
		}
		h.gatewayProxies = append(h.gatewayProxies, gatewayProxy)
		h.callerAddresses = append(h.callerAddresses, s.CallerAddress)
	}
	return nil
}

// clockOffsets returns a function that draws the clock offset for each start of a process. A start with a smaller
// offset than the previous one has the effect of a clock that was set back.
func (h *harness) clockOffsets(processIndex uint64) func() time.Duration {
	random := rand.New(rand.NewPCG(h.Seed, 100+processIndex))
	return func() time.Duration {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.faultCounts["clock offset"]++
		return time.Duration(random.Int64N(int64(maxClockOffset))).Truncate(time.Millisecond)
	}
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%3) }

func (h *harness) serve(address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return &Error{Op: "serve", Kind: KindListen, Err: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	h.servers = append(h.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (h *harness) addBackend(i int) error {
	service := "pool"
	if i >= h.EngineBackends {
		service = "desk"
	}
	serverAddress, proxyAddress := h.newAddress(), h.newAddress()
	backend := direct.NewBackend(roster.Server{
		ID: fmt.Sprintf("i-%d", i), Service: service, Zone: zone(i), Slots: 8, Address: proxyAddress, StartedAt: h.clock.Now(),
	}, h.clock)
	backend.StepTime = 15 * time.Millisecond
	backend.Events = 8
	if service == "desk" {
		backend.Events = 0
	}
	if err := h.serve(serverAddress, backend); err != nil {
		return err
	}
	proxy, err := NewProxy(h.clock, proxyAddress, serverAddress)
	if err != nil {
		return err
	}
	h.backends, h.backendProxies = append(h.backends, backend), append(h.backendProxies, proxy)
	return h.putEntry(backend, false)
}

func (h *harness) putEntry(b *direct.Backend, draining bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining[b] = draining
	return h.writeEntry(b)
}

// writeEntry writes the entry of a backend server as it is. The caller holds the lock.
func (h *harness) writeEntry(b *direct.Backend) error {
	server := b.Server
	h.sequences[b]++
	server.Draining, server.Sequence = h.draining[b], h.sequences[b]
	if startedAt, ok := h.startedAt[b]; ok {
		server.StartedAt = startedAt
	}
	value, err := platform.EncodeServer(server, 0)
	if err != nil {
		return err
	}
	h.store.Put(platform.ServerKey(server.ID), value)
	return nil
}

// routes returns the routes of the run. The path prefix of each route is its name.
func routes() []route.Route {
	newRoute := func(name string, kind route.Kind, service string, attempts int) route.Route {
		return route.Route{
			Name: name, Host: callerHost, Prefix: "/" + name + "/", Kind: kind, Timeout: 4 * time.Second, Target: 150 * time.Millisecond,
			MaxGap: 250 * time.Millisecond, MaxAttempts: attempts, Resumable: name == "draft",
			Shares: []route.Share{{Service: service, Weight: 1}},
		}
	}
	return []route.Route{
		newRoute("book", route.Unsafe, "desk", 1), newRoute("look", route.Safe, "desk", 2), newRoute("draft", route.Stream, "pool", 2),
		newRoute("once", route.Stream, "pool", 2),
	}
}

// publishTable writes the routing table with the active keys. The caller holds the lock or is the only goroutine.
func (h *harness) publishTable() {
	h.tableVersion += 1 + int64(h.random.IntN(3))
	keys := map[string]string{}
	for _, k := range h.activeKeys {
		keys[k] = workspace
	}
	engine := &route.Engine{
		Slots: 16, KVCacheTokens: 315000, StepsPerIteration: 51, StepTime: 850 * time.Microsecond, PrefillRate: 177000, PrefillTimePerMillionPairs: 184 * time.Microsecond,
	}
	value, err := platform.EncodeTable(h.tableVersion, routes(), []route.Service{{Name: "desk"}, {Name: "pool", Engine: engine}}, keys, 1<<20)
	if err != nil {
		panic(err) // Only the keys of the table vary.
	}
	h.tableValue = value
	h.store.Put(platform.ConfigKey, value)
}

// waitReady waits until every gateway serves a request, without a time limit of its own, and then discards the records
// of its requests.
func (h *harness) waitReady(ctx context.Context) error {
	for i := range h.gatewayProxies {
		for {
			request := h.newRequest(i, "look", "key-1", h.random)
			h.send(ctx, http.DefaultTransport, request)
			if request.response.Status == http.StatusOK {
				break
			}
			select {
			case <-ctx.Done():
				return &Error{Op: "ready", Kind: KindProcess, Err: ctx.Err()}
			case <-h.clock.After(50 * time.Millisecond):
			}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = nil
	return nil
}

func (h *harness) close() {
	for _, process := range h.gateways {
		process.stop()
	}
	for _, p := range append(append([]*Proxy{h.storeProxy}, h.backendProxies...), h.gatewayProxies...) {
		if p != nil {
			p.Close()
		}
	}
	for _, server := range h.servers {
		_ = server.Close()
	}
}
