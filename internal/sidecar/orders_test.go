package sidecar_test

import (
	"context"
	"expvar"
	"math"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"berylward.example/berylward/examples"
	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/generation"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/sidecar"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/pkg/answer"
	"berylward.example/berylward/pkg/site"
)

// testBench is a sidecar beside a stand-in backend server. The test uses its link to act as an entry and to publish
// generations.
type testBench struct {
	test        *testing.T
	engine      *standin.Engine
	service     *standin.Service
	sidecar     *sidecar.Sidecar
	metrics     *expvar.Map
	conn        *link.Conn
	incarnation uuid.UUID
	sequence    uint64

	config       *site.CurrentGeneration
	exchange     *generation.Exchange
	declarations *site.Declarations
	manifest     site.Manifest

	mu      sync.Mutex
	streams map[link.ID]chan link.Message
}

const officeModel = "office-8b"

// withTestBench starts a sidecar beside an engine of the Cuenca example or, when service is set, beside a booking
// service.
func withTestBench(t *testing.T, service string, models []string, fn func(*testBench)) {
	t.Helper()
	b := &testBench{test: t, metrics: new(expvar.Map), incarnation: uuid.New(), config: site.NewCurrentGeneration(), streams: map[link.ID]chan link.Message{}}
	base, err := examples.Source("", "base.yaml")
	assert.NilError(t, err)
	overlay, err := examples.Source("", "cuenca/site.yaml")
	assert.NilError(t, err)
	loaded, err := site.LoadSources(base, overlay)
	assert.NilError(t, err)
	b.declarations = loaded.Declarations
	b.declarations.WeightStore.LoadsPerSecond = 10_000
	b.exchange = generation.NewExchange(b.config, klog.Logger{}, b.metrics, clock.RealClock{})
	platform, err := standin.StartPlatform()
	assert.NilError(t, err)
	defer platform.Stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	o := sidecar.Options{Instance: "el-centro-engine-1", Zone: "el-centro", Listener: listener, Platform: platform.Addr(), Models: models, Service: service}
	if service == "" {
		b.engine, err = standin.StartEngine(
			standin.WithModels(engine.LoadedModel{Model: officeModel, Version: "2026-05"}), standin.WithLoadLag(20*time.Millisecond),
			standin.WithCosts(standin.Costs{Step: 2 * time.Millisecond}))
		assert.NilError(t, err)
		defer b.engine.Stop()
		o.Backend = b.engine.Addr()
	} else {
		b.service, err = standin.StartService()
		assert.NilError(t, err)
		defer b.service.Stop()
		o.Instance, o.Backend = "booking-desk-el-centro", b.service.Addr()
		declared := b.declarations.Services[service]
		declared.ClockSkew = 0
		declared.Workers = map[string]site.ServiceWorker{o.Instance: {Name: o.Instance, Zone: o.Zone, Address: address}}
		b.declarations.Services[service] = declared
	}
	b.sidecar, err = sidecar.Start(o, sidecar.WithMetrics(b.metrics), sidecar.WithStrictInvariants(), sidecar.WithTicketKey([]byte("k")))
	assert.NilError(t, err)
	b.publish(func(*site.Declarations) {})
	heartbeat := func() link.Heartbeat { return link.Heartbeat{Generation: b.exchange.CurrentNumber()} }
	hello := link.Hello{Role: link.RoleEntry, Instance: "entry", Incarnation: b.incarnation, Generation: 1}
	b.conn, err = link.Dial(t.Context(), address, hello, link.WithHeartbeatContent(heartbeat), link.WithHeartbeat(20*time.Millisecond, 3*time.Second))
	assert.NilError(t, err)
	done := make(chan struct{})
	go b.read(done)
	b.waitUntil("serving", func() bool { s := b.sidecar.Status(); return s.Phase == "serving" && s.Window.Requests > 0 })
	// The sidecar accepts no work for a moment while it sets the engine's role.
	b.waitUntil("role set", func() bool {
		return service != "" || b.engine.Load().Role == "mixed" && len(b.sidecar.Status().Models) > 0
	})
	fn(b)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	assert.NilError(t, b.sidecar.Stop(ctx))
	b.conn.Close()
	<-done
}

