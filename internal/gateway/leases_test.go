package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
)

// freeTime is the platform's bound for the time that reserved memory outlives the request that used it.
const freeTime = 4 * time.Second

// Guards against memory that stays reserved for a request whose server has gone, whenever its gateway ends after that, and against
// memory that is not renewed for a request that goes on.
func TestReservationsOfServersThatVanish(t *testing.T) {
	cases := map[string]struct {
		fault direct.ServerFault // of the server that runs the request
		ends  bool
	}{
		"vanishes": {direct.Vanished{}, true},
		"goes on":  {direct.NoFault{}, false},
	}
	for name, tc := range cases {
		// The pause moves the end of the server against the renewals.
		for pause := time.Duration(0); pause < 1500*time.Millisecond; pause += 300 * time.Millisecond {
			t.Run(name+" after "+pause.String(), func(t *testing.T) {
				withHarness(t, func(h *harness) {
					for _, b := range h.backends[2:] {
						b.StepTime = 10 * time.Second
					}
					go h.call(http.MethodPost, "/review/a", func(c *gateway.CallerRequest) {
						c.Timeout, c.Prompt = 15*time.Second, &gateway.Prompt{Tokens: 400000, MaxOutputTokens: 500}
					})
					time.Sleep(time.Second + pause)
					first, helper := h.backends[2], h.backends[3]
					if len(first.Runs()) == 0 {
						first, helper = helper, first
					}
					assert.Check(t, len(first.Runs()) == 1 && helper.Reserved() > 0 && h.gateway.Status().Reserving == 1)
					first.SetFault(tc.fault)
					went, latest := time.Now(), time.Time{}
					for time.Since(went) < 8*time.Second {
						if until := helper.ReservedUntil(); until.After(latest) {
							latest = until
						}
						assert.Check(t, tc.ends || helper.Reserved() > 0, "not reserved after %v", time.Since(went))
						time.Sleep(50 * time.Millisecond)
					}
					assert.Check(t, !tc.ends || latest.Sub(went) <= freeTime, "reserved for %v", latest.Sub(went))
					time.Sleep(10 * time.Second)
				})
			})
		}
	}
}
