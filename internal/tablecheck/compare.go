package tablecheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"berylward.example/berylward/internal/route"
)

// Compare returns what differs between the version in force and the next one: by part, first what is added or changed in
// the order of next, then what is removed. Entries are the same if they have the same name; their order does not count.
func Compare(inForce, next *Table) []Finding {
	c := &comparison{next: next}
	version := Place{Field: FieldVersion}
	switch {
	case next.Version == 0:
		// Check reports the missing version.
	case next.Version <= inForce.Version:
		c.add(NotNewer{version, next.Version, inForce.Version})
	default:
		c.add(Changed{version, "the version", strconv.FormatInt(inForce.Version, 10), strconv.FormatInt(next.Version, 10)})
	}
	c.compareEntries("route", routeEntries(inForce), routeEntries(next))
	c.compareEntries("service", serviceEntries(inForce), serviceEntries(next))
	c.compareValues(limitsEntry(inForce), limitsEntry(next))
	c.compareEntries("workspace", workspaceEntries(inForce), workspaceEntries(next))
	c.compareKeys(inForce, next)
	c.compareAccess(inForce, next)
	return c.findings
}

type comparison struct {
	next     *Table
	findings []Finding
}

// add records a finding, unless it is about a value of next that the decoder has already reported.
func (c *comparison) add(f Finding) {
	if d := Describe(f); d.InForce || !c.next.Invalid[d.Place] {
		c.findings = append(c.findings, f)
	}
}

// value is a value of an entry as text.
type value struct {
	place Place
	what  string
	text  string
}

// entry is a named entry of a table with its values.
type entry struct {
	name   string
	place  Place
	values []value
}

// compareEntries compares two lists of entries by name. An entry without a name, or whose name occurs again, is left out:
// Check reports it.
func (c *comparison) compareEntries(kind string, inForce, next []entry) {
	old, current := byName(inForce), byName(next)
	for _, e := range next {
		before, known := old[e.name]
		switch {
		case current[e.name].place != e.place:
		case !known:
			c.add(Added{e.place, fmt.Sprintf("%s %q", kind, e.name)})
		default:
			c.compareValues(before, e)
		}
	}
	for _, e := range inForce {
		if _, kept := current[e.name]; !kept && old[e.name].place == e.place {
			c.add(Removed{e.place, fmt.Sprintf("%s %q", kind, e.name)})
		}
	}
}

// byName returns the first entry of each name that is not empty.
func byName(entries []entry) map[string]entry {
	found := make(map[string]entry, len(entries))
	for _, e := range entries {
		if _, ok := found[e.name]; !ok && e.name != "" {
			found[e.name] = e
		}
	}
	return found
}

// compareValues compares the values of two entries by field. A value that only one of them has counts as "none".
func (c *comparison) compareValues(inForce, next entry) {
	old := map[valueID]value{}
	for _, v := range inForce.values {
		old[v.id()] = v
	}
	for _, v := range next.values {
		before, known := old[v.id()]
		delete(old, v.id())
		if !known {
			before.text = "none"
		}
		if before.text != v.text {
			c.add(Changed{v.place, v.what, before.text, v.text})
		}
	}
	for _, v := range inForce.values {
		if _, left := old[v.id()]; left {
			place := next.place
			place.Part, place.Field = v.place.Part, v.place.Field
			c.add(Changed{place, v.what, v.text, "none"})
		}
	}
}

// valueID identifies a value within its entry.
type valueID struct {
	part  Part
	field Field
}

func (v value) id() valueID { return valueID{v.place.Part, v.place.Field} }

// collect appends a value of an entry. Times are shown as such, numbers and texts as in the table.
func (e *entry) collect(part Part, f Field, what string, v any) {
	text := fmt.Sprint(v)
	if s, ok := v.(string); ok {
		text = strconv.Quote(s)
	}
	e.collectText(part, f, what, text)
}

// collectText appends a value that is shown as it stands.
func (e *entry) collectText(part Part, f Field, what, text string) {
	place := e.place
	place.Part, place.Field = part, f
	e.values = append(e.values, value{place, what, text})
}

