package suspect

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Summary is one suspect request, as shown to operators.
type Summary struct {
	Fingerprint string `json:"fingerprint"`
	// State is either isolate or quarantined.
	State string `json:"standing"`
	// Remaining is how long the state lasts, as a Go duration.
	Remaining string `json:"remaining"`
}

// String returns the suspect on one line. The first eight digits of the fingerprint are enough to distinguish the few
// suspects of a day.
func (s Summary) String() string {
	return s.Fingerprint[:min(8, len(s.Fingerprint))] + " (" + s.State + " for " + s.Remaining + ")"
}

// List returns the live suspects, sorted by fingerprint. It changes nothing.
func (r *Registry) List(now time.Time) []Summary {
	list := []Summary{}
	for f, marks := range r.marks {
		var remaining time.Duration
		for _, m := range marks {
			remaining = max(remaining, m.expires.Sub(now))
		}
		summary := Summary{Fingerprint: hex.EncodeToString(f[:])}
		switch s := r.Check(now, f).(type) {
		case NotSuspect:
			continue
		case Isolated:
			summary.State = "isolate"
		case Quarantined:
			summary.State, remaining = "quarantined", s.Until.Sub(now)
		}
		summary.Remaining = remaining.Round(time.Second).String()
		list = append(list, summary)
	}
	slices.SortFunc(list, func(a, b Summary) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}
