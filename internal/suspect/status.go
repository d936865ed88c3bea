package suspect

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Listed is one suspect request, as shown to operators.
type Listed struct {
	Fingerprint string `json:"fingerprint"`
	// Standing is either isolate or quarantined.
	Standing string `json:"standing"`
	// Remaining is how long the standing lasts, as a Go duration.
	Remaining string `json:"remaining"`
}

// String returns the suspect on one line. The first eight digits of the fingerprint are enough to distinguish the few
// suspects of a day.
func (l Listed) String() string {
	return l.Fingerprint[:min(8, len(l.Fingerprint))] + " (" + l.Standing + " for " + l.Remaining + ")"
}

// List returns the live suspects, sorted by fingerprint. It changes nothing.
func (r *Register) List(now time.Time) []Listed {
	list := []Listed{}
	for f, marks := range r.marks {
		var remaining time.Duration
		for _, m := range marks {
			remaining = max(remaining, m.expires.Sub(now))
		}
		l := Listed{Fingerprint: hex.EncodeToString(f[:])}
		switch s := r.Check(now, f).(type) {
		case Clear:
			continue
		case Isolate:
			l.Standing = "isolate"
		case Quarantined:
			l.Standing, remaining = "quarantined", s.Until.Sub(now)
		}
		l.Remaining = remaining.Round(time.Second).String()
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b Listed) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}
