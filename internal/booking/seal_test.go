package booking

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"berylward.example/berylward/pkg/answer"
)

// setUpMove returns a former owner that holds three ended keys and a running one, and the new owner of the keys.
func setUpMove(t *testing.T, opts ...Option) (a, b *Table, now time.Time, keys []string) {
	now = epochStart.Add(time.Minute)
	a = singleWorkerTable(t, opts...)
	for i := range 4 {
		keys = append(keys, timestampedKey(now, i))
		a.Offer(now, Call{Key: keys[i]})
		if i < 3 {
			a.Complete(now, EntryName("", keys[i]), Answer{Status: 200 + i})
		}
	}
	var err error
	b, err = New(Config{Service: "desk", Worker: "b", Incarnation: uuid.UUID{2}, Start: epochStart}, opts...)
	assert.NilError(t, err)
	for _, table := range []*Table{a, b} {
		table.Adopt(now, Ownership{Epoch: 2, Previous: 1, Workers: []Worker{{Name: "a"}, {Name: "b", InService: true}}})
	}
	return a, b, now, keys
}

// requestSeal takes b's due request and returns a's seal for it.
func requestSeal(t *testing.T, now time.Time, a, b *Table) Seal {
	due := b.DueSealRequests(now)
	assert.Equal(t, len(due), 1)
	s, ok := a.Seal(now, due[0])
	assert.Assert(t, ok)
	return s
}

// Guards against a transfer that counts as complete while entries are missing, or that loses an outcome.
func TestEntryTransfer(t *testing.T) {
	tests := map[string]func(t *testing.T, a, b *Table, now time.Time, keys []string){
		"in order": func(t *testing.T, a, b *Table, now time.Time, keys []string) {
			for range 3 {
				assert.Assert(t, !b.Receive(now, requestSeal(t, now, a, b)).Sealed)
			}
			assert.Assert(t, b.Receive(now, requestSeal(t, now, a, b)).Sealed)
			assert.DeepEqual(t, b.Offer(now, Call{Key: keys[2]}), Decision(Replay{Answer{Status: 202}}))
			_, rejected := b.Offer(now, Call{Key: keys[3]}).(Reject)
			assert.Assert(t, rejected)
		},
		"last chunk before the first": func(t *testing.T, a, b *Table, now time.Time, keys []string) {
			r := b.DueSealRequests(now)[0]
			r.After, r.Sender = EntryName("", keys[2]), a.cfg.Incarnation
			s, _ := a.Seal(now, r)
			assert.Assert(t, s.Last)
			assert.Assert(t, !b.Receive(now, s).Sealed)
			assert.DeepEqual(t, b.UnsealedEpochs(), []uint64{0})
		},
		"for a former incarnation": func(t *testing.T, a, b *Table, now time.Time, _ []string) {
			s := requestSeal(t, now, a, b)
			s.Receiver = uuid.UUID{9}
			b.Receive(now, s)
			assert.Equal(t, b.Len(), 0)
		},
		"outcome requested twice from a full table": func(t *testing.T, a, b *Table, now time.Time, keys []string) {
			for range 4 {
				b.Receive(now, requestSeal(t, now, a, b))
			}
			a.Complete(now, EntryName("", keys[3]), Answer{Status: 299})
			now = now.Add(minCopyRetention)
			requestSeal(t, now, a, b) // this seal is lost
			a.makeRoom(now, "", a.opt.memoryLimit, a.opt.memoryLimit, a.opt.maxEntries)
			assert.Equal(t, a.Len(), 1)
			now = now.Add(time.Second)
			b.Receive(now, requestSeal(t, now, a, b))
			assert.DeepEqual(t, b.Offer(now, Call{Key: keys[3]}), Decision(Replay{Answer{Status: 299}}))
		},
		"former owner restarts with a run": func(t *testing.T, a, b *Table, now time.Time, keys []string) {
			for range 4 {
				b.Receive(now, requestSeal(t, now, a, b))
			}
			now = now.Add(time.Second)
			s := requestSeal(t, now, a, b)
			s.Incarnation, s.Answers = uuid.UUID{7}, nil
			b.Receive(now, s)
			assert.DeepEqual(t, b.Offer(now, Call{Key: keys[3]}), Decision(Unknown{answer.ReasonBackendFailed}))
		},
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) {
			a, b, now, keys := setUpMove(t, WithChunkSize(400))
			check(t, a, b, now, keys)
		})
	}
}

// Guards against a stopping worker that starts a new run or no longer answers repeats.
func TestStop(t *testing.T) {
	now := epochStart.Add(time.Minute)
	table := singleWorkerTable(t)
	table.Offer(now, Call{Key: timestampedKey(now, 1)})
	table.Stop()
	tests := map[string]Decision{
		timestampedKey(now, 1): Wait{EntryName("", timestampedKey(now, 1))},
		timestampedKey(now, 2): Reject{Reason: answer.ReasonDraining, Epoch: 1},
	}
	for key, want := range tests {
		assert.DeepEqual(t, table.Offer(now, Call{Key: key}), want)
	}
}