func (b *testBench) read(done chan struct{}) {
	defer close(done)
	for m := range b.conn.Receive() {
		var id link.ID
		switch m := m.(type) {
		case *link.Granted:
			id = m.ID
		case *link.Piece:
			id = m.ID
		case *link.End:
			id = m.ID
		case *link.Failed:
			id = m.ID
		case *link.Refused:
			id = m.ID
		default:
			b.exchange.Handle(b.conn, m)
			continue
		}
		b.mu.Lock()
		c := b.streams[id]
		b.mu.Unlock()
		if c != nil {
			c <- m
		}
	}
}

// publish changes the declarations and makes the new generation current in the test, whose next heartbeat announces it
// to the sidecar.
func (b *testBench) publish(change func(*site.Declarations)) {
	b.test.Helper()
	change(b.declarations)
	manifest, shards, err := site.Render(b.declarations, b.manifest.Generation+1)
	assert.NilError(b.test, err)
	b.manifest = manifest
	accepted := b.config.Install(site.Generation{Manifest: manifest, Shards: shards})
	_, ok := accepted.(site.Accepted)
	assert.Assert(b.test, ok, "%#v", accepted)
}

func (b *testBench) waitForGeneration() {
	b.test.Helper()
	b.waitUntil("generation current", func() bool { return b.sidecar.Status().Generation == b.manifest.Generation })
}

func (b *testBench) waitUntil(what string, check func() bool) {
	b.test.Helper()
	poll.WaitOn(b.test, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(30*time.Second))
}

func (b *testBench) send(m *link.Offer) chan link.Message {
	b.sequence++
	m.ID = link.WireID(answer.ID{Incarnation: b.incarnation, Sequence: b.sequence, Attempt: 1})
	if m.Remaining == 0 {
		m.Remaining = time.Minute
	}
	if m.Fingerprint == nil {
		m.Fingerprint = make([]byte, 16)
		m.Fingerprint[0], m.Fingerprint[1] = byte(b.sequence), byte(b.sequence>>8)
	}
	c := make(chan link.Message, 4096)
	b.mu.Lock()
	b.streams[m.ID] = c
	b.mu.Unlock()
	assert.NilError(b.test, b.conn.Send(m))
	return c
}

func (b *testBench) sendPrompt(model string, tokens int64) chan link.Message {
	return b.send(&link.Offer{Workspace: "schedules", Prompt: &link.PromptBody{Model: model, Text: "a question", Tokens: 3, MaxTokens: tokens}})
}

// waitGranted waits until a request is granted.
func (b *testBench) waitGranted(c chan link.Message) chan link.Message {
	b.test.Helper()
	m := <-c
	_, ok := m.(*link.Granted)
	assert.Assert(b.test, ok, "%#v", m)
	return c
}

// readToEnd returns the final message of a request, and its answer.
func readToEnd(c chan link.Message) (link.Message, string) {
	var text strings.Builder
	for m := range c {
		switch m := m.(type) {
		case *link.Piece:
			text.Write(m.Data)
		case *link.End, *link.Refused, *link.Failed:
			return m, text.String()
		}
	}
	return nil, ""
}

// refusalReason returns why a request was refused, or an empty reason when it ran.
func refusalReason(c chan link.Message) answer.Reason {
	m, _ := readToEnd(c)
	if r, ok := m.(*link.Refused); ok {
		return r.Reason
	}
	return ""
}

func (b *testBench) version(model string) string {
	for _, m := range b.engine.Load().Models {
		if m.Model == model {
			return m.Version
		}
	}
	return ""
}

