package sidecar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/sidecar"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/pkg/answer"
	"berylward.example/berylward/pkg/site"
)

const bookingService = "booking-desk"

func setModel(change func(*site.Model)) func(*site.Declarations) {
	return func(d *site.Declarations) {
		m := d.Models[officeModel]
		change(&m)
		d.Models[officeModel] = m
	}
}

func setBookingService(change func(*site.Service)) func(*site.Declarations) {
	return func(d *site.Declarations) {
		s := d.Services[bookingService]
		change(&s)
		d.Services[bookingService] = s
	}
}

func (b *testBench) sendKeyedCall(key string) chan link.Message {
	return b.send(&link.Offer{Workspace: "schedules", Fingerprint: []byte("0123456789abcdef"), Call: &link.CallBody{
		Service: bookingService, Method: "POST", Path: "/bookings", Body: []byte(`{}`), Key: key, Header: map[string][]string{"Content-Type": {"application/json"}},
	}})
}

// Guards against a changed declaration that has no effect until the sidecar restarts, and against a change that
// interrupts a running request. A long stream runs during each change.
func TestReconfigureModelWorker(t *testing.T) {
	status := func(check func(sidecar.Status) bool) func(*testBench) bool {
		return func(b *testBench) bool { return check(b.sidecar.Status()) }
	}
	tests := map[string]struct {
		change func(*site.Declarations)
		effect func(*testBench) bool
	}{
		"warm-up.initial-requests": {
			func(d *site.Declarations) { d.WarmUp.InitialRequests = 9 },
			status(func(s sidecar.Status) bool { return s.Window.Requests >= 9 })},
		"warm-up.initial-tokens": {
			func(d *site.Declarations) { d.WarmUp.InitialTokens = 123_456 },
			status(func(s sidecar.Status) bool { return s.Window.Tokens >= 123_456 })},
		"warm-up.max-requests": {
			func(d *site.Declarations) { d.WarmUp.InitialRequests, d.WarmUp.MaxRequests = 1, 1 },
			status(func(s sidecar.Status) bool { return s.Window.Requests == 1 })},
		"models.memory-tokens": {
			setModel(func(m *site.Model) { m.MemoryTokens = 100_000 }),
			status(func(s sidecar.Status) bool { return s.MemoryLimit == 95_000 })},
		"models.memory-tokens below what is in use": {
			setModel(func(m *site.Model) { m.MemoryTokens = 100 }),
			func(b *testBench) bool {
				return b.sidecar.Status().MemoryLimit == 95 && refusalReason(b.sendPrompt(officeModel, 200)) == answer.ReasonTooLarge
			}},
		"models.headroom-percent": {
			setModel(func(m *site.Model) { m.HeadroomPercent = 50 }),
			status(func(s sidecar.Status) bool { return s.MemoryLimit == 200_000 })},
		"models.decode-tokens-per-second": {
			// At the declared 2,000/64 a second, 1,000 tokens take longer than 5 s.
			setModel(func(m *site.Model) { m.DecodeTokensPerSecond = 640_000 }),
			func(b *testBench) bool {
				return refusalReason(b.send(&link.Offer{Remaining: 5 * time.Second, Prompt: &link.PromptBody{Model: officeModel, Text: "a", Tokens: 1, MaxTokens: 1000}})) == ""
			}},
		"models.prefill-tokens-per-second": {
			// At the declared 20,000 a second, 7,000 tokens take longer than 300 ms.
			setModel(func(m *site.Model) { m.PrefillTokensPerSecond = 20_000_000 }),
			func(b *testBench) bool {
				return refusalReason(b.send(&link.Offer{Remaining: 300 * time.Millisecond, Prompt: &link.PromptBody{Model: officeModel, Text: "a", Tokens: 7000, MaxTokens: 1}})) == ""
			}},
		"classes.short-reserve-percent": {
			// 300,000 tokens are more than a tenth of the memory.
			func(d *site.Declarations) { d.Classes.ShortReservePercent = 90 },
			func(b *testBench) bool {
				return refusalReason(b.send(&link.Offer{Prompt: &link.PromptBody{Model: officeModel, Text: "a", Tokens: 290_000, MaxTokens: 1}})) == answer.ReasonTooLarge
			}},
		"classes.short-tokens": {
			// A prompt beyond the short class may not use the share of short requests.
			func(d *site.Declarations) {
				d.Classes.ShortReservePercent, d.Classes.ShortTokens = 90, 1_000
			},
			func(b *testBench) bool {
				return refusalReason(b.send(&link.Offer{Prompt: &link.PromptBody{Model: officeModel, Text: "a", Tokens: 50_000, MaxTokens: 1}})) == answer.ReasonTooLarge
			}},
		"zones.out": {
			func(d *site.Declarations) { d.Zones["el-centro"] = site.Zone{Name: "el-centro", Out: true} },
			func(b *testBench) bool { return refusalReason(b.sendPrompt(officeModel, 1)) == answer.ReasonDraining }},
		"models.adapters": {
			setModel(func(m *site.Model) { m.Adapters = append(m.Adapters, "new-drafts") }),
			func(b *testBench) bool {
				return refusalReason(b.send(&link.Offer{Prompt: &link.PromptBody{Model: officeModel, Adapter: "new-drafts", Text: "a", Tokens: 1, MaxTokens: 1}})) == ""
			}},
		"suspects.quarantine": {
			func(d *site.Declarations) { d.Suspects.Quarantine = 30 * time.Minute },
			func(b *testBench) bool { return b.sidecar.Status().Quarantine == "30m0s" }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withTestBench(t, "", []string{officeModel}, func(b *testBench) {
				b.test = t
				running := b.waitGranted(b.sendPrompt(officeModel, 300))
				b.publish(tt.change)
				b.waitUntil("effect", func() bool { return tt.effect(b) })
				last, text := readToEnd(running)
				_, complete := last.(*link.End)
				assert.Assert(t, complete, "%#v", last)
				assert.Equal(t, text, standin.ExpectedAnswer("a question", 300))
			})
		})
	}
}

