package booking

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"berylward.example/berylward/pkg/answer"
)

var epochStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// timestampedKey returns a UUID version 7 key with the given creation time.
func timestampedKey(at time.Time, n int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(n))
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

func singleWorkerTable(t *testing.T, opts ...Option) *Table {
	table, err := New(Config{Service: "desk", Worker: "a", Incarnation: uuid.UUID{1}, Start: epochStart}, opts...)
	assert.NilError(t, err)
	workers := []Worker{{Name: "a", InService: true}}
	assert.Assert(t, table.Adopt(epochStart, Ownership{Epoch: 1, Workers: workers}))
	return table
}

// Guards against a second run of a key, a wrong answer to a repeat, and a rejection of a call that may have run.
func TestOffer(t *testing.T) {
	const life = 24 * time.Hour
	now := epochStart.Add(time.Hour)
	key := timestampedKey(now, 1)
	run := func(tb *Table) { tb.Offer(now, Call{Key: key}) }
	name := EntryName("", key)
	reject := func(r answer.Reason) Decision { return Reject{Reason: r, Epoch: 1} }
	tests := map[string]struct {
		before func(*Table)
		after  time.Duration
		call   Call
		want   Decision
	}{
		"first":                   {call: Call{Key: key}, want: Run{name}},
		"running":                 {before: run, call: Call{Key: key}, want: Wait{name}},
		"other body":              {before: run, call: Call{Key: key, Fingerprint: Fingerprint{1}}, want: reject(answer.ReasonKeyMismatch)},
		"other workspace":         {before: run, call: Call{Key: key, Workspace: "w"}, want: Run{EntryName("w", key)}},
		"done":                    {before: func(tb *Table) { run(tb); tb.Complete(now, name, Answer{Status: 201}) }, call: Call{Key: key}, want: Replay{Answer{Status: 201}}},
		"held for a key lifetime": {before: func(tb *Table) { run(tb); tb.Complete(now, name, Answer{Status: 201}) }, after: life, call: Call{Key: key}, want: Replay{Answer{Status: 201}}},
		"failed":                  {before: func(tb *Table) { run(tb); tb.Failed(now, name, answer.ReasonLinkLost) }, call: Call{Key: key}, want: Unknown{answer.ReasonLinkLost}},
		"never ran":               {before: func(tb *Table) { run(tb); tb.NeverRan(name) }, call: Call{Key: key}, want: Run{name}},
		"answer too large":        {before: func(tb *Table) { run(tb); tb.Complete(now, name, Answer{Body: make([]byte, 1<<17)}) }, call: Call{Key: key}, want: Unknown{answer.ReasonTooLarge}},
		"older than start":        {call: Call{Key: timestampedKey(epochStart, 2)}, want: Unknown{answer.ReasonOwnerUnsure}},
		"owned by another": {
			before: func(tb *Table) {
				tb.Adopt(now, Ownership{Epoch: 2, Workers: []Worker{{Name: "a"}, {Name: "b", InService: true}}})
			},
			call: Call{Key: key}, want: Reject{Reason: answer.ReasonNotReady, Epoch: 2},
		},
		"opaque":                      {call: Call{Key: "order 7"}, want: Unknown{answer.ReasonOwnerUnsure}},
		"opaque after a key lifetime": {after: life, call: Call{Key: "order 7"}, want: Run{EntryName("", "order 7")}},
		"from the future":             {call: Call{Key: timestampedKey(now.Add(6*time.Second), 3)}, want: reject(answer.ReasonBadRequest)},
		"within the clock skew":       {call: Call{Key: timestampedKey(now.Add(4*time.Second), 3)}, want: Run{EntryName("", timestampedKey(now.Add(4*time.Second), 3))}},
		"older than a key lifetime":   {after: life + time.Second, call: Call{Key: timestampedKey(now, 4)}, want: Unknown{answer.ReasonKeyTooOld}},
		"no key":                      {want: reject(answer.ReasonBadRequest)},
		"control character":           {call: Call{Key: "a\x00b"}, want: reject(answer.ReasonBadRequest)},
		"forged ticket":               {call: Call{Ticket: "AAAA"}, want: reject(answer.ReasonBadRequest)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := singleWorkerTable(t)
			if tt.before != nil {
				tt.before(table)
			}
			assert.DeepEqual(t, table.Offer(now.Add(tt.after), tt.call), tt.want)
		})
	}
}

// Guards against a table that exceeds its memory limit, or that makes room by dropping a live key.
func TestTableFull(t *testing.T) {
	table := singleWorkerTable(t, WithMemoryLimit(10_000), WithMaxAnswerSize(1000))
	now := epochStart.Add(time.Minute)
	ran := 0
	for i := range 100 {
		d := table.Offer(now, Call{Key: timestampedKey(now, i)})
		if _, ok := d.(Run); ok {
			ran++
			table.Complete(now, EntryName("", timestampedKey(now, i)), Answer{Body: make([]byte, 500)})
		} else {
			assert.DeepEqual(t, d, Reject{Reason: answer.ReasonTableFull, Epoch: 1})
		}
		assert.Assert(t, table.UsedBytes() <= 7500)
	}
	assert.Assert(t, ran > 5 && table.Len() == ran)
	later := now.Add(24*time.Hour + 10*time.Second + sweepInterval)
	_, ok := table.Offer(later, Call{Key: timestampedKey(later, 0)}).(Run)
	assert.Assert(t, ok && table.Len() == 1)
}

