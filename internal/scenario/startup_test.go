package scenario

import (
	"context"
	"io"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/entry"
	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/internal/standin"
)

// waitReady waits until an entry is ready, and reports whether it became ready before the timeout.
func (h *harness) waitReady(i int, timeout time.Duration) bool {
	for start := time.Now(); time.Since(start) < timeout; time.Sleep(50 * time.Millisecond) {
		if h.Entries[i].Ready() {
			return true
		}
	}
	return false
}

// Guards against a process that starts during a failure of the platform and serves with an old generation, or never
// serves although its peers have the newest one.
func TestStartDuringPlatformFailure(t *testing.T) {
	tests := map[string]struct {
		fault standin.Fault
		// startsEntry says that an entry is restarted, not a sidecar.
		startsEntry bool
	}{
		"entry, platform stale":   {fault: standin.Stale{On: true}, startsEntry: true},
		"sidecar, platform stale": {fault: standin.Stale{On: true}},
		"sidecar, platform down":  {fault: standin.Unreachable{On: true}},
		"sidecar, platform slow":  {fault: standin.Delay{Duration: 20 * time.Second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			withHarness(t, threeZones, func(t *testing.T, h *harness) {
				if _, stale := tt.fault.(standin.Stale); !stale {
					assert.NilError(t, h.Platform.Inject(tt.fault))
				} else {
					// The running processes install generation 2. Then the platform serves generation 1 again, which
					// the process that starts will read.
					previous := h.Declarations()
					h.setZoneOut("banos", true)
					time.Sleep(3 * time.Second)
					z := previous.Zones["banos"]
					z.Out = false
					previous.Zones["banos"] = z
					assert.NilError(t, h.publishAs(previous, 1))
				}
				if tt.startsEntry {
					h.Entries[0].Kill()
					h.restartEntry(0)
					assert.Assert(t, h.waitReady(0, 10*time.Second), h.Entries[0].Status().NotReady)
					assert.Equal(t, h.Entries[0].Status().Generation, h.Entries[1].Status().Generation)
				} else {
					h.killSidecar("totoracocha-engine-1")
					h.restartSidecar("totoracocha-engine-1")
					time.Sleep(10 * time.Second)
					st := h.Sidecars["totoracocha-engine-1"].Status()
					assert.Equal(t, st.Phase, "serving")
					assert.Equal(t, st.Generation, h.Entries[1].Status().Generation)
				}
				requests := promptRequests(6, 50, 30*time.Second)
				for i, res := range h.sendAll(requests, 0, nil) {
					h.checkWholeAnswer(requests[i], res)
				}
			})
		})
	}
}

// Guards against an entry that starts while the platform is down and cannot serve, although its seed peers serve and
// know the declarations.
func TestEntryStartsFromSeeds(t *testing.T) {
	withHarness(t, threeZones, func(t *testing.T, h *harness) {
		var seeds []netip.AddrPort
		for _, i := range h.Instances() {
			if i.Role == platformclient.RoleSidecar {
				seeds = append(seeds, i.Address)
			}
		}
		assert.NilError(t, h.Platform.Inject(standin.Unreachable{On: true}))
		h.Entries[0].Kill()
		h.restartEntry(0, entry.WithSeeds(seeds))
		assert.Assert(t, h.waitReady(0, 10*time.Second), h.Entries[0].Status().NotReady)
		time.Sleep(3 * time.Second)
		requests := promptRequests(6, 50, 30*time.Second)
		for i, res := range h.sendAll(requests, 0, nil) {
			h.checkWholeAnswer(requests[i], res)
		}
		booking := request{booking: `{"room":7}`, key: newKey(), timeout: 30 * time.Second}
		assert.Equal(t, h.send(t.Context(), booking).outcome, "done")
	})
}

// Guards against new work for a leaving instance from an entry whose instance list is out of date. One entry with the
// current list is enough to inform the sidecar, and the sidecar takes work again if the instance does not leave after
// all.
func TestLeavingReportedOverLinks(t *testing.T) {
	withHarness(t, threeZones, func(t *testing.T, h *harness) {
		const name = "totoracocha-engine-1"
		h.net.partition([]string{"entry-2"}, []string{"platform"})
		list := h.Instances()
		for i := range list {
			list[i].Leaving = list[i].Name == name
		}
		h.Platform.PublishInstances(list...)
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, h.Sidecars[name].Status().Causes, []string{"leaving"})
		before := startedCount(name)
		requests := promptRequests(8, 50, 30*time.Second)
		for i, res := range h.sendAll(requests, 0, nil) {
			h.checkWholeAnswer(requests[i], res)
		}
		assert.Equal(t, startedCount(name), before)
		h.Platform.PublishInstances(h.Instances()...)
		time.Sleep(8 * time.Second)
		assert.Equal(t, h.Sidecars[name].Status().Phase, "serving")
	})
}

