package telemetry

import (
	"expvar"
	"sync"
)

// rootMap is published only once, because expvar has a single namespace for the whole program, while a demo or a test
// runs several instances in one program.
var rootMap = sync.OnceValue(func() *expvar.Map { return expvar.NewMap("berylward") })

// Metrics holds the expvar metrics of one instance, grouped by slice.
type Metrics struct {
	mu     sync.Mutex
	slices *expvar.Map
}

// NewMetrics returns the metrics of an instance and publishes them under berylward.<instance>.
func NewMetrics(instance string) *Metrics {
	m := &Metrics{slices: new(expvar.Map).Init()}
	rootMap().Set(instance, m.slices)
	return m
}

// Slice returns the metrics of a slice and creates the group if it does not exist.
func (m *Metrics) Slice(name string) *expvar.Map {
	m.mu.Lock()
	defer m.mu.Unlock()
	if group, ok := m.slices.Get(name).(*expvar.Map); ok {
		return group
	}
	group := new(expvar.Map).Init()
	m.slices.Set(name, group)
	return group
}

// Publish publishes a slice whose metrics f returns at each read, as a value that encoding/json can encode. f must not add metrics to
// the instance, whose lock is held.
func (m *Metrics) Publish(name string, f func() any) { m.slices.Set(name, expvar.Func(f)) }
