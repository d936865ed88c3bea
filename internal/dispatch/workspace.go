package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylward.example/berylward/internal/route"
)

const (
	// workspaceCredit bounds how far a workspace that returns after it had nothing to send goes before the others: by what the engines
	// do in this time. It is below deadlineMargin, so that prompts which were held because they could be done in time still are.
	workspaceCredit = 500 * time.Millisecond
	// workspaceStep is the time of all engines by which workspaces must differ for the order.
	workspaceStep = 3 * time.Second
	// maxReportedWorkspaces is the largest number of workspaces in a report. Those that are left out have got the least.
	maxReportedWorkspaces = 8
)

// WorkspaceKey returns the key that identifies a workspace in reports between gateways. The requests of public routes, which have
// no workspace, have the key of the empty name. Workspaces that share a key share one part of the engines' time.
func WorkspaceKey(name string) Key { return Key(xxhash.Sum64String(name) >> 32) }

// WorkspaceTime is the engine time that the long prompts of a workspace have got from one gateway. It is reported for services
// whose requests are ranked; the older, the less it counts.
type WorkspaceTime struct {
	Service   Key
	Rank      route.Rank
	Workspace Key
	// Sent is the prefill of the prompts that were sent, done or not.
	Sent time.Duration
	// Forfeited is the time that the workspace left unused while it had nothing to send and cannot claim later. Gateways find the same
	// amount, so the largest report counts, and not the sum.
	Forfeited time.Duration
}

// workspaceKey identifies the long prompts of one workspace and rank for a service.
type workspaceKey struct {
	workKey
	workspace Key
}

// ownWorkspace is the time that a workspace has got from this gateway, as of countedAt.
type ownWorkspace struct {
	sent, forfeited time.Duration
	countedAt       time.Time
}

// workspace returns the key of the workspace, or 0 if the requests for the service are not ranked.
func (p RequestProfile) workspace() Key {
	if !p.Ranks.Ranked() {
		return 0
	}
	return p.Workspace
}

// forget reduces the times by the time that has passed.
func (w *ownWorkspace) forget(now time.Time) {
	if elapsed := now.Sub(w.countedAt); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / workMemory.Seconds())
		w.sent, w.forfeited = scale(w.sent, keep), scale(w.forfeited, keep)
		w.countedAt = now
	}
}

// ownWorkspaceOf returns the time that the workspace of a request has got from this gateway.
func (q *longQueue) ownWorkspaceOf(now time.Time, profile RequestProfile) *ownWorkspace {
	key := workspaceKey{profile.workKey(), profile.workspace()}
	w := q.workspaces[key]
	if w == nil {
		w = &ownWorkspace{countedAt: now}
		q.workspaces[key] = w
	}
	w.forget(now)
	return w
}

// recordWorkspaceSend counts a prompt that is sent for its workspace.
func (q *longQueue) recordWorkspaceSend(now time.Time, profile RequestProfile) {
	if profile.Ranks.Ranked() {
		q.ownWorkspaceOf(now, profile).sent += profile.PrefillTime()
	}
}

// workspaceReport returns the times that workspaces have got from this gateway, the longest first.
func (q *longQueue) workspaceReport(now time.Time) []WorkspaceTime {
	var report []WorkspaceTime
	for key, w := range q.workspaces {
		w.forget(now)
		if w.sent+w.forfeited < minReportedWork {
			delete(q.workspaces, key)
			continue
		}
		report = append(report, WorkspaceTime{Service: key.service, Rank: key.rank, Workspace: key.workspace, Sent: w.sent, Forfeited: w.forfeited})
	}
	slices.SortFunc(report, func(a, b WorkspaceTime) int {
		return cmp.Or(cmp.Compare(b.Sent+b.Forfeited, a.Sent+a.Forfeited), cmp.Compare(a.Workspace, b.Workspace))
	})
	return report[:min(len(report), maxReportedWorkspaces)]
}

// workspaceUse is what a workspace has got of the engines from all gateways, and what they hold for it.
type workspaceUse struct{ sent, forfeited, held time.Duration }

// used returns the time that orders the workspaces.
func (u workspaceUse) used() time.Duration { return u.sent + u.forfeited }