// Guards against a generation published during a partition that does not reach the other side after the partition
// heals, and against work in a zone that this generation takes out of service.
func TestPartitionWithNewGeneration(t *testing.T) {
	withHarness(t, threeZones, func(t *testing.T, h *harness) {
		left := []string{"entry-1", "banos-engine-1", "booking-desk-banos", "platform"}
		right := []string{"entry-2", "el-centro-engine-1", "totoracocha-engine-1", "booking-desk-el-centro", "booking-desk-totoracocha"}
		h.net.partition(left, right)
		h.setZoneOut("totoracocha", true)
		requests := promptRequests(6, 50, 30*time.Second)
		time.Sleep(10 * time.Second)
		for i, res := range h.sendAll(requests, 0, nil) {
			h.checkWholeAnswer(requests[i], res)
		}
		assert.Equal(t, h.Entries[0].Status().Generation, uint64(2))
		assert.Equal(t, h.Entries[1].Status().Generation, uint64(1))
		h.net.heal()
		time.Sleep(7 * time.Second)
		for _, e := range h.Entries {
			assert.Equal(t, e.Status().Generation, uint64(2))
		}
		for name, s := range h.Sidecars {
			assert.Equal(t, s.Status().Generation, uint64(2), name)
		}
		before := startedCount("totoracocha-engine-1")
		for i, res := range h.sendAll(requests, 0, nil) {
			h.checkWholeAnswer(requests[i], res)
		}
		assert.Equal(t, startedCount("totoracocha-engine-1"), before)
	})
}

// Guards against a caller that stops reading or writing and so holds a request, its memory or a graceful stop for
// ever.
func TestStalledCallers(t *testing.T) {
	const head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
	const authorized = head + "Authorization: Bearer " + officeAPIKey + "\r\nBerylward-Timeout: 2m\r\n"
	body := `{"model":"office-8b","prompt":"A year of ledgers","max_tokens":1500,"stream":true}`
	tests := map[string]string{
		"header never ends": head + "X-A: b\r\n",
		"body never ends":   authorized + "Content-Length: 100000\r\n\r\n{",
		"answer never read": authorized + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
	}
	for name, input := range tests {
		t.Run(name, func(t *testing.T) {
			withHarness(t, threeZones, func(t *testing.T, h *harness) {
				conn, err := h.net.Dialer("caller")(t.Context(), "tcp", h.EntryAddresses[0].String())
				assert.NilError(t, err)
				defer conn.Close()
				_, err = io.WriteString(conn, input)
				assert.NilError(t, err)
				time.Sleep(130 * time.Second)
				for name, e := range h.Engines {
					assert.Equal(t, e.Load().Running, 0, name)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				assert.NilError(t, h.Entries[0].Stop(ctx))
				h.restartEntry(0)
			})
		})
	}
}

// Guards against a slow reader that gets a wrong answer or delays other callers.
func TestSlowCaller(t *testing.T) {
	withHarness(t, threeZones, func(t *testing.T, h *harness) {
		requests := promptRequests(2, 400, 2*time.Minute)
		requests[0].readDelay = 50 * time.Millisecond
		results := h.sendAll(requests, 0, nil)
		for i, res := range results {
			h.checkWholeAnswer(requests[i], res)
		}
		assert.Assert(t, results[1].elapsed < 10*time.Second, "%s", results[1])
	})
}

// Guards against a silent link that is replaced later than 3 s, the silence limit, after it went silent.
func TestSilentLinkReplacedInTime(t *testing.T) {
	withHarness(t, threeZones, func(t *testing.T, h *harness) {
		r := promptRequests(1, 400, time.Minute)[0]
		res := h.sendAll([]request{r}, time.Second, func() { h.net.silence("entry-1", h.busyEngine()) })[0]
		h.checkWholeAnswer(r, res)
		// A dial takes two round trips, and so does the exchange of hello and resume.
		assert.Assert(t, res.maxGap <= 3*time.Second+20*latency, "%s", res.maxGap)
	})
}