// keyWithAge returns a time-stamped key of the given age.
func keyWithAge(age time.Duration) string {
	id := uuid.Must(uuid.NewV7())
	ms := time.Now().Add(-age).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// failureReason returns why a call was refused or failed, or an empty reason when it ran.
func failureReason(c chan link.Message) answer.Reason {
	switch m, _ := readToEnd(c); m := m.(type) {
	case *link.Refused:
		return m.Reason
	case *link.Failed:
		return m.Reason
	}
	return ""
}

// Guards against a changed declaration of a plain service that has no effect until the sidecar restarts, and against
// a change that interrupts a call or loses a key. A call runs during each change, and its key is sent again
// afterwards.
func TestReconfigureServiceWorker(t *testing.T) {
	callWithNewKey := func(b *testBench) answer.Reason { return failureReason(b.sendKeyedCall(keyWithAge(0))) }
	tests := map[string]struct {
		change func(*site.Declarations)
		effect func(*testBench) answer.Reason
		want   answer.Reason
	}{
		"table-size smaller": {setBookingService(func(s *site.Service) { s.TableSize = 1 }), callWithNewKey, answer.ReasonTableFull},
		"table-size larger":  {setBookingService(func(s *site.Service) { s.TableSize = 100_000 }), callWithNewKey, ""},
		"key-life shorter": {setBookingService(func(s *site.Service) { s.KeyLifetime = time.Minute }),
			func(b *testBench) answer.Reason { return failureReason(b.sendKeyedCall(keyWithAge(90 * time.Second))) }, answer.ReasonKeyTooOld},
		"key-life longer": {setBookingService(func(s *site.Service) { s.KeyLifetime = 48 * time.Hour }),
			func(b *testBench) answer.Reason { return answer.Reason(b.sidecar.Status().KeyLifetime) }, "48h0m0s"},
		"clock-skew": {setBookingService(func(s *site.Service) { s.ClockSkew = time.Minute }), callWithNewKey, answer.ReasonOwnerUnsure},
		"warm-up.max-requests": {func(d *site.Declarations) { d.WarmUp.InitialRequests, d.WarmUp.MaxRequests = 3, 3 },
			func(b *testBench) answer.Reason { return answer.Reason(fmt.Sprint(b.sidecar.Status().Window.Requests)) }, "3"},
		"zones.out": {func(d *site.Declarations) { d.Zones["el-centro"] = site.Zone{Name: "el-centro", Out: true} }, callWithNewKey, answer.ReasonDraining},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withTestBench(t, bookingService, nil, func(b *testBench) {
				b.test = t
				assert.NilError(t, b.service.Inject(standin.Delay{Duration: 200 * time.Millisecond}))
				first := keyWithAge(0)
				running := b.waitGranted(b.sendKeyedCall(first))
				b.publish(tt.change)
				b.waitForGeneration()
				assert.NilError(t, b.service.Inject(standin.ClearFaults{}))
				b.waitUntil("effect", func() bool { return tt.effect(b) == tt.want })
				last, text := readToEnd(running)
				_, complete := last.(*link.End)
				assert.Assert(t, complete, "%#v", last)
				if tt.want != answer.ReasonDraining {
					_, again := readToEnd(b.sendKeyedCall(first))
					assert.Equal(t, again, text)
				}
				assert.Equal(t, b.service.Runs()[first], 1)
			})
		})
	}
}
