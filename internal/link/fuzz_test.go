package link

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a frame that makes Decode panic, and against a message whose type changes when it is encoded and
// decoded again.
func FuzzDecode(f *testing.F) {
	seeds := []Message{
		&Offer{Remaining: time.Second, Prompt: &PromptBody{Model: "a", Text: "b", Prefixes: []uint64{1}}},
		&Offer{Call: &CallBody{Service: "s", Header: map[string][]string{"A": {"b"}}}},
		&Piece{Offset: 4, Data: []byte("ab")}, &End{Length: 2}, &Heartbeat{Sequence: 1}, &ConfigShard{Shard: 1},
		&State{Phase: "serving", Models: []string{"a"}, Cached: []uint64{1}}, &Hello{Version: 1}, &Refused{Reason: "x", Fullness: 0.5},
	}
	for _, m := range seeds {
		frame, err := Encode(m)
		assert.NilError(f, err)
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := Decode(frame)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatalf("decoded message cannot be encoded: %v", err)
		}
		second, err := Decode(again)
		if err != nil {
			t.Fatalf("encoded message cannot be decoded: %v", err)
		}
		if WireName(second) != WireName(m) || reflect.TypeOf(second) != reflect.TypeOf(m) {
			t.Fatalf("%T became %T", m, second)
		}
	})
}
