package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// restart ends a gateway and starts it again, without anything that it knew.
func (f *fleet) restart(i int, o fleetOptions) {
	f.clientsInUse <- struct{}{}
	defer func() { <-f.clientsInUse }()
	ctx, cancel := context.WithCancel(f.test.Context())
	cancel()
	assert.Check(f.test, f.gateways[i].Load().Stop(ctx))
	f.clients[i].CloseIdleConnections()
	f.stores[i].Close()
	callers := standin.NewMemoryListener(callerAddress)
	f.clients[i] = callers.Client()
	f.stores[i] = platform.NewStore(storeAddress, f.dialStore[i])
	f.start(i, o, callers, f.stores[i])
}

// sends counts the connections that gateways open to backend servers.
type sends struct {
	mu    sync.Mutex
	count map[netip.AddrPort]int
}

func (s *sends) dial(_ context.Context, address netip.AddrPort) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[address]++
	return nil, net.ErrClosed
}

func (s *sends) to(address netip.AddrPort) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[address]
}

// withOldStore runs fn while the gateways of a list reach a store that was not restored, and goes on answering in its era.
func (f *fleet) withOldStore(gateways []int, fn func()) {
	old := direct.NewStore(clock.RealClock{})
	old.SetPageSize(500)
	old.Restore(f.store.Copy())
	listener := standin.NewMemoryListener(storeAddress)
	server := &http.Server{Handler: old}
	go func() { _ = server.Serve(listener) }()
	for _, i := range gateways {
		f.otherStore[i].Store(listener)
	}
	// The watches that wait at the store end, so that the gateways connect again.
	f.store.SetOutage(direct.ConnClosed{})
	time.Sleep(200 * time.Millisecond)
	f.store.SetOutage(direct.NoOutage{})
	time.Sleep(time.Second)
	before := old.CallCount()
	time.Sleep(3 * time.Second)
	assert.Check(f.test, old.CallCount() > before, "no gateway reaches the old store")
	fn()
	for _, i := range gateways {
		f.otherStore[i].Store(nil)
	}
	assert.Check(f.test, server.Close())
}