// collectOther appends the values that no gateway uses, by name.
func (e *entry) collectOther(part Part, other map[Field]string) {
	for _, f := range slices.Sorted(maps.Keys(other)) {
		e.collectText(part, f, "a value that gateways do not use", other[f])
	}
}

var kindNames = map[route.Kind]string{route.Unsafe: "unsafe", route.Safe: "safe", route.Stream: "stream"}

func routeEntries(t *Table) []entry {
	entries := make([]entry, 0, len(t.Routes))
	for i, r := range t.Routes {
		e := entry{name: r.Name, place: Place{Part: RoutePart, Index: i}}
		e.collect(RoutePart, FieldHost, "the host", strings.ToLower(r.Host))
		e.collect(RoutePart, FieldPrefix, "the prefix", r.Prefix)
		e.collect(RoutePart, FieldKind, "the kind", kindNames[r.Kind])
		e.collect(RoutePart, FieldTimeout, "the time limit", r.Timeout)
		e.collect(RoutePart, FieldTarget, "the target", r.Target)
		e.collect(RoutePart, FieldMaxGap, "the longest pause", r.MaxGap)
		e.collect(RoutePart, FieldMaxAttempts, "the number of attempts", max(r.MaxAttempts, 1))
		e.collect(RoutePart, FieldPublic, "whether the route is public", r.Public)
		e.collect(RoutePart, FieldResumable, "whether streams are resumable", r.Resumable)
		e.collect(RoutePart, FieldPriority, "the priority", r.Priority)
		e.collectText(RoutePart, FieldShares, "the split between services", shareText(r))
		e.collectOther(RoutePart, r.Other)
		entries = append(entries, e)
	}
	return entries
}

