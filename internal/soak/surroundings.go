package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"berylward.example/berylward/internal/standin/direct"
)

const (
	// maxRollInterval limits the time between the stops of two gateways in a rolling stop, which may be none. A stop takes longer,
	// so that stops overlap.
	maxRollInterval = 700 * time.Millisecond
	// floodSize is how many connections of a flood are opened to one gateway. It exceeds the limit that follows from memoryLimit.
	floodSize = 1200
)

// surroundingFaults are faults of what a gateway lives with: signals, the reader of its log, and callers that use connections badly.
var surroundingFaults = []fault{
	{"gateways stopped in turn", true, func(h *harness) func() {
		ctx, cancel := context.WithCancel(context.Background())
		interval := time.Duration(h.random.Int64N(int64(maxRollInterval)))
		var roll sync.WaitGroup
		roll.Go(func() {
			for _, process := range h.gateways {
				process.signal(syscall.SIGTERM)
				select {
				case <-ctx.Done():
					return
				case <-h.clock.After(interval):
				}
			}
		})
		return func() {
			cancel()
			roll.Wait()
		}
	}},
	{"gateway reload and broken pipe in a row", true, func(h *harness) func() {
		process := h.randomGateway()
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGPIPE, syscall.SIGHUP} {
			process.signal(s)
		}
		return func() {}
	}},
	{"gateway stopped twice", false, func(h *harness) func() {
		process := h.randomGateway()
		process.signal(syscall.SIGTERM)
		return func() { process.signal(syscall.SIGTERM) }
	}},
	{"log not read", true, func(h *harness) func() {
		process := h.randomGateway()
		process.reader.pause()
		return process.reader.resume
	}},
	{"slow answers", true, func(h *harness) func() {
		b := h.backends[h.random.IntN(len(h.backends))]
		b.SetFault(direct.Pauses{After: h.random.IntN(3), For: time.Duration(h.random.Int64N(int64(time.Second)))})
		return func() { b.SetFault(direct.NoFault{}) }
	}},
	{"connections without requests", false, func(h *harness) func() {
		return h.flood(h.random.IntN(len(h.gateways)), func(net.Conn) {})
	}},
	{"heads that never end", false, func(h *harness) func() {
		return h.flood(h.random.IntN(len(h.gateways)), endlessHead)
	}},
	{"callers that read nothing", false, func(h *harness) func() {
		return h.flood(h.random.IntN(len(h.gateways)), func(conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "GET /nowhere/x HTTP/1.1\r\nHost: %s\r\n\r\n", callerHost)
		})
	}},
}

// endlessHead sends the first 60 KiB of a head that has no end.
func endlessHead(conn net.Conn) {
	_, _ = io.WriteString(conn, "POST /look/x HTTP/1.1\r\nX-Padding: "+strings.Repeat("x", 60<<10))
}

// flood opens connections to a gateway and calls a function with each. The function that it returns closes them.
func (h *harness) flood(gateway int, begin func(net.Conn)) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var opened sync.WaitGroup
	opened.Go(func() {
		var dialer net.Dialer
		for range floodSize {
			conn, err := dialer.DialContext(ctx, "tcp", h.callerAddresses[gateway].String())
			if err != nil {
				continue // the gateway restarts, or closes what is too many
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
			begin(conn)
		}
		<-ctx.Done()
	})
	return func() {
		cancel()
		opened.Wait()
	}
}

// pausedReader reads what a process writes, unless it is paused.
type pausedReader struct {
	mu sync.Mutex
	// resumed is closed when the reader goes on; nil while it is not paused. pauses counts the faults that pause it.
	resumed chan struct{}
	pauses  int
}

func (r *pausedReader) pause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pauses++; r.pauses == 1 {
		r.resumed = make(chan struct{})
	}
}

func (r *pausedReader) resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pauses--; r.pauses == 0 {
		close(r.resumed)
		r.resumed = nil
	}
}

// copy copies from src to dst until src ends.
func (r *pausedReader) copy(dst io.Writer, src io.Reader) {
	buf := make([]byte, 4<<10)
	for {
		r.mu.Lock()
		resumed := r.resumed
		r.mu.Unlock()
		if resumed != nil {
			<-resumed
			continue
		}
		n, err := src.Read(buf)
		_, _ = dst.Write(buf[:n])
		if err != nil {
			return
		}
	}
}