// Guards against gateways of which some let a withdrawn key work, or send requests to a drained server or a zone that was taken
// out, while the store comes back from an older copy: cut off, started again, or in touch with another era; and against ones that are not
// ready once what was lost has been written again.
func TestFleetOfRestoredStore(t *testing.T) {
	const gateways, drained, usual, inZoneOut = 6, 0, 2, 1
	// engine is the address of the only server for keyed requests, so each connection to it is that of an admitted key.
	engine := fleetAddress(99)
	entryOf := func(sequence int64, draining bool) func(*fleet) {
		return func(f *fleet) {
			value, err := platform.EncodeServer(roster.Server{
				ID: "i-00000000", Service: "desk", Zone: "0", Slots: 6, Address: fleetAddress(gateways + drained), Sequence: sequence, Draining: draining,
			}, 0)
			assert.Check(f.test, err)
			f.store.Put(platform.ServerKey("i-00000000"), value)
		}
	}
	cases := map[string]struct {
		// during restores the store from the copy and causes one more fault.
		during func(f *fleet, o fleetOptions, restore func())
	}{
		"no fault": {func(_ *fleet, _ fleetOptions, restore func()) { restore() }},
		"restored twice": {func(_ *fleet, _ fleetOptions, restore func()) {
			restore()
			time.Sleep(400 * time.Millisecond)
			restore()
		}},
		"gateway cut off from the store": {func(f *fleet, _ fleetOptions, restore func()) {
			f.cutStore(2)
			time.Sleep(time.Second)
			restore()
			time.Sleep(2 * time.Second)
			f.storeCut[2].Store(false)
		}},
		"gateway cut off from all": {func(f *fleet, _ fleetOptions, restore func()) {
			f.cutStore(2)
			f.network.SetCut(fleetAddress(2), true)
			restore()
			time.Sleep(2 * time.Second)
			f.network.SetCut(fleetAddress(2), false)
			f.storeCut[2].Store(false)
		}},
		"gateway starts at once": {func(f *fleet, o fleetOptions, restore func()) { restore(); f.restart(2, o) }},
		"gateway starts a little later": {func(f *fleet, o fleetOptions, restore func()) {
			restore()
			time.Sleep(400 * time.Millisecond)
			f.restart(3, o)
		}},
		"gateways start in turn": {func(f *fleet, o fleetOptions, restore func()) {
			restore()
			for i := range 3 {
				time.Sleep(500 * time.Millisecond)
				f.restart(i, o)
			}
		}},
		"gateways in touch with two eras": {func(f *fleet, _ fleetOptions, restore func()) {
			f.withOldStore([]int{0, 2, 4}, func() { restore(); time.Sleep(2 * time.Second) })
		}},
		"gateway starts while others are in touch with two eras": {func(f *fleet, o fleetOptions, restore func()) {
			f.withOldStore([]int{0, 2, 4}, func() { restore(); f.restart(1, o); f.restart(2, o); time.Sleep(2 * time.Second) })
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &sends{count: map[netip.AddrPort]int{}}
			o := fleetOptions{gateways: gateways, zones: 2, servers: 3, dial: s.dial}
			withFleet(t, o, func(f *fleet) {
				value, err := platform.EncodeServer(roster.Server{ID: "i-engine", Service: "pool", Zone: "0", Slots: 6, Address: engine}, 0)
				assert.Check(t, err)
				f.store.Put(platform.ServerKey("i-engine"), value)
				time.Sleep(5 * time.Second)
				f.store.Restore(f.store.Copy())
				time.Sleep(3 * time.Second)
				kept := f.store.Copy()
				f.publish("new-key")
				entryOf(2, true)(f)
				f.store.Put(platform.ZoneKey("1"), []byte("{}"))
				time.Sleep(3 * time.Second)
				before := s.to(fleetAddress(gateways+drained)) + s.to(fleetAddress(gateways+inZoneOut))
				stop := make(chan struct{})
				var probes sync.WaitGroup
				probe := func(check func(gateway int)) {
					for {
						for i := range gateways {
							f.clientsInUse <- struct{}{}
							check(i)
							<-f.clientsInUse
						}
						select {
						case <-stop:
							return
						case <-time.After(50 * time.Millisecond):
						}
					}
				}
				keyed := func(i int, key string) {
					f.statusAt(i, "/draft/a", key, &gateway.Prompt{Tokens: 100, MaxOutputTokens: 10})
				}
				probes.Go(func() { probe(func(i int) { keyed(i, callerKey) }) })
				probes.Go(func() { probe(func(i int) { f.statusAt(i, "/open/a", "", nil) }) })
				tc.during(f, o, func() { f.store.Restore(kept) })
				time.Sleep(4 * time.Second)
				close(stop)
				probes.Wait()
				assert.Check(t, is.Equal(s.to(fleetAddress(gateways+drained))+s.to(fleetAddress(gateways+inZoneOut)), before))
				assert.Check(t, s.to(fleetAddress(gateways+usual)) > 0)
				assert.Check(t, is.Equal(s.to(engine), 0), "a withdrawn key was admitted")

				f.version--
				f.publish("new-key")
				entryOf(3, true)(f)
				f.store.Put(platform.ZoneKey("1"), []byte("{}"))
				time.Sleep(4 * time.Second)
				assert.Check(t, is.Equal(f.ready(), gateways))
				f.store.Delete(platform.ZoneKey("1"))
				time.Sleep(4 * time.Second)
				for range 20 {
					for i := range gateways {
						f.statusAt(i, "/open/a", "", nil)
						keyed(i, "new-key")
					}
				}
				assert.Check(t, s.to(engine) > 0)
				assert.Check(t, s.to(fleetAddress(gateways+inZoneOut)) > 0)
				assert.Check(t, is.Equal(s.to(fleetAddress(gateways+drained)), 0))
			})
		})
	}
}

// Guards against a proof by a gateway that reaches an earlier era of the store: it knows nothing of the changes since, so a withdrawn
// key would go on working at a gateway that is cut off from the store.
func TestProofsBetweenEras(t *testing.T) {
	withFleet(t, fleetOptions{gateways: 5, zones: 1, servers: 3}, func(f *fleet) {
		time.Sleep(5 * time.Second)
		f.store.Restore(f.store.Copy())
		time.Sleep(2 * time.Second)
		f.withOldStore([]int{0}, func() {
			f.store.Restore(f.store.Copy())
			for range 10 {
				f.store.Put("op/other", []byte("{}"))
			}
			time.Sleep(3 * time.Second)
			assert.Check(t, is.Equal(f.ready(), 5))
			for i := 1; i < 5; i++ {
				f.cutStore(i)
			}
			f.publish("new-key")
			time.Sleep(6 * time.Second)
			for i := 1; i < 5; i++ {
				assert.Check(t, !f.gateways[i].Load().Ready(), "gateway %d", i)
			}
		})
	})
}

// Guards against a store that is overloaded by gateways which cannot prove their table until it is published again, and ones that do not
// notice that it is.
func TestStoreCallsWhileTableIsLost(t *testing.T) {
	withFleet(t, fleetOptions{gateways: 12, zones: 1, servers: 3}, func(f *fleet) {
		time.Sleep(5 * time.Second)
		kept := f.store.Copy()
		f.publish("new-key")
		time.Sleep(2 * time.Second)
		f.store.Restore(kept)
		time.Sleep(10 * time.Second)
		assert.Check(t, is.Equal(f.ready(), 0))
		before := f.store.CallCount()
		time.Sleep(30 * time.Second)
		rate := float64(f.store.CallCount()-before) / 30
		assert.Check(t, rate <= 4, "%.1f calls per second", rate)
		f.version--
		f.publish("new-key")
		time.Sleep(2 * time.Second)
		assert.Check(t, is.Equal(f.ready(), 12))
	})
}
