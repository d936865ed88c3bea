package capacity

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"berylward.example/berylward/internal/link"
)

// countingConn counts the bytes read and written on a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// measureLinks keeps size idle links open for span. Both sides of each link are in this process.
func measureLinks(ctx context.Context, size int, span time.Duration) (map[string]float64, error) {
	before := liveMemory()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{Op: "links", Kind: KindSetup, Err: err}
	}
	var handlers sync.WaitGroup
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handlers.Add(1)
		defer handlers.Done()
		conn, err := link.Accept(w, r, link.Hello{Role: link.RoleSidecar, Instance: "sidecar", Incarnation: uuid.New()}, link.WithHeartbeatContent(idleHeartbeat))
		if err != nil {
			return
		}
		discardMessages(conn)
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close(); handlers.Wait() }()

	var bytes atomic.Int64
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &bytes}, err
	}}}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	conns, err := dialAll(ctx, address, size, client)
	defer closeAll(conns)
	if err != nil {
		return nil, &Error{Op: "links", Kind: KindSetup, Err: err}
	}
	memory := liveMemory() - before
	bytes.Store(0)
	start, cpu := time.Now(), cpuTime()
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
	elapsed := time.Since(start).Seconds()
	return map[string]float64{
		"both sides, % of a core":  100 * (cpuTime() - cpu).Seconds() / elapsed,
		"one side, bytes/s in+out": float64(bytes.Load()) / elapsed,
		"both sides, live bytes":   memory,
	}, nil
}

func idleHeartbeat() link.Heartbeat { return link.Heartbeat{Generation: 365_000, Suspects: 1 << 60} }

func dialAll(ctx context.Context, address netip.AddrPort, n int, client *http.Client) ([]*link.Conn, error) {
	var conns []*link.Conn
	for range n {
		conn, err := link.Dial(ctx, address, link.Hello{Role: link.RoleEntry, Instance: "entry", Incarnation: uuid.New()},
			link.WithHTTPClient(client), link.WithHeartbeatContent(idleHeartbeat))
		if err != nil {
			return conns, err
		}
		conns = append(conns, conn)
		go discardMessages(conn)
	}
	return conns, nil
}

func discardMessages(conn *link.Conn) {
	for range conn.Receive() {
		continue
	}
}

func closeAll(conns []*link.Conn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}
