package tablecheck

import (
	"fmt"
	"strings"
	"time"
	"unicode"
)

// checkLimits checks the limits on what callers may send.
func (c *checker) checkLimits() {
	l := c.table.Limits
	at := func(f Field) Place { return Place{Part: LimitsPart, Field: f} }
	if l.HeaderBytes > 0 {
		var longest Route
		for _, r := range c.table.Routes {
			if r.ShortestHeader > longest.ShortestHeader {
				longest = r
			}
		}
		if l.HeaderBytes < longest.ShortestHeader {
			c.add(Contradiction{at(FieldHeaderBytes), fmt.Sprintf("%d bytes", l.HeaderBytes), fmt.Sprintf("0 for no limit, or at least %d bytes, the shortest header of route %q", longest.ShortestHeader, longest.Name)})
		}
	}
	if l.BodyBytes > 0 {
		c.checkBodyLimit(at(FieldBodyBytes))
	}
	for _, limit := range []struct {
		field Field
		time  time.Duration
	}{{FieldHeaderTimeout, l.HeaderTimeout}, {FieldIdleTimeout, l.IdleTimeout}} {
		if limit.time > 0 && limit.time < minSendTime {
			c.add(Contradiction{at(limit.field), fmt.Sprintf("time limit %v", limit.time), fmt.Sprintf("0 for no limit, or at least %v", minSendTime)})
		}
	}
}

// checkBodyLimit checks the limit of bodies against the prompts of model engines.
func (c *checker) checkBodyLimit(at Place) {
	limit := c.table.Limits.BodyBytes
	for _, s := range c.table.Services {
		if s.Engine == nil {
			continue
		}
		if limit < shortestPromptBody {
			c.add(Contradiction{at, fmt.Sprintf("%d bytes", limit), fmt.Sprintf("0 for no limit, or at least %d bytes, the shortest prompt", shortestPromptBody)})
			return
		}
		// A token is at least one byte of text.
		if limit < s.Engine.UsualPrompt {
			c.add(Doubtful{at, fmt.Sprintf("%d bytes", limit), fmt.Sprintf("at least %d bytes, one for each token of the usual prompt of service %q", s.Engine.UsualPrompt, s.Name)})
			return
		}
	}
}

// checkWorkspaces checks the workspaces and their keys.
func (c *checker) checkWorkspaces() {
	if !c.table.NamesWorkspaces || c.invalid(Place{}, FieldWorkspaces) {
		return
	}
	keyed := 0
	for _, r := range c.table.Routes {
		if !r.Public {
			keyed++
		}
	}
	names, owners, keys := map[string]Place{}, map[Key]Place{}, 0
	for i, w := range c.table.Workspaces {
		at := Place{Part: WorkspacePart, Index: i, Field: FieldName}
		if w.Name == "" {
			c.add(Missing{at, "a name"})
		}
		c.unique(names, w.Name, at, "workspace")
		for j, k := range w.Keys {
			c.checkKey(Place{Part: KeyPart, Index: i, Item: j}, k, owners)
		}
		keys += len(w.Keys)
		if c.invalid(at, FieldKeys) {
			keys++
		} else if len(w.Keys) == 0 && keyed > 0 && keyed == len(c.table.Routes) {
			c.add(NeverUsed{Place: Place{Part: WorkspacePart, Index: i}, Found: fmt.Sprintf("workspace %q without keys", w.Name), Reason: "at least one key, since all routes need one"})
		}
	}
	if keys == 0 && keyed > 0 {
		c.add(NeverUsed{Place: Place{Field: FieldWorkspaces}, Found: fmt.Sprintf("no key at all, while %d route(s) need one", keyed), Reason: "at least one key, or no list of workspaces, which opens all routes"})
	}
}

// checkKey checks one key. owners holds the places of the keys before it.
func (c *checker) checkKey(at Place, k Key, owners map[Key]Place) {
	switch first, ok := owners[k]; {
	case c.table.Invalid[at]:
	case k.value == "":
		c.add(Invalid{at, "an empty key", "a text that callers send as their key"})
	case ok && first.Index != at.Index:
		c.add(Duplicate{Place: at, First: first, What: fmt.Sprintf("key %v of another workspace", k)})
	case ok:
		c.add(NeverUsed{Place: at, Because: &first, Found: fmt.Sprintf("key %v again", k), Reason: "each key once"})
	default:
		owners[k] = at
		if strings.TrimSpace(k.value) != k.value || strings.ContainsFunc(k.value, unicode.IsControl) {
			c.add(NeverUsed{Place: at, Found: fmt.Sprintf("key %v with white space around it or a control character", k), Reason: "a key that the header of a request can carry"})
		}
	}
}
