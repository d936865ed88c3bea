package suspect

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// maxTurnLead is how many reports an entry that is new gets ahead of those that were reported more often. A gateway in another zone
// gets about every fifth report, so it has the entry after a few of its own. With no limit, new quarantines would hold up older
// ones, which have been reported thousands of times, for minutes.
const maxTurnLead = 16

// chooseInTurn returns at most limit entries for a report, those first that were reported least often, and counts them as reported.
// reports returns the count of an entry; that of one which must be in the next report is 0.
//
// The order among entries with the same count is drawn anew for each report: a process that gets only every second one would
// otherwise always miss the same entries.
func chooseInTurn[E any](entries []E, limit int, reports func(E) *int) []E {
	if limit <= 0 {
		return nil
	}
	most := 0
	for _, e := range entries {
		most = max(most, *reports(e))
	}
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	slices.SortStableFunc(entries, func(a, b E) int { return cmp.Compare(*reports(a), *reports(b)) })
	chosen := entries[:min(len(entries), limit)]
	for _, e := range chosen {
		n := reports(e)
		*n = max(*n, most-maxTurnLead) + 1
	}
	return chosen
}
