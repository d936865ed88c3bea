// Package callers holds the connections of callers of a gateway or an entry: how many may be open, which make room for new ones, and
// which are waited for when the process stops. Conns is safe for concurrent use; net/http tells it of each connection. The package
// decides nothing about requests.
package callers

import (
	"container/list"
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/utils/clock"
)

const (
	// descriptorShare is the share of the process's file descriptors that connections of callers may use. Each of them may need
	// one more to a backend server, and there are idle ones, orders for memory, links, the store and peering.
	descriptorShare = 0.45
	// headShare is the share of the memory limit that the heads of requests may take if all callers send the largest at once.
	headShare = 0.25
	// connectionBuffers is the memory in bytes that net/http takes for a connection beside the head.
	connectionBuffers = 8 << 10
	// refusedShare, times the limit, is how many connections beyond it are kept open until their request is refused. Further ones
	// are closed at once.
	refusedShare = 0.125
	// closePollInterval is the pause between checks for responses that are still being written at the end of a stop.
	closePollInterval = 10 * time.Millisecond
)

// Limit returns how many connections callers may have open; zero means that there is no limit. descriptors is the number of file
// descriptors that the process may open, and memory its memory limit in bytes; zero means that it is not known. maxHead bounds the
// head of a request in bytes.
func Limit(descriptors int, memory int64, maxHead int) int {
	limit := int(descriptorShare * float64(descriptors))
	if byMemory := int(headShare * float64(memory) / float64(maxHead+connectionBuffers)); byMemory > 0 && (limit == 0 || byMemory < limit) {
		limit = byMemory
	}
	return limit
}

// Verdict says what becomes of a request by its connection. It is a sealed interface: Served, Excess and Closed are its only
// implementations.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Served means that the request may be served.
type Served struct{}

// Excess means that there are too many connections: the request must be refused and the connection closed.
type Excess struct{}

// Closed means that the connection was closed to make room just when the request arrived. The request must not be passed on.
type Closed struct{}

func (Served) verdict() {}
func (Excess) verdict() {}
func (Closed) verdict() {}

// Conns holds the open connections of callers. When there are too many, the one that has been idle for longest makes room for a new
// one; if none is idle, the request on the new one is to be refused.
type Conns struct {
	limit   int
	metrics *expvar.Map

	mu    sync.Mutex
	conns map[net.Conn]*conn
	// idle holds the connections without a request that have had one, the one that has been idle for longest first.
	idle list.List
	busy int
	peak int
}

// conn is the state of one connection.
type conn struct {
	// busy is set while there is a request whose response was not written to its end. A request ends earlier, when its handler
	// returns.
	busy bool
	// idle is its place among the idle connections, nil if it is not idle.
	idle *list.Element
	// excess is set if the connection is beyond the limit.
	excess bool
}

// NewConns returns Conns with a limit of open connections; zero means that there is none. Connections that are closed for the limit
// are counted in metrics.
func NewConns(limit int, metrics *expvar.Map) *Conns {
	return &Conns{limit: limit, metrics: metrics, conns: map[net.Conn]*conn{}}
}

// Observe has a server tell c of its connections. It must be called before the server serves.
func (c *Conns) Observe(server *http.Server) {
	server.ConnState, server.ConnContext = c.record, withConn
}

// record takes in a new state of a connection.
func (c *Conns) record(netConn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew {
		c.add(netConn)
		return
	}
	known := c.conns[netConn]
	if known == nil {
		return // it was closed to make room
	}
	c.setIdle(netConn, known, state == http.StateIdle)
	if busy := state == http.StateActive; busy != known.busy {
		known.busy = busy
		if busy {
			c.busy++
		} else {
			c.busy--
		}
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, netConn)
	}
}

func (c *Conns) add(netConn net.Conn) {
	excess := c.limit > 0 && len(c.conns) >= c.limit && !c.closeIdle()
	if excess && len(c.conns) >= c.limit+max(int(refusedShare*float64(c.limit)), 1) {
		c.metrics.Add("connections-closed", 1)
		_ = netConn.Close()
		return
	}
	c.conns[netConn] = &conn{excess: excess}
	c.peak = max(c.peak, len(c.conns))
}

// closeIdle closes the connection that has been idle for longest, and reports whether there was one.
func (c *Conns) closeIdle() bool {
	oldest := c.idle.Front()
	if oldest == nil {
		return false
	}
	netConn := oldest.Value.(net.Conn)
	c.idle.Remove(oldest)
	delete(c.conns, netConn)
	c.metrics.Add("connections-closed-idle", 1)
	_ = netConn.Close()
	return true
}

func (c *Conns) setIdle(netConn net.Conn, known *conn, idle bool) {
	switch {
	case idle && known.idle == nil:
		known.idle = c.idle.PushBack(netConn)
	case !idle && known.idle != nil:
		c.idle.Remove(known.idle)
		known.idle = nil
	}
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, netConn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, netConn)
}

// Check returns what becomes of a request with the context. It is called before anything is done for the request.
func (c *Conns) Check(ctx context.Context) Verdict {
	netConn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return Served{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch known := c.conns[netConn]; {
	case known == nil:
		return Closed{}
	case known.excess:
		return Excess{}
	}
	return Served{}
}

// Busy returns the number of connections with a request that has not been answered to its end.
func (c *Conns) Busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// StopAccepting closes the listeners of servers and their idle connections, and has each other one closed after the answer that it
// waits for.
func StopAccepting(servers ...*http.Server) {
	// With a canceled context, Shutdown does not wait. Its own wait includes connections on which no request was sent.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range servers {
		_ = s.Shutdown(ctx)
	}
}

// Await waits until all callers have received their answers to the end, or until ctx ends. It returns the number of connections that
// still wait.
func (c *Conns) Await(ctx context.Context, clk clock.Clock) int {
	for c.Busy() > 0 {
		select {
		case <-ctx.Done():
			return c.Busy()
		case <-clk.After(closePollInterval):
		}
	}
	return 0
}

// Usage is the number of connections of callers.
type Usage struct {
	// Limit is zero if there is none.
	Limit int `json:"limit"`
	Open  int `json:"open"`
	// Peak is the largest Open so far.
	Peak int `json:"peak"`
}

// Usage returns the present usage.
func (c *Conns) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Usage{Limit: c.limit, Open: len(c.conns), Peak: c.peak}
}
