package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

const (
	callerKey  = "key-of-cuenca"
	workspace  = "cuenca"
	callerHost = "desk.example"
	// memoryLimit is the MemoryLimit setting of the gateway in bytes.
	memoryLimit = 284 << 20
	// coldRate is the limit of requests per second to a cold backend server of the service desk.
	coldRate = 3
)

var (
	storeAddress  = netip.MustParseAddrPort("127.0.0.1:9000")
	callerAddress = netip.MustParseAddrPort("127.0.0.1:9001")
	readyAddress  = netip.MustParseAddrPort("127.0.0.1:9002")
)

// bootClock is a clock with which a test simulates that the instance was suspended.
type bootClock struct {
	clock.RealClock
	suspended atomic.Int64
}

func (c *bootClock) Now() time.Time {
	return c.RealClock.Now().Add(time.Duration(c.suspended.Load()))
}

func (c *bootClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// harness runs a gateway with a simulated store and simulated backend servers.
type harness struct {
	test     *testing.T
	store    *direct.Store
	backends []*direct.Backend
	gateway  *gateway.Gateway
	boot     *bootClock
	client   *http.Client
	ready    *http.Client
	callers  *standin.MemoryListener
	version  int64
	// retryReserve is the RetryReserve setting of the gateway, descriptorLimit its DescriptorLimit.
	retryReserve    float64
	descriptorLimit int
	// protocol translates for the gateway.
	protocol gateway.Protocol
	// pace is the Pace setting of the gateway.
	pace bool
	// dialError is returned for each connection to a backend server, if it is set.
	dialError error
	sequence  atomic.Int64
	// servers are the HTTP servers of the store and the backend servers, closed at the end of the test.
	servers   []*http.Server
	listeners map[netip.AddrPort]*standin.MemoryListener
	// storeDelay is how long opening a connection to the store takes. startupWait is the time between the start of the
	// gateway and the test function.
	storeDelay, startupWait time.Duration
}

// testRoutes are the routes of the gateway under test, one for each path prefix.
var testRoutes = []route.Route{
	{Name: "unsafe", Host: callerHost, Prefix: "/book/", Kind: route.Unsafe, Timeout: 2 * time.Second, Target: 100 * time.Millisecond,
		MaxAttempts: 1, Shares: []route.Share{{Service: "desk", Weight: 1}}},
	{Name: "safe", Host: callerHost, Prefix: "/look/", Kind: route.Safe, Timeout: 2 * time.Second, Target: 100 * time.Millisecond,
		MaxAttempts: 2, Shares: []route.Share{{Service: "desk", Weight: 1}}},
	{Name: "check", Host: callerHost, Prefix: "/check/", Kind: route.Safe, Timeout: 2 * time.Second, Target: 100 * time.Millisecond,
		MaxAttempts: 3, Shares: []route.Share{{Service: "desk", Weight: 1}}},
	{Name: "stream", Host: callerHost, Prefix: "/draft/", Kind: route.Stream, Timeout: 10 * time.Second, Target: 300 * time.Millisecond,
		MaxGap: 250 * time.Millisecond, MaxAttempts: 2, Resumable: true, Shares: []route.Share{{Service: "pool", Weight: 1}}},
	{Name: "once", Host: callerHost, Prefix: "/once/", Kind: route.Stream, Timeout: 10 * time.Second, Target: 300 * time.Millisecond,
		MaxAttempts: 2, Shares: []route.Share{{Service: "pool", Weight: 1}}},
	{Name: "review", Host: callerHost, Prefix: "/review/", Kind: route.Stream, Timeout: 15 * time.Second, Target: 3 * time.Second,
		MaxGap: time.Second, MaxAttempts: 2, Resumable: true, Shares: []route.Share{{Service: "pool", Weight: 1}}},
	{Name: "public", Host: callerHost, Prefix: "/open/", Kind: route.Safe, Timeout: 2 * time.Second, Target: 100 * time.Millisecond,
		MaxAttempts: 2, Public: true, Shares: []route.Share{{Service: "desk", Weight: 1}}},
}

var testEngine = &route.Engine{
	Slots: 16, KVCacheTokens: 315000, StepsPerIteration: 51, StepTime: 850 * time.Microsecond, PrefillRate: 177000,
	PrefillTimePerMillionPairs: 184 * time.Microsecond,
}

// withHarness runs fn with a gateway, two backend servers for each service, a store and a client, all in memory and on
// virtual time.
func withHarness(t *testing.T, fn func(*harness), options ...gateway.Option) {
	withPreparedHarness(t, func(*harness) {}, fn, options...)
}

// withPreparedHarness is withHarness with a function that changes the store before the gateway starts.
func withPreparedHarness(t *testing.T, prepare, fn func(*harness), options ...gateway.Option) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{test: t, startupWait: time.Second, store: direct.NewStore(clock.RealClock{}), boot: &bootClock{}, retryReserve: 100, protocol: platform.Protocol{}, listeners: map[netip.AddrPort]*standin.MemoryListener{}}
		h.publish(map[string]string{callerKey: workspace}, testRoutes)
		for i, service := range []string{"desk", "desk", "pool", "pool"} {
			h.addBackend(service, i+1)
		}
		prepare(h)
		storeListener := h.listen(storeAddress, h.store)
		callers, ready := standin.NewMemoryListener(callerAddress), standin.NewMemoryListener(readyAddress)
		h.client, h.ready, h.callers = callers.Client(), ready.Client(), callers
		store := platform.NewStore(storeAddress, func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(h.storeDelay)
			return storeListener.DialContext(ctx, network, address)
		})
		g, err := gateway.Start(gateway.Settings{
			Instance: "front-1", Zone: "el-centro", CallerAddress: callerAddress, ReadinessAddress: readyAddress, ShutdownTimeout: 8 * time.Second,
			MemoryLimit: memoryLimit, DescriptorLimit: h.descriptorLimit,
			RevocationTimeout: 5 * time.Second, RetryShare: 0.2, RetryReserve: h.retryReserve, RetryWindow: 10 * time.Second, HelperTimeout: 1500 * time.Millisecond,
			Pace: h.pace,
		}, h.protocol, store, append([]gateway.Option{
			gateway.WithBootClock(h.boot), gateway.WithListeners(callers, ready), gateway.WithDialer(h.dial),
		}, options...)...)
		assert.NilError(t, err)
		h.gateway = g
		time.Sleep(h.startupWait)
		fn(h)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.NilError(t, g.Stop(ctx))
		h.client.CloseIdleConnections()
		h.ready.CloseIdleConnections()
		store.Close()
		for _, server := range h.servers {
			assert.NilError(t, server.Close())
		}
	})
}

