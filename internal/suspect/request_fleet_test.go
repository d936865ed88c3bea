package suspect_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/suspect"
)

// Guards against a request that is asked for at all gateways of a group at the same time and ends one server after the other,
// because the gateways probe it before they have heard of each other's probes.
func TestRequestInFleet(t *testing.T) {
	const (
		tick      = 10 * time.Millisecond
		runs      = 90 * time.Millisecond // from the sending to the end of the server
		length    = 100 * time.Second
		lateAfter = 3 * time.Second
		maxLate   = 3
	)
	cases := map[string]struct {
		gateways int
		interval time.Duration // between two reports of a gateway
	}{
		"3 gateways":                {3, 60 * time.Millisecond},
		"3 gateways, slow reports":  {3, 275 * time.Millisecond},
		"30 gateways":               {30, 250 * time.Millisecond},
		"103 gateways":              {103, 500 * time.Millisecond},
		"103 gateways in two zones": {103, 220 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			var registries []*suspect.RequestRegistry
			for i := range tc.gateways {
				registries = append(registries, suspect.NewRequestRegistry(uuid.UUID{byte(i + 1)}))
			}
			request := suspect.Fingerprint{1}
			sentAt := make([]time.Time, tc.gateways) // zero while the gateway has none under way
			onProbe := make([]bool, tc.gateways)
			servers, late := 0, 0
			var third time.Time
			for elapsed := time.Duration(0); elapsed < length; elapsed += tick {
				now := time.Unix(5000, 0).Add(elapsed)
				for i, r := range registries {
					if !sentAt[i].IsZero() && now.Sub(sentAt[i]) >= runs {
						servers++
						r.RecordEnd(now, suspect.ServerKey(servers), suspect.LostRequest{Fingerprint: request, Probe: onProbe[i]})
						sentAt[i] = time.Time{}
						if servers == 3 {
							third = now
						}
					}
					if sentAt[i].IsZero() && random.IntN(50) == 0 {
						switch r.Check(now, i, request).(type) {
						case suspect.RequestQuarantined:
							continue
						case suspect.RequestProbe:
							onProbe[i] = true
						case suspect.RequestUsable:
							onProbe[i] = false
						}
						sentAt[i] = now
						if !third.IsZero() && now.Sub(third) > lateAfter {
							late++
						}
					}
				}
				for i, r := range registries {
					offset := time.Duration(i) * tc.interval / time.Duration(tc.gateways) / tick * tick
					if (elapsed+offset)%tc.interval/tick != 0 {
						continue
					}
					report := r.Report(now)
					for j, other := range registries {
						if i != j {
							other.Merge(now, report)
						}
					}
				}
			}
			t.Logf("%d servers ended, %d late sends", servers, late)
			assert.Check(t, late <= maxLate, "%d late sends", late)
		})
	}
}