// shareText returns the services of a route with their weights, by name. The order of shares does not count.
func shareText(r Route) string {
	if len(r.Shares) == 0 {
		return fmt.Sprintf("%q 1", r.SoleService)
	}
	texts := make([]string, 0, len(r.Shares))
	for _, s := range r.Shares {
		texts = append(texts, fmt.Sprintf("%q %d", s.Service, s.Weight))
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}

func serviceEntries(t *Table) []entry {
	entries := make([]entry, 0, len(t.Services))
	for i, s := range t.Services {
		e := entry{name: s.Name, place: Place{Part: ServicePart, Index: i}}
		e.collect(ServicePart, FieldMaxConnections, "the number of connections", s.MaxConnections)
		e.collect(ServicePart, FieldColdRate, "the rate of a cold server", s.ColdRate)
		if g := s.Engine; g != nil {
			e.collect(EnginePart, "", "the kind of server", "model engine")
			e.collect(EnginePart, FieldSlots, "the number of slots", g.Slots)
			e.collect(EnginePart, FieldKVCache, "the memory in tokens", g.KVCacheTokens)
			e.collect(EnginePart, FieldStepsPerIteration, "the steps of an iteration", g.StepsPerIteration)
			e.collect(EnginePart, FieldStepTime, "the time of a step", g.StepTime)
			e.collect(EnginePart, FieldStepTimePerSequence, "the time of a step for each request", g.StepTimePerSequence)
			e.collect(EnginePart, FieldStepTimePerContext, "the time of a step for each 1,000 tokens of context", g.StepTimePer1000Context)
			e.collect(EnginePart, FieldPrefillRate, "the prefill rate", g.PrefillRate)
			e.collect(EnginePart, FieldPrefillPairs, "the prefill time for each million pairs", g.PrefillTimePerMillionPairs)
			e.collect(EnginePart, FieldChunk, "the chunk of prefill", g.PrefillChunk)
			e.collect(EnginePart, FieldHop, "the time of a hop", g.HelperStepTime)
			e.collect(EnginePart, FieldUsualPrompt, "the usual prompt", g.UsualPrompt)
			e.collect(EnginePart, FieldUsualAnswer, "the usual answer", g.UsualAnswer)
			e.collectOther(EnginePart, g.Other)
		}
		e.collectOther(ServicePart, s.Other)
		entries = append(entries, e)
	}
	return entries
}

func limitsEntry(t *Table) entry {
	e := entry{place: Place{Part: LimitsPart}}
	for _, l := range []struct {
		field Field
		what  string
		bytes int64
	}{{FieldHeaderBytes, "the limit of headers", t.Limits.HeaderBytes}, {FieldBodyBytes, "the limit of bodies", t.Limits.BodyBytes}} {
		e.collectText(LimitsPart, l.field, l.what, limitText(l.bytes == 0, fmt.Sprintf("%d bytes", l.bytes)))
	}
	for _, l := range []struct {
		field Field
		what  string
		time  time.Duration
	}{{FieldHeaderTimeout, "the time for a header", t.Limits.HeaderTimeout}, {FieldIdleTimeout, "the time of an idle connection", t.Limits.IdleTimeout}} {
		e.collectText(LimitsPart, l.field, l.what, limitText(l.time == 0, l.time.String()))
	}
	e.collectOther(LimitsPart, t.Limits.Other)
	return e
}

func limitText(none bool, limit string) string {
	if none {
		return "no limit"
	}
	return limit
}

func workspaceEntries(t *Table) []entry {
	entries := make([]entry, 0, len(t.Workspaces))
	for i, w := range t.Workspaces {
		e := entry{name: w.Name, place: Place{Part: WorkspacePart, Index: i}}
		if w.Priority != nil {
			e.collect(WorkspacePart, FieldPriority, "the priority", *w.Priority)
		}
		entries = append(entries, e)
	}
	return entries
}

// owner is the workspace of a key and the key's place.
type owner struct {
	workspace string
	place     Place
}

// owners returns the owner of each key. Gateways use the last one if a key occurs again.
func owners(t *Table) map[Key]owner {
	found := map[Key]owner{}
	for i, w := range t.Workspaces {
		for j, k := range w.Keys {
			found[k] = owner{w.Name, Place{Part: KeyPart, Index: i, Item: j}}
		}
	}
	return found
}

// compareKeys compares the keys, and the workspaces that they belong to.
func (c *comparison) compareKeys(inForce, next *Table) {
	old, current := owners(inForce), owners(next)
	for _, k := range sortedKeys(current) {
		o := current[k]
		before, known := old[k]
		switch {
		case k.value == "":
		case !known:
			c.add(Added{o.place, fmt.Sprintf("key %v of workspace %q", k, o.workspace)})
		case before.workspace != o.workspace:
			c.add(Changed{o.place, fmt.Sprintf("the workspace of key %v", k), strconv.Quote(before.workspace), strconv.Quote(o.workspace)})
		}
	}
	for _, k := range sortedKeys(old) {
		if _, kept := current[k]; !kept && k.value != "" {
			c.add(Removed{old[k].place, fmt.Sprintf("key %v of workspace %q", k, old[k].workspace)})
		}
	}
}

// sortedKeys returns the keys in the order of their places.
func sortedKeys(keys map[Key]owner) []Key {
	return slices.SortedFunc(maps.Keys(keys), func(a, b Key) int {
		p, q := keys[a].place, keys[b].place
		if p.Index != q.Index {
			return p.Index - q.Index
		}
		return p.Item - q.Item
	})
}

// compareAccess records whether routes that need a key are opened because the list of workspaces is gone, or the reverse.
func (c *comparison) compareAccess(inForce, next *Table) {
	at := Place{Field: FieldWorkspaces}
	if inForce.NamesWorkspaces == next.NamesWorkspaces || next.Invalid[at] {
		return
	}
	if next.NamesWorkspaces {
		c.add(Added{at, "the list of workspaces, with which all routes that are not public need a key,"})
		return
	}
	open := 0
	for _, r := range next.Routes {
		if !r.Public {
			open++
		}
	}
	if open > 0 {
		c.add(Exposed{at, open})
	}
}
