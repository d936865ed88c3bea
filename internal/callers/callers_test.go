package callers

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a limit that lets heads take more memory than their share, or that is none although one of its bounds is known.
func TestLimit(t *testing.T) {
	cases := map[string]struct {
		descriptors int
		memory      int64
		maxHead     int
		want        int
	}{
		"nothing known":       {0, 0, 64 << 10, 0},
		"descriptors":         {1000, 0, 64 << 10, 450},
		"memory":              {0, 284 << 20, 64 << 10, 1009},
		"memory is smaller":   {20_000, 284 << 20, 64 << 10, 1009},
		"descriptors smaller": {1000, 284 << 20, 64 << 10, 450},
		"smaller heads":       {0, 284 << 20, 32 << 10, 1817},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, Limit(tc.descriptors, tc.memory, tc.maxHead), tc.want)
		})
	}
}

// closedConn is a connection that records that it was closed.
type closedConn struct {
	net.Conn
	closed bool
}

func (c *closedConn) Close() error {
	c.closed = true
	return nil
}

// Guards against connections that are counted wrong, a connection with a request that is closed to make room, and a request that is
// served on a closed one, whatever the order in which net/http reports states.
func TestStatesOfConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		limit := 1 + random.IntN(6)
		c := NewConns(limit, new(expvar.Map))
		states := map[*closedConn]http.ConnState{}
		var conns []*closedConn
		for range 200 {
			var conn *closedConn
			if len(conns) > 0 {
				conn = conns[random.IntN(len(conns))]
			}
			next := http.StateClosed
			switch {
			case conn == nil || random.IntN(3) == 0:
				conn, next = &closedConn{}, http.StateNew
			case states[conn] == http.StateActive && random.IntN(4) > 0:
				next = http.StateIdle
			case states[conn] != http.StateActive && random.IntN(4) > 0:
				next = http.StateActive
			}
			c.record(conn, next)
			if next == http.StateNew {
				conns = append(conns, conn)
			}
			if states[conn] = next; next == http.StateClosed {
				delete(states, conn)
				conns = slices.DeleteFunc(conns, func(c *closedConn) bool { return c == conn })
			}
			busy, open := 0, 0
			for conn, state := range states {
				verdict := c.Check(withConn(context.Background(), conn))
				_, isClosed := verdict.(Closed)
				assert.Equal(t, isClosed, conn.closed)
				if conn.closed {
					continue
				}
				if open++; state == http.StateActive {
					busy++
				}
			}
			assert.Equal(t, c.Busy(), busy)
			assert.Equal(t, c.Usage().Open, open)
			assert.Assert(t, open <= limit+1, "%d connections with a limit of %d", open, limit)
		}
	})
}

// Guards against a connection with a request that is closed to make room, and against closing one that was used later than another.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	c := NewConns(3, new(expvar.Map))
	open := func(states ...http.ConnState) *closedConn {
		conn := &closedConn{}
		for _, s := range append([]http.ConnState{http.StateNew}, states...) {
			c.record(conn, s)
		}
		return conn
	}
	busy, first, second := open(http.StateActive), open(http.StateActive, http.StateIdle), open(http.StateActive, http.StateIdle)
	c.record(first, http.StateActive)
	c.record(first, http.StateIdle)
	open()
	assert.Assert(t, second.closed && !first.closed && !busy.closed)
	open()
	assert.Assert(t, first.closed && !busy.closed)
	excess := open(http.StateActive)
	_, ok := c.Check(withConn(t.Context(), excess)).(Excess)
	assert.Assert(t, ok && !busy.closed)
}