func (h *harness) listen(address netip.AddrPort, handler http.Handler) *standin.MemoryListener {
	memory := standin.NewMemoryListener(address)
	server := &http.Server{Handler: handler}
	h.servers = append(h.servers, server)
	go func() { _ = server.Serve(memory) }()
	h.listeners[address] = memory
	return memory
}

func (h *harness) addBackend(service string, number int) {
	b := direct.NewBackend(roster.Server{
		ID: fmt.Sprintf("i-%d", number), Service: service, Zone: fmt.Sprintf("zone-%d", number%2), Slots: 6,
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9100+number)), StartedAt: time.UnixMilli(int64(number)),
	}, clock.RealClock{})
	if service == "desk" {
		b.Events = 0
	}
	h.backends = append(h.backends, b)
	h.listen(b.Server.Address, b)
	server := h.servers[len(h.servers)-1]
	b.End = func() { _ = server.Close() }
	h.putServer(b, false)
}

func (h *harness) putServer(b *direct.Backend, draining bool) {
	server := b.Server
	server.Draining = draining
	h.putEntry(server, 0)
}

// drainIdle drains the backend servers of a service that have run nothing. It writes no other entry, because the
// gateway learns of later changes only after a pause.
func (h *harness) drainIdle(service string) {
	for _, b := range h.backends {
		if b.Server.Service == service && len(b.Runs()) == 0 {
			h.putServer(b, true)
		}
	}
}

func (h *harness) deleteServer(b *direct.Backend) { h.store.Delete(platform.ServerKey(b.Server.ID)) }

