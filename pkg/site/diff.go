package site

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Change is one effect of a change of the declarations.
type Change struct {
	// Path is the dotted path of the changed value.
	Path string
	// Text describes the effect.
	Text string
}

// String returns the change on one line.
func (c Change) String() string { return c.Path + ": " + c.Text }

// Diff returns the effects of replacing old by next, sorted by path. It covers every declared value. A nil old stands
// for a site that does not run yet.
func Diff(old, next *Declarations) []Change {
	if old == nil {
		old = &Declarations{}
	}
	d := &differ{old: old, next: next}
	d.diffZones()
	d.diffModels()
	d.diffWorkspaces()
	d.diffServices()
	diffMap(d, "priorities", old.Priorities, next.Priorities, func(p string, a, b Priority) { d.diffFields(p, a, b) })
	d.diffFields("site", old.Site, next.Site)
	d.diffFields("classes", old.Classes, next.Classes)
	d.diffFields("warm-up", old.WarmUp, next.WarmUp)
	d.diffFields("deadlines", old.Deadlines, next.Deadlines)
	d.diffFields("suspects", old.Suspects, next.Suspects)
	d.diffFields("weight-store", old.WeightStore, next.WeightStore)
	if old.Workers != next.Workers {
		d.addChange("workers", "changes from %d to %d; the weight load rate of each worker is adjusted", old.Workers, next.Workers)
	}
	slices.SortStableFunc(d.changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return d.changes
}

type differ struct {
	old, next *Declarations
	changes   []Change
}

func (d *differ) addChange(path, format string, args ...any) {
	d.changes = append(d.changes, Change{Path: path, Text: fmt.Sprintf(format, args...)})
}

// diffMap reports added and removed entries and calls changed for the entries that are in both maps.
func diffMap[V any](d *differ, path string, old, next map[string]V, changed func(path string, a, b V)) {
	for name, b := range next {
		if a, ok := old[name]; ok {
			changed(path+"."+name, a, b)
		} else {
			d.addChange(path+"."+name, "is added")
		}
	}
	for name := range old {
		if _, ok := next[name]; !ok {
			d.addChange(path+"."+name, "is removed")
		}
	}
}

// diffFields reports every field that differs, except those in skip, under its name in declaration files.
func (d *differ) diffFields(path string, a, b any, skip ...string) {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		name := va.Type().Field(i).Tag.Get("yaml")
		if name == "-" || slices.Contains(skip, name) {
			continue
		}
		x, y := va.Field(i).Interface(), vb.Field(i).Interface()
		if !reflect.DeepEqual(x, y) {
			d.addChange(path+"."+name, "changes from %v to %v", x, y)
		}
	}
}

func (d *differ) diffZones() {
	inService := 0
	for name, z := range d.next.Zones {
		p := "zones." + name
		old, existed := d.old.Zones[name]
		if !z.Out {
			inService++
		}
		switch {
		case !existed && z.Out:
			d.addChange(p, "is added, out of service")
		case !existed:
			d.addChange(p, "is added")
		case z.Out && !old.Out:
			d.addChange(p, "is taken out: it drains, gets no new work, and running work finishes")
		case !z.Out && old.Out:
			d.addChange(p, "returns to service; its backend servers start with a cold window")
		}
	}
	for name := range d.old.Zones {
		if _, ok := d.next.Zones[name]; !ok {
			d.addChange("zones."+name, "is removed: instances in it drain")
		}
	}
	if inService == 0 {
		// This is valid, because an operator may close a site, but it is rarely intended.
		d.addChange("zones", "no zone is in service: all new work will be refused")
	}
}

func (d *differ) diffModels() {
	diffMap(d, "models", d.old.Models, d.next.Models, func(p string, a, b Model) {
		if a.Version != b.Version {
			n := b.Workers
			if n == 0 {
				n = d.next.Workers
			}
			spread := time.Duration(float64(n) / d.next.WeightStore.LoadsPerSecond * float64(time.Second))
			d.addChange(p+".version", "changes from %s to %s: %d workers load it, spread over about %s",
				a.Version, b.Version, n, spread.Round(time.Second))
		}
		d.diffFields(p, a, b, "version")
	})
}

func (d *differ) diffWorkspaces() {
	diffMap(d, "workspaces", d.old.Workspaces, d.next.Workspaces, func(p string, a, b *Workspace) {
		if a.Key != b.Key {
			d.addChange(p+".key-sha256", "changes: the previous key is refused from now on")
		}
		if a.TokensPerSecond != b.TokensPerSecond {
			d.addChange(p+".tokens-per-second", "limit changes from %d to %d tokens/s", a.TokensPerSecond, b.TokensPerSecond)
		}
		if a.Burst != b.Burst {
			d.addChange(p+".burst", "limit changes from %d to %d tokens at once", a.Burst, b.Burst)
		}
		d.diffAccess(p+".models", a.Models, b.Models)
		d.diffAccess(p+".services", a.Services, b.Services)
		d.diffFields(p, *a, *b, "key-sha256", "tokens-per-second", "burst", "models", "services")
	})
}

func (d *differ) diffAccess(path string, old, next []string) {
	if gained := difference(next, old); len(gained) > 0 {
		d.addChange(path, "gains access to %s", strings.Join(gained, ", "))
	}
	if lost := difference(old, next); len(lost) > 0 {
		d.addChange(path, "loses access to %s", strings.Join(lost, ", "))
	}
}

// difference returns the sorted entries of list that are not in other.
func difference(list, other []string) []string {
	rest := slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(other, s) })
	slices.Sort(rest)
	return rest
}

func (d *differ) diffServices() {
	diffMap(d, "services", d.old.Services, d.next.Services, func(p string, a, b Service) {
		d.diffFields(p, a, b, "workers", "calls")
		if !slices.Equal(a.Calls, b.Calls) {
			d.addChange(p+".calls", "the set of idempotent calls changes")
		}
		diffMap(d, p+".workers", a.Workers, b.Workers, func(p string, x, y ServiceWorker) {
			if !x.Lost && y.Lost {
				d.addChange(p+".lost", "is declared lost: requests with keys that it may have run get the outcome unknown")
			}
			d.diffFields(p, x, y, "lost")
		})
	})
	for name, b := range d.next.Services {
		if _, ok := d.old.Services[name]; ok {
			d.diffOwners(name, b)
		}
	}
}

// diffOwners reports which workers of a service hand over their keys.
func (d *differ) diffOwners(name string, next Service) {
	before, after := d.old.Owners(name), d.next.Owners(name)
	if slices.Equal(before, after) {
		return
	}
	p := "services." + name
	added := difference(after, before)
	for _, w := range difference(before, after) {
		switch {
		case next.Workers[w].Lost:
		case len(after) == 0:
			d.addChange(p, "%s keeps its table; no other worker can take over the keys, so bookings are refused", w)
		default:
			d.addChange(p, "%s hands all its keys over to %s", w, strings.Join(after, ", "))
		}
	}
	if len(added) > 0 && len(before) > 0 {
		d.addChange(p, "%s hand part of their keys over to %s", strings.Join(before, ", "), strings.Join(added, ", "))
	}
	d.addChange(p, "owners of keys change from [%s] to [%s]; keys that move are refused until handed over",
		strings.Join(before, ", "), strings.Join(after, ", "))
}
