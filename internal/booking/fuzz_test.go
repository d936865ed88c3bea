package booking

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a seal or request that makes its decoder panic, has durations out of range, or cannot be encoded and
// decoded again.
func FuzzMessages(f *testing.F) {
	seal, err := EncodeSeal(Seal{Service: "s", From: "a", Entries: []SealEntry{
		{Name: "w\x00k", Remaining: time.Hour, Outcome: SealDone{Answer{Status: 201, Body: []byte("x")}}},
		{Name: "w\x00l", Outcome: SealRunning{}},
	}})
	assert.NilError(f, err)
	request, err := EncodeSealRequest(SealRequest{Service: "s", From: "a", Epoch: 1, Keys: []string{"k"}})
	assert.NilError(f, err)
	f.Add(seal)
	f.Add(request)
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeSealRequest(data); err == nil {
			if _, err := EncodeSealRequest(r); err != nil {
				t.Fatal(err)
			}
		}
		s, err := DecodeSeal(data)
		if err != nil {
			return
		}
		for _, e := range s.Entries {
			if e.Remaining < 0 || e.Outcome == nil {
				t.Fatalf("entry %+v", e)
			}
		}
		again, err := EncodeSeal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeSeal(again); err != nil {
			t.Fatalf("encoded seal cannot be decoded: %v", err)
		}
	})
}

// Guards against a ticket that makes the table panic, and against a ticket that runs without the fleet's key.
func FuzzTicket(f *testing.F) {
	now := time.UnixMilli(1_800_000_000_000)
	other, err := encodeTicket(Ticket{Service: "s", Worker: "a", Issued: now, Expires: now.Add(time.Hour)}, []byte("other key"))
	assert.NilError(f, err)
	f.Add(other)
	f.Add("")
	f.Add("AAAA")
	table, err := New(Config{Service: "s", Worker: "a", Start: now}, WithTickets([]byte("a key"), 0))
	assert.NilError(f, err)
	table.Adopt(now, Ownership{Epoch: 1, Workers: []Worker{{Name: "a", InService: true}}})
	f.Fuzz(func(t *testing.T, token string) {
		_, _ = ParseTicket(token)
		if token == "" {
			return
		}
		if _, runs := table.Offer(now, Call{Workspace: "w", Ticket: token}).(Run); runs {
			t.Fatalf("forged ticket runs: %q", token)
		}
	})
}