// Guards against a ticket that runs twice, at another incarnation, after its expiry, or when forged.
func TestTicket(t *testing.T) {
	now := epochStart.Add(time.Minute)
	fleetKey := []byte("fleet key")
	issue := func(c Config) string {
		table, err := New(c, WithTickets(fleetKey, 0))
		assert.NilError(t, err)
		table.Adopt(now, Ownership{Epoch: 1, Workers: []Worker{{Name: c.Worker, InService: true}}})
		ticket, err := table.Issue(now, "desk")
		assert.NilError(t, err)
		return ticket.Token
	}
	own := Config{Service: "desk", Worker: "a", Incarnation: uuid.UUID{1}, Start: epochStart}
	former, other, forged := own, own, []byte(issue(own))
	former.Incarnation, other.Worker = uuid.UUID{2}, "b"
	forged[60] = 'A' + (forged[60]-'A'+1)%26 // a different base64 character
	name := "\x01ticket\x00\x00\x00\x00\x00\x00\x00\x01"
	tests := map[string]struct {
		token string
		after time.Duration
		ran   bool
		want  Decision
	}{
		"first":                      {token: issue(own), want: Run{name}},
		"repeat":                     {token: issue(own), ran: true, want: Replay{Answer{Status: 200}}},
		"repeat when old":            {token: issue(own), ran: true, after: time.Hour, want: Replay{Answer{Status: 200}}},
		"expired":                    {token: issue(own), after: 11 * time.Minute, want: Reject{Reason: answer.ReasonKeyTooOld, Epoch: 1}},
		"expired a key lifetime ago": {token: issue(own), after: 25 * time.Hour, want: Unknown{answer.ReasonKeyTooOld}},
		"former incarnation":         {token: issue(former), want: Unknown{answer.ReasonOwnerUnsure}},
		"other worker":               {token: issue(other), want: Reject{Reason: answer.ReasonNotServed, Epoch: 1}},
		"forged":                     {token: string(forged), want: Reject{Reason: answer.ReasonUnauthorized, Epoch: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := singleWorkerTable(t, WithTickets(fleetKey, 0))
			if tt.ran {
				run := table.Offer(now, Call{Ticket: tt.token}).(Run)
				table.Complete(now, run.Name, Answer{Status: 200})
			}
			assert.DeepEqual(t, table.Offer(now.Add(tt.after), Call{Ticket: tt.token}), tt.want)
		})
	}
}

// Guards against an uneven distribution of keys, and against keys that move between workers whose service state has not
// changed.
func TestOwner(t *testing.T) {
	o := Ownership{Epoch: 1}
	for i := range 3 {
		o.Workers = append(o.Workers, Worker{Name: fmt.Sprintf("desk-%d", i), InService: true})
	}
	out := Ownership{Epoch: 2, Workers: append([]Worker{{Name: "desk-0"}}, o.Workers[1:]...)}
	counts := make(map[string]int)
	for i := range 9000 {
		key := EntryName("", timestampedKey(epochStart, i))
		w, _ := o.Owner(key)
		counts[w.Name]++
		moved, _ := out.Owner(key)
		assert.Assert(t, moved.InService && (w.Name == "desk-0" || moved.Name == w.Name))
	}
	for _, n := range counts {
		assert.Assert(t, n > 2700 && n < 3300, "%v", counts)
	}
}

// Guards against fields that are lost or changed in encoding.
func TestMessages(t *testing.T) {
	in := Seal{
		Service: "desk", From: "a", Incarnation: uuid.UUID{1}, To: "b", Receiver: uuid.UUID{2}, Epoch: 3,
		Age: time.Hour, SameEpoch: true, After: "x\x00\xff", Last: true,
		Answers: []SealEntry{{Name: "k", Outcome: SealNone{}}, {Name: "l", Outcome: SealRunning{}}},
		Entries: []SealEntry{
			{Name: "m", Fingerprint: Fingerprint{7}, Remaining: time.Second, Outcome: SealDone{Answer{201, "a/b", []byte("ok")}}},
			{Name: "n\xff", Remaining: time.Second, Outcome: SealUnknown{answer.ReasonLinkLost}},
		},
	}
	data, err := EncodeSeal(in)
	assert.NilError(t, err)
	out, err := DecodeSeal(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, out, in)
	_, err = DecodeSeal(bytes.Replace(data, []byte("running"), []byte("runnin?"), 1))
	assert.ErrorContains(t, err, "unknown state")
	r := SealRequest{Service: "desk", From: "a", To: Worker{Name: "b"}, Epoch: 3, After: "x\xff", Keys: []string{"k\x00"}}
	data, err = EncodeSealRequest(r)
	assert.NilError(t, err)
	back, err := DecodeSealRequest(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, back.Keys, r.Keys)
	assert.Equal(t, back.After, r.After)
}
