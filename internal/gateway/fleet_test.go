package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// fleetOptions describe a fleet of gateways that share one store.
type fleetOptions struct {
	gateways, zones, servers int
	// linkBytes is the rate in bytes per second of the store's link, which all gateways share, and of each gateway's; zero
	// means no limit.
	storeLink, gatewayLink int
	// startWithin is the time within which all gateways start, in any order.
	startWithin time.Duration
	// dial opens connections to backend servers; nil means that none can be opened.
	dial backend.Dialer
}

// fleet runs many gateways with peering, a store and no backend servers, in memory and on virtual time.
type fleet struct {
	test    *testing.T
	store   *direct.Store
	stores  []*platform.Store
	network *standin.PacketNetwork
	// gateways holds nil for gateways that have not started; their tasks start them beside the test.
	gateways []atomic.Pointer[gateway.Gateway]
	clients  []*http.Client
	// storeCut holds the gateways that are cut off from the store.
	storeCut []atomic.Bool
	// otherStore holds the listeners of gateways that reach another store; dialStore opens their connections.
	otherStore []atomic.Pointer[standin.MemoryListener]
	dialStore  []func(context.Context, string, string) (net.Conn, error)
	version    int64
	// clientsInUse holds one value while a client is used or replaced. A mutex would keep the virtual time from advancing.
	clientsInUse chan struct{}
}

func fleetAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000)
}

// withFleet runs fn with a fleet. The gateways start at the same time as fn.
func withFleet(t *testing.T, o fleetOptions, fn func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			test: t, store: direct.NewStore(clock.RealClock{}), network: standin.NewPacketNetwork(2 * time.Millisecond),
			gateways: make([]atomic.Pointer[gateway.Gateway], o.gateways), storeCut: make([]atomic.Bool, o.gateways),
			clientsInUse: make(chan struct{}, 1), otherStore: make([]atomic.Pointer[standin.MemoryListener], o.gateways),
		}
		f.store.SetPageSize(500)
		f.publish(callerKey)
		for i := range o.servers {
			value, err := platform.EncodeServer(roster.Server{
				ID: fmt.Sprintf("i-%08x", i*2654435761), Service: "desk", Zone: fmt.Sprint(i % o.zones), Slots: 6, Address: fleetAddress(i + o.gateways),
			}, 0)
			assert.NilError(t, err)
			f.store.Put(platform.ServerKey(fmt.Sprintf("i-%08x", i*2654435761)), value)
		}
		listener := standin.NewMemoryListener(storeAddress)
		server := &http.Server{Handler: f.store}
		go func() { _ = server.Serve(listener) }()
		shared := standin.NewLink(o.storeLink)
		random := rand.New(rand.NewPCG(7, 7))
		for i := range o.gateways {
			own := standin.NewLink(o.gatewayLink)
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				if f.storeCut[i].Load() {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				from := listener
				if other := f.otherStore[i].Load(); other != nil {
					from = other
				}
				conn, err := from.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &silencedConn{Conn: own.Limit(shared.Limit(conn)), silent: &f.storeCut[i]}, nil
			}
			f.dialStore = append(f.dialStore, dial)
			store := platform.NewStore(storeAddress, dial)
			f.stores = append(f.stores, store)
			callers := standin.NewMemoryListener(callerAddress)
			f.clients = append(f.clients, callers.Client())
			startAt := time.Duration(random.Int64N(int64(o.startWithin) + 1))
			time.AfterFunc(startAt, func() { f.start(i, o, callers, store) })
		}
		fn(f)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for i := range f.gateways {
			assert.NilError(t, f.gateways[i].Load().Stop(ctx))
			f.clients[i].CloseIdleConnections()
			f.stores[i].Close()
		}
		assert.NilError(t, server.Close())
	})
}

func (f *fleet) start(i int, o fleetOptions, callers net.Listener, store gateway.Store) {
	dial := o.dial
	if dial == nil {
		dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, net.ErrClosed }
	}
	seeds := []netip.AddrPort{fleetAddress(0), fleetAddress(1), fleetAddress(2)}
	g, err := gateway.Start(gateway.Settings{
		Instance: fmt.Sprint(i), Zone: fmt.Sprint(i % o.zones), ShutdownTimeout: 8 * time.Second, RevocationTimeout: 5 * time.Second,
		ChangeTimeout: 4 * time.Second, PeeringAddress: fleetAddress(i), Seeds: seeds, RetryShare: 0.2, RetryReserve: 100, RetryWindow: 10 * time.Second,
	}, platform.Protocol{}, store, gateway.WithBootClock(&bootClock{}), gateway.WithPeerConn(f.network.Listen(fleetAddress(i))),
		gateway.WithListeners(callers, standin.NewMemoryListener(readyAddress)),
		gateway.WithDialer(dial))
	assert.Check(f.test, err)
	f.gateways[i].Store(g)
}

func (f *fleet) publish(keys ...string) {
	f.version++
	table := map[string]string{}
	for _, key := range keys {
		table[key] = workspace
	}
	value, err := platform.EncodeTable(f.version, testRoutes, []route.Service{{Name: "desk"}, {Name: "pool", Engine: testEngine}}, table, 1<<20)
	assert.NilError(f.test, err)
	f.store.Put(platform.ConfigKey, value)
}

// cutStore cuts a gateway off from the store: open connections go silent, and new ones cannot be opened.
func (f *fleet) cutStore(i int) { f.storeCut[i].Store(true) }

// ready returns how many gateways serve keyed requests, by their readiness.
func (f *fleet) ready() int {
	n := 0
	for i := range f.gateways {
		if g := f.gateways[i].Load(); g != nil && g.Ready() {
			n++
		}
	}
	return n
}

// knowing returns how many gateways know a number of backend servers.
func (f *fleet) knowing(servers int) int {
	n := 0
	for i := range f.gateways {
		if g := f.gateways[i].Load(); g != nil && g.Status().BackendServers == servers {
			n++
		}
	}
	return n
}

// status returns the status code that a gateway answers a keyed request for a backend server with.
func (f *fleet) status(i int, key string) int { return f.statusAt(i, "/look/a", key, nil) }

// statusAt is status for a path and a prompt, nil for none.
func (f *fleet) statusAt(i int, path, key string, prompt *gateway.Prompt) int {
	c := gateway.CallerRequest{ID: "probe", Prompt: prompt, Method: http.MethodGet, Target: path, Host: callerHost, Key: key, Timeout: time.Second}
	resp, err := f.clients[i].Do(platform.EncodeCallerRequest(callerAddress, c, nil).WithContext(f.test.Context()))
	assert.NilError(f.test, err)
	assert.NilError(f.test, resp.Body.Close())
	return resp.StatusCode
}

// silencedConn is a connection on which nothing arrives while it is silent.
type silencedConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c *silencedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.silent.Load() {
		n, err = c.Conn.Read(p) // what arrives meanwhile is lost
	}
	return n, err
}
