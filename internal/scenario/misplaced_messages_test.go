package scenario

import (
	"net"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/internal/standin"
)

// Guards against link messages that arrive late, repeated or for another request and change or end an answer.
func TestMisplacedMessages(t *testing.T) {
	const prompt, tokens = "A year of ledgers", 20
	want := []byte(standin.ExpectedAnswer(prompt, tokens))
	foreign := []byte("an answer to another request")
	tests := map[string]func(id link.ID, send func(link.Message)){
		"repeated pieces": func(id link.ID, send func(link.Message)) {
			for offset := 0; offset < len(want); offset += 4 {
				piece := &link.Piece{ID: id, Offset: int64(offset), Data: want[offset : offset+4]}
				send(piece)
				send(piece)
			}
		},
		"overlapping pieces": func(id link.ID, send func(link.Message)) {
			for offset := 0; offset < len(want); offset += 4 {
				send(&link.Piece{ID: id, Offset: int64(max(offset-8, 0)), Data: want[max(offset-8, 0) : offset+4]})
			}
		},
		"messages of another attempt": func(id link.ID, send func(link.Message)) {
			other := id
			other.Attempt += 7
			send(&link.Piece{ID: other, Data: foreign})
			send(&link.Piece{ID: id, Data: want[:8]})
			send(&link.Failed{ID: other, Reason: "backend-failed"})
			send(&link.End{ID: other, Length: int64(len(foreign)), Digest: xxhash.Sum64(foreign)})
			send(&link.Piece{ID: id, Offset: 8, Data: want[8:]})
		},
		"messages of another request": func(id link.ID, send func(link.Message)) {
			other := id
			other.Sequence += 3
			send(&link.Refused{ID: other, Reason: "overloaded"})
			send(&link.Piece{ID: id, Data: want})
			send(&link.Piece{ID: other, Offset: int64(len(want)), Data: foreign})
			send(&link.Cancelled{ID: other, Ran: true})
		},
		"messages of another entry": func(id link.ID, send func(link.Message)) {
			other := id
			other.Incarnation = uuid.New()
			send(&link.Piece{ID: other, Data: foreign})
			send(&link.Piece{ID: id, Data: want})
			send(&link.End{ID: other})
		},
		"late queued and granted messages": func(id link.ID, send func(link.Message)) {
			send(&link.Piece{ID: id, Data: want[:4]})
			send(&link.Queued{ID: id})
			send(&link.Granted{ID: id})
			send(&link.Piece{ID: id, Offset: 4, Data: want[4:]})
		},
	}
	for name, reply := range tests {
		t.Run(name, func(t *testing.T) {
			withHarness(t, threeZones, func(t *testing.T, h *harness) {
				h.serveOffers(t, func(m *link.Offer, send func(link.Message)) {
					reply(m.ID, send)
					end := &link.End{ID: m.ID, Length: int64(len(want)), Digest: xxhash.Sum64(want)}
					send(end)
					send(end)
					send(&link.Piece{ID: m.ID, Offset: int64(len(want)), Data: foreign})
				})
				r := request{prompt: prompt, tokens: tokens, stream: true, timeout: 10 * time.Second}
				h.checkWholeAnswer(r, h.send(t.Context(), r))
			})
		})
	}
}

// serveOffers replaces the engines in the instance list by one sidecar that passes each offer to reply.
func (h *harness) serveOffers(t *testing.T, reply func(*link.Offer, func(link.Message))) {
	listener, err := h.net.Listen("fake-sidecar", netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	hello := link.Hello{Role: link.RoleSidecar, Instance: "fake-sidecar", Incarnation: uuid.New(), Zone: "banos", Generation: 1}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := link.Accept(w, r, hello)
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.Send(&link.State{Phase: "serving", WindowTokens: 1000, WindowRequests: 2, Models: []string{"office-8b"}})
		for m := range conn.Receive() {
			if offer, ok := m.(*link.Offer); ok {
				reply(offer, func(m link.Message) { _ = conn.Send(m) })
			}
		}
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	list := slices.DeleteFunc(h.Instances(), func(i platformclient.Instance) bool { return len(i.Models) > 0 })
	h.Platform.PublishInstances(append(list, platformclient.Instance{
		Name: "fake-sidecar", Address: listener.Addr().(*net.TCPAddr).AddrPort(), Zone: "banos", Region: "azuay",
		Role: platformclient.RoleSidecar, Models: []string{"office-8b"},
	})...)
	time.Sleep(2 * time.Second)
}