// demand returns what the workspace has got and waits for.
func (u workspaceUse) demand() time.Duration { return u.sent + u.held }

// workspaceUses returns what the workspaces of one rank for a service have got, without what is held.
func (q *longQueue) workspaceUses(now time.Time, key workKey) map[Key]workspaceUse {
	uses := map[Key]workspaceUse{}
	add := func(workspace Key, sent, forfeited time.Duration) {
		u := uses[workspace]
		uses[workspace] = workspaceUse{sent: u.sent + sent, forfeited: max(u.forfeited, forfeited)}
	}
	for k, w := range q.workspaces {
		if k.workKey == key {
			w.forget(now)
			add(k.workspace, w.sent, w.forfeited)
		}
	}
	for _, peer := range q.peers {
		for _, w := range peer.workspaces {
			if w.Service == key.service && w.Rank == key.rank {
				add(w.Workspace, w.Sent, w.Forfeited)
			}
		}
	}
	return uses
}

// addHeld adds the prefill of held prompts to the uses of their workspaces.
func addHeld(uses map[Key]workspaceUse, queued []queuedPrompt, rank route.Rank) {
	for _, h := range queued {
		if h.rank == rank && !h.own {
			u := uses[h.workspace]
			u.held += h.prefill
			uses[h.workspace] = u
		}
	}
}

// recordReturn bounds the time that a workspace which had no held prompts may claim from the others. Its time is raised to
// that of the first of those that wait, or of the one that has got the most if none waits, less its credit: otherwise a workspace
// would get all engines after a pause until it has caught up.
func (q *longQueue) recordReturn(now time.Time, profile RequestProfile) {
	if !profile.Ranks.Ranked() {
		return
	}
	uses := q.workspaceUses(now, profile.workKey())
	addHeld(uses, q.heldFor(profile), profile.Rank)
	own := uses[profile.workspace()]
	if own.held > 0 {
		return
	}
	var total, most, first time.Duration
	waits := false
	for workspace, u := range uses {
		total += u.sent
		if workspace == profile.workspace() {
			continue
		}
		most = max(most, u.used())
		if u.held > 0 && (!waits || u.used() < first) {
			waits, first = true, u.used()
		}
	}
	if !waits {
		first = most
	}
	credit := scale(total, workspaceCredit.Seconds()/workMemory.Seconds())
	if missing := first - credit - own.used(); missing > 0 {
		q.ownWorkspaceOf(now, profile).forfeited = own.forfeited + missing
	}
}

// sortByWorkspace sets for each queued prompt of a rank the time that its workspace will have got when its turn comes, and returns
// that of the prompt whose turn is looked for. The prompts of one workspace keep the order of goesFirst.
//
// The times are in steps of what a number of engines do in workspaceStep, so that small differences between workspaces that send alike
// do not change the order again and again: prompts that are overtaken often are held until it is too late for them.
func sortByWorkspace(queued []queuedPrompt, uses map[Key]workspaceUse, rank route.Rank, engines int) time.Duration {
	step := time.Duration(max(engines, 1)) * workspaceStep
	slices.SortStableFunc(queued, func(a, b queuedPrompt) int { return cmp.Compare(a.service, b.service) })
	got := map[Key]time.Duration{}
	var own time.Duration
	for i := range queued {
		h := &queued[i]
		if h.rank != rank {
			continue
		}
		h.got = (uses[h.workspace].used() + got[h.workspace]).Truncate(step)
		got[h.workspace] += h.prefill
		if h.own {
			own = h.got
		}
	}
	return own
}

// workspacePart returns the part of the engines that a workspace gets as long as it has prompts to send: an equal part, and what the
// others leave of theirs.
func workspacePart(uses map[Key]workspaceUse, workspace Key, engines float64) float64 {
	others := make([]float64, 0, len(uses))
	for key, u := range uses {
		if key != workspace {
			others = append(others, u.demand().Seconds()/workMemory.Seconds())
		}
	}
	slices.Sort(others)
	left := engines
	for i, demand := range others {
		equal := left / float64(len(others)-i+1)
		if demand >= equal {
			return equal / engines
		}
		left -= demand
	}
	return left / engines
}