// strike sets a fault at the backend server that gets the requests on a path, and returns it once it has answered one with
// the fault.
func (h *harness) strike(path string, fault direct.ServerFault) *direct.Backend {
	id := h.call(http.MethodPost, path, nil).id
	for _, b := range h.backends {
		if !slices.ContainsFunc(b.Runs(), func(r direct.Run) bool { return r.ID == id }) {
			continue
		}
		b.SetFault(fault)
		before := b.Arrivals()
		for range 50 {
			h.call(http.MethodPost, path, nil)
			if b.Arrivals() > before {
				return b
			}
		}
	}
	h.test.Fatalf("no backend server got a request with fault %T", fault)
	return nil
}

// putEntry writes the entry of a backend server that stays cold for a time.
func (h *harness) putEntry(server roster.Server, cold time.Duration) {
	value, err := platform.EncodeServer(server, cold)
	assert.NilError(h.test, err)
	h.store.Put(platform.ServerKey(server.ID), value)
}

func (h *harness) publish(keys map[string]string, routes []route.Route) {
	h.version++
	value, err := platform.EncodeTable(h.version, routes,
		[]route.Service{{Name: "desk", ColdRate: coldRate}, {Name: "pool", Engine: testEngine}}, keys, 1<<20)
	assert.NilError(h.test, err)
	h.store.Put(platform.ConfigKey, value)
}

func (h *harness) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if h.dialError != nil {
		return nil, h.dialError
	}
	return h.listeners[address].DialContext(ctx, "tcp", "")
}

// result is the outcome of a request as seen by the caller.
type result struct {
	platform.GatewayResponse
	id   string
	body string
	// complete reports whether the body was received to its end.
	complete bool
}

func (h *harness) call(method, path string, modify func(*gateway.CallerRequest)) result {
	return h.callWithBody(method, path, nil, modify)
}

// callWithBody is call with a body; nil means a short one for a POST.
func (h *harness) callWithBody(method, path string, body []byte, modify func(*gateway.CallerRequest)) result {
	return h.callUntil(h.test.Context(), method, path, body, modify)
}

// callUntil is callWithBody for a caller that leaves when ctx is canceled.
func (h *harness) callUntil(ctx context.Context, method, path string, body []byte, modify func(*gateway.CallerRequest)) result {
	c := gateway.CallerRequest{
		ID: fmt.Sprintf("call-%d", h.sequence.Add(1)), Method: method, Target: path, Host: callerHost, Key: callerKey, Timeout: 2 * time.Second,
	}
	if strings.HasPrefix(path, "/draft/") || strings.HasPrefix(path, "/once/") {
		c.Timeout, c.Prompt = 10*time.Second, &gateway.Prompt{Tokens: 5000, MaxOutputTokens: 300}
	}
	if modify != nil {
		modify(&c)
	}
	if method == http.MethodPost && body == nil {
		body = []byte("body of " + c.ID)
	}
	resp, err := h.client.Do(platform.EncodeCallerRequest(callerAddress, c, body).WithContext(ctx))
	if err != nil {
		return result{id: c.ID}
	}
	defer func() { _ = resp.Body.Close() }()
	head, err := platform.DecodeGatewayResponse(resp)
	assert.NilError(h.test, err)
	text, err := io.ReadAll(resp.Body)
	return result{GatewayResponse: head, id: c.ID, body: string(text), complete: err == nil}
}

// saturate starts short requests that outlast every other request of the test, so that every engine is generating.
func (h *harness) saturate() {
	for range 20 {
		go h.call(http.MethodPost, "/draft/busy", nil)
	}
	time.Sleep(100 * time.Millisecond)
}

// setFaults sets the faults of the backend servers of a service, in order.
func (h *harness) setFaults(service string, faults ...direct.ServerFault) {
	for _, b := range h.backends {
		if b.Server.Service == service && len(faults) > 0 {
			b.SetFault(faults[0])
			faults = faults[1:]
		}
	}
}

// runs returns the runs of a request on all backend servers.
func (h *harness) runs(id string) []direct.Run {
	var runs []direct.Run
	for _, b := range h.backends {
		for _, r := range b.Runs() {
			if r.ID == id {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

func expectedStream(id string, from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(direct.Event(id, n))
	}
	return b.String()
}