func (b *testBench) metric(metric string) int64 {
	if v, ok := b.metrics.Get(metric).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// sendForeignOrder sends an order to the engine as another sidecar incarnation.
func (b *testBench) sendForeignOrder(o engine.Order) {
	b.test.Helper()
	c := engine.New(b.engine.Addr())
	defer c.Close()
	_, err := c.SendOrder(b.test.Context(), o)
	assert.NilError(b.test, err)
}

func setVersion(version string) func(*site.Declarations) {
	return func(d *site.Declarations) {
		m := d.Models[officeModel]
		m.Version = version
		d.Models[officeModel] = m
	}
}

// Guards against declared models, versions, adapters and roles that do not reach the engine, against a change that
// interrupts a running request, and against orders of an earlier sidecar that stay in effect.
func TestOrders(t *testing.T) {
	tests := map[string]struct {
		models []string
		run    func(*testing.T, *testBench)
	}{
		"version change waits for a stream": {[]string{officeModel}, func(t *testing.T, b *testBench) {
			running := b.waitGranted(b.sendPrompt(officeModel, 600))
			b.publish(setVersion("2026-03"))
			var reason answer.Reason
			b.waitUntil("model closed to new work", func() bool { reason = refusalReason(b.sendPrompt(officeModel, 1)); return reason != "" })
			assert.Equal(t, reason, answer.ReasonNotReady)
			assert.Equal(t, b.version(officeModel), "2026-05")
			last, text := readToEnd(running)
			assert.Equal(t, last.(*link.End).Length, int64(2400))
			assert.Equal(t, text, standin.ExpectedAnswer("a question", 600))
			b.waitUntil("new version", func() bool { return b.version(officeModel) == "2026-03" })
			b.waitUntil("model open to new work again", func() bool { return refusalReason(b.sendPrompt(officeModel, 1)) == "" })
		}},
		"adapters and role": {[]string{officeModel}, func(t *testing.T, b *testBench) {
			b.waitUntil("adapters and role", func() bool {
				l := b.engine.Load()
				return len(l.Models[0].Adapters) == 2 && l.Role == "mixed"
			})
			b.publish(func(d *site.Declarations) {
				m := d.Models[officeModel]
				m.Adapters, m.Role = m.Adapters[:1], site.RoleDecode
				d.Models[officeModel] = m
			})
			b.waitUntil("fewer adapters, new role", func() bool {
				l := b.engine.Load()
				return len(l.Models[0].Adapters) == 1 && l.Role == "decode"
			})
		}},
		"a model that is not loaded yet": {[]string{officeModel, "ledger-32b"}, func(t *testing.T, b *testBench) {
			b.waitUntil("both loaded", func() bool { return b.version("ledger-32b") == "2026-04" && b.version(officeModel) == "2026-05" })
			b.waitUntil("new model serves", func() bool { return refusalReason(b.sendPrompt("ledger-32b", 1)) == "" })
		}},
		"a model that this worker does not serve": {[]string{officeModel}, func(t *testing.T, b *testBench) {
			assert.Equal(t, refusalReason(b.sendPrompt("ledger-32b", 1)), answer.ReasonNotServed)
			assert.Equal(t, refusalReason(b.sendPrompt(officeModel, 1)), answer.Reason(""))
		}},
		"late order of an earlier sidecar": {[]string{officeModel}, func(t *testing.T, b *testBench) {
			b.waitUntil("adapters loaded", func() bool { return len(b.engine.Load().Models[0].Adapters) == 2 })
			assert.NilError(t, b.engine.Inject(standin.IgnoreFences{On: true}))
			b.sendForeignOrder(engine.Order{Kind: engine.OrderLoad, Model: officeModel, Version: "2026-03", Fence: engine.Fence{Start: 1}})
			assert.Equal(t, b.version(officeModel), "2026-03")
			b.waitUntil("order reverted", func() bool { return b.version(officeModel) == "2026-05" })
			b.waitUntil("counted", func() bool { return b.metric("orders-undone") == 1 })
		}},
		"orders refused by the fence until a newer generation": {[]string{officeModel}, func(t *testing.T, b *testBench) {
			b.waitUntil("adapters loaded", func() bool { return len(b.engine.Load().Models[0].Adapters) == 2 })
			b.sendForeignOrder(engine.Order{Kind: engine.OrderRole, Role: "mixed", Fence: engine.Fence{Generation: 2, Start: math.MaxInt64}})
			b.publish(setVersion("2026-03"))
			b.waitUntil("fenced", func() bool { return b.metric("orders-fenced") == 1 })
			b.waitUntil("serves meanwhile", func() bool { return refusalReason(b.sendPrompt(officeModel, 1)) == "" })
			assert.Equal(t, b.version(officeModel), "2026-05")
			b.publish(setVersion("2026-03"))
			b.waitUntil("new version", func() bool { return b.version(officeModel) == "2026-03" })
			assert.Equal(t, b.metric("orders-fenced"), int64(1))
		}},
		"restarted engine gets its version again": {[]string{officeModel}, func(t *testing.T, b *testBench) {
			b.publish(setVersion("2026-03"))
			b.waitUntil("new version", func() bool { return b.version(officeModel) == "2026-03" })
			assert.NilError(t, b.engine.Inject(standin.Crash{Downtime: time.Millisecond}))
			b.waitUntil("loaded again", func() bool { return b.engine.Crashes() == 1 && b.version(officeModel) == "2026-03" })
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withTestBench(t, "", tt.models, func(b *testBench) { b.test = t; tt.run(t, b) })
		})
	}
}
