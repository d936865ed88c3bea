package sidecar

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/link"
)

// Guards against accepting an offer whose values overflow sums or use up memory, and against refusing a valid one.
func TestValidOffer(t *testing.T) {
	tests := map[string]struct {
		change func(*link.Offer)
		ok     bool
	}{
		"valid":                           {func(*link.Offer) {}, true},
		"longest deadline":                {func(m *link.Offer) { m.Remaining = 24 * time.Hour }, true},
		"no time left":                    {func(m *link.Offer) { m.Remaining = 0 }, false},
		"negative remaining time":         {func(m *link.Offer) { m.Remaining = -1 << 63 }, false},
		"far beyond the longest deadline": {func(m *link.Offer) { m.Remaining = 1<<63 - 1 }, false},
		"negative tokens":                 {func(m *link.Offer) { m.Prompt.Tokens = -1 }, false},
		"too many prompt tokens":          {func(m *link.Offer) { m.Prompt.Tokens = 1<<63 - 1 }, false},
		"no tokens to generate":           {func(m *link.Offer) { m.Prompt.MaxTokens = 0 }, false},
		"too many tokens to generate":     {func(m *link.Offer) { m.Prompt.MaxTokens = 1 << 62 }, false},
		"priority too high":               {func(m *link.Offer) { m.Priority = 1 << 40 }, false},
		"negative weight":                 {func(m *link.Offer) { m.Weight = -1 }, false},
		"short fingerprint":               {func(m *link.Offer) { m.Fingerprint = nil }, false},
		"many prefixes":                   {func(m *link.Offer) { m.Prompt.Prefixes = make([]uint64, 1<<16) }, false},
		"long parameters":                 {func(m *link.Offer) { m.Prompt.Parameters = make([]byte, 1<<20) }, false},
		"long workspace":                  {func(m *link.Offer) { m.Workspace = strings.Repeat("w", 1<<10) }, false},
		"long trace":                      {func(m *link.Offer) { m.Trace = map[string]string{"a": strings.Repeat("w", 1<<20)} }, false},
		"path without a slash":            {func(m *link.Offer) { m.Prompt, m.Call = nil, &link.CallBody{Path: "x"} }, false},
		"call":                            {func(m *link.Offer) { m.Prompt, m.Call = nil, &link.CallBody{Path: "/x"} }, true},
		"long header": {func(m *link.Offer) {
			m.Prompt, m.Call = nil, &link.CallBody{Path: "/x", Header: map[string][]string{"A": {strings.Repeat("w", 1<<20)}}}
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := &link.Offer{Remaining: time.Minute, Fingerprint: make([]byte, 16), Prompt: &link.PromptBody{Tokens: 1, MaxTokens: 1}}
			tt.change(m)
			assert.Equal(t, validOffer(m), tt.ok)
		})
	}
}

// Guards against a reservation that has waited for memory and then holds it longer than its request lasts, because its time
// was counted from the grant.
func TestMemberDeadline(t *testing.T) {
	arrived := time.Unix(1000, 0)
	tests := map[string]struct {
		remaining, waited, deadline, lease time.Duration // deadline and lease are counted from the arrival
	}{
		"granted at once":        {time.Minute, 0, time.Minute, memberLease},
		"waited for memory":      {time.Minute, 2 * time.Second, time.Minute, 2*time.Second + memberLease},
		"waited, little is left": {3 * time.Second, 2 * time.Second, 3 * time.Second, min(3*time.Second, 2*time.Second+memberLease)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			message := &link.Reserve{Remaining: tt.remaining}
			m := pendingReserve{message: message, deadline: arrived.Add(tt.remaining)}.newMember(arrived.Add(tt.waited))
			assert.Equal(t, m.deadline.Sub(arrived), tt.deadline)
			assert.Equal(t, m.leaseEnd.Sub(arrived), tt.lease)
		})
	}
}
