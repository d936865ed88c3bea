package peering_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/peering"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/internal/worker"
)

// Guards against a state that does not fit into the datagram that others read, so that its gateway is not heard while it has
// the most to tell.
func TestLargestDatagram(t *testing.T) {
	const (
		maxDatagram = 5 << 10 // what a gateway reads
		maxPayload  = 1472    // what an Ethernet frame carries
		busyServers = 500
	)
	withPaces := func(s peering.State) peering.State {
		for i := range busyServers {
			s.Paces = append(s.Paces, dispatch.PaceReport{
				Key: dispatch.Key(1<<31 + i), Speed: worker.SpeedEvidence{Weight: 30, LogSum: 50}, HasWindow: true,
				Window: worker.WindowReport{Open: i%2 == 0, Generation: 30, Grown: 60},
			})
		}
		return s
	}
	state := func(count int, d time.Duration) peering.State {
		s := peering.State{Incarnation: 1 << 62, Sequence: 1 << 40, Zone: "a-zone-with-a-long-name", Stamp: 1 << 41}
		for i := range busyServers {
			s.Loads = append(s.Loads, dispatch.Load{
				Key: dispatch.Key(1<<31 + i), Short: count, Long: count, PendingPrefill: d, AvoidFor: d, Memory: 1 << 20,
			})
			s.Held = append(s.Held, dispatch.HeldPrompt{Service: 1 << 31, Waited: d, Prefill: d})
			work := dispatch.LongWork{Service: dispatch.Key(1<<31 + i), Pending: d}
			for c := range work.Admitted {
				work.Admitted[c], work.Sent[c] = time.Duration(count)*time.Second, time.Duration(count)*time.Second
			}
			s.Work = append(s.Work, work)
			s.RetryUsage = append(s.RetryUsage, dispatch.RetryUsage{Service: dispatch.Key(1<<31 + i), Requests: count, Retries: count})
		}
		for i := range 12 {
			s.Members = append(s.Members, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 2, byte(i)}), 7000))
		}
		return s
	}
	cases := map[string]struct {
		state    peering.State
		requests []byte
		parts    []byte
		limit    int
		loads    int
	}{
		"most of everything":         {state(1<<20, time.Hour), largestRequestReport(t), largestPartReport(t), maxDatagram, 48},
		"busy":                       {state(20, 200*time.Millisecond), nil, nil, maxPayload, 48},
		"busy, ranked requests":      {ranked(state(20, 200*time.Millisecond)), nil, nil, maxPayload, 35},
		"most of everything, ranked": {ranked(state(1<<20, time.Hour)), largestRequestReport(t), largestPartReport(t), maxDatagram, 35},
		"busy, with paces":           {withPaces(state(20, 200*time.Millisecond)), nil, nil, maxPayload, 36},
		"busy, ranked, with paces":   {withPaces(ranked(state(20, 200*time.Millisecond))), nil, nil, maxPayload, 23},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tc.state.Requests, tc.state.Parts = tc.requests, tc.parts
			data, err := peering.Encode(tc.state)
			assert.NilError(t, err)
			proof, err := peering.EncodeProof(peering.Proof{Version: 1 << 62, Incarnation: 1 << 62, Stamp: 1 << 62, Delay: time.Hour, Revision: 1 << 62})
			assert.NilError(t, err)
			t.Logf("%d bytes", len(data)+len(proof))
			assert.Assert(t, len(data)+len(proof) <= tc.limit, "%d bytes", len(data)+len(proof))
			decoded, _, err := peering.Decode(append(data, proof...))
			assert.NilError(t, err)
			assert.Equal(t, len(decoded.Loads), tc.loads)
			assert.Equal(t, len(decoded.Workspaces), min(len(tc.state.Workspaces), 8))
			assert.Equal(t, len(decoded.Paces), min(len(tc.state.Paces), 12))
		})
	}
}

// ranked adds what gateways tell for a service whose requests have different priorities.
func ranked(s peering.State) peering.State {
	const rank = 1<<15 | 1
	for i := range s.Held {
		s.Held[i].Rank, s.Held[i].Workspace = rank, dispatch.Key(1<<31+i)
	}
	for i := range s.Work {
		s.Work[i].Rank = rank
		s.Running = append(s.Running, dispatch.RunningShort{Service: s.Work[i].Service, Rank: rank, Requests: s.Loads[i].Short})
		s.Workspaces = append(s.Workspaces, dispatch.WorkspaceTime{
			Service: s.Work[0].Service, Rank: rank, Workspace: dispatch.Key(1<<31 + i), Sent: s.Work[i].Sent[0], Forfeited: s.Work[i].Sent[0],
		})
	}
	return s
}

// largestRequestReport returns the longest report about whole requests.
func largestRequestReport(t *testing.T) []byte {
	r, now := suspect.NewRequestRegistry(uuid.UUID{1}), time.Unix(5000, 0)
	for i := range 100 {
		f := suspect.Fingerprint{byte(i), 1}
		lost := suspect.LostRequest{Fingerprint: f, Probe: true}
		for crash := range 3 {
			r.RecordEnd(now, suspect.ServerKey(1<<31+3*i+crash), lost)
			r.RecordBreak(now, lost)
		}
		if i >= 50 {
			r.RecordAnswer(now.Add(time.Second), f)
		}
		r.Check(now.Add(2*time.Second), 0, f)
	}
	data, err := suspect.EncodeRequestReport(r.Report(now.Add(2 * time.Second)))
	assert.NilError(t, err)
	t.Logf("report about requests: %d bytes", len(data))
	return data
}

// largestPartReport returns the longest report about parts of prompts.
func largestPartReport(t *testing.T) []byte {
	r, now := suspect.NewPartRegistry(), time.Unix(5000, 0)
	for crash := range 30 {
		var implications []suspect.Implication
		for i := range 30 {
			implications = append(implications, suspect.Implication{Part: suspect.Part(1<<62 + crash*100 + i), Request: suspect.RequestTag(1<<15 + i)})
		}
		r.RecordCrash(now, suspect.ServerKey(1<<31+crash), implications)
		for _, i := range implications[15:] {
			r.RecordAnswer(now.Add(time.Second), []suspect.Part{i.Part})
		}
	}
	for part := range 10 {
		for crash := range 5 {
			at := now.Add(time.Duration(crash) * time.Second)
			r.RecordCrash(at, suspect.ServerKey(1<<30+10*part+crash), []suspect.Implication{{Part: suspect.Part(1<<61 + part), Request: suspect.RequestTag(crash)}})
		}
	}
	report := r.Report(now.Add(4 * time.Second))
	assert.Assert(t, len(report.Crashes) > 3 && len(report.Clearances) > 3 && len(report.Quarantines) > 3)
	data, err := suspect.EncodePartReport(report)
	assert.NilError(t, err)
	t.Logf("report about parts: %d bytes", len(data))
	return data
}
