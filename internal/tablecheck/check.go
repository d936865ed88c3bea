package tablecheck

import (
	"fmt"
	"strings"
	"time"

	"berylward.example/berylward/internal/route"
)

const (
	// minSendTime is the shortest time with which a gateway sends a request. With less left, the answer could not arrive.
	minSendTime = 5 * time.Millisecond
	// shortestPromptBody is the size in bytes of the shortest JSON object.
	shortestPromptBody = 2
)

// Check returns what is wrong with a table on its own, by part and position.
func Check(t *Table) []Finding {
	c := &checker{table: t, services: map[string]Place{}}
	if t.Version == 0 {
		c.add(Missing{Place{Field: FieldVersion}, "a whole number above that of the version in force"})
	}
	c.checkServices()
	c.checkRoutes()
	c.checkUnusedServices()
	c.checkLimits()
	c.checkWorkspaces()
	return c.findings
}

// checker collects the findings of one table.
type checker struct {
	table    *Table
	findings []Finding
	// services holds the place of the first service of each name, used the services that a route names.
	services map[string]Place
	used     map[string]bool
}

// add records a finding, unless the decoder has already reported the value at its place.
func (c *checker) add(f Finding) {
	if !c.table.Invalid[Describe(f).Place] {
		c.findings = append(c.findings, f)
	}
}

// invalid reports whether the decoder has already reported one of the fields of an entry.
func (c *checker) invalid(p Place, fields ...Field) bool {
	for _, f := range fields {
		p.Field = f
		if c.table.Invalid[p] {
			return true
		}
	}
	return false
}

// unique records a Duplicate if a name of seen occurs again.
func (c *checker) unique(seen map[string]Place, name string, at Place, what string) {
	if name == "" {
		return
	}
	if first, ok := seen[name]; ok {
		c.add(Duplicate{Place: at, First: first, What: fmt.Sprintf("%s %q", what, name)})
		return
	}
	seen[name] = at
}

func (c *checker) checkServices() {
	for i, s := range c.table.Services {
		at := Place{Part: ServicePart, Index: i, Field: FieldName}
		if s.Name == "" {
			c.add(Missing{at, "a name"})
		}
		c.unique(c.services, s.Name, at, "service")
		if s.Engine != nil {
			c.checkEngine(i, s.Engine)
		}
	}
}

func (c *checker) checkEngine(index int, e *Engine) {
	at := func(f Field) Place { return Place{Part: EnginePart, Index: index, Field: f} }
	for _, required := range []struct {
		field   Field
		missing bool
	}{{FieldSlots, e.Slots == 0}, {FieldKVCache, e.KVCacheTokens == 0}, {FieldPrefillRate, e.PrefillRate == 0}} {
		if required.missing {
			c.add(Missing{at(required.field), "a number from 1"})
		}
	}
	if e.KVCacheTokens == 0 {
		return
	}
	capacity := e.KVCacheTokens
	switch {
	case e.UsualPrompt > capacity:
		c.add(Contradiction{at(FieldKVCache), fmt.Sprintf("memory for %d tokens", e.KVCacheTokens), fmt.Sprintf("at least %d tokens, the usual prompt", e.UsualPrompt)})
	case e.UsualPrompt+e.UsualAnswer > capacity:
		c.add(Doubtful{at(FieldKVCache), fmt.Sprintf("memory for %d tokens", e.KVCacheTokens), fmt.Sprintf("at least %d tokens, the usual prompt with its answer", e.UsualPrompt+e.UsualAnswer)})
	}
}

func (c *checker) checkRoutes() {
	c.used = map[string]bool{}
	names, matches := map[string]Place{}, map[[2]string]Place{}
	if len(c.table.Routes) == 0 {
		c.add(NeverUsed{Place: Place{Field: FieldRoutes}, Found: "no route", Reason: "at least one route; without one, every request is rejected"})
	}
	for i := range c.table.Routes {
		r := &c.table.Routes[i]
		at := func(f Field) Place { return Place{Part: RoutePart, Index: i, Field: f} }
		if r.Name == "" {
			c.add(Missing{at(FieldName), "a name"})
		}
		c.unique(names, r.Name, at(FieldName), "route")
		c.checkMatch(r, at)
		match := [2]string{strings.ToLower(r.Host), r.Prefix}
		if first, ok := matches[match]; !ok {
			matches[match] = at("")
		} else if r.Host != "" && r.Prefix != "" {
			c.add(NeverUsed{
				Place: at(""), Because: &first, Found: fmt.Sprintf("host %q and prefix %q of an earlier route, which gets all requests", match[0], r.Prefix),
				Reason: "a host and prefix of its own",
			})
		}
		c.checkShares(i, r)
		c.checkRouteLimits(r, at)
	}
}

// checkMatch checks the host and the prefix of a route.
func (c *checker) checkMatch(r *Route, at func(Field) Place) {
	if r.Host == "" {
		c.add(Missing{at(FieldHost), "a host"})
	} else if i := strings.IndexFunc(r.Host, neverInHost); i >= 0 {
		c.add(NeverUsed{Place: at(FieldHost), Found: fmt.Sprintf("host %q", r.Host), Reason: "a host, with a port if callers name one; no request names this one, since hosts are compared as a whole"})
	}
	switch {
	case r.Prefix == "":
		c.add(Missing{at(FieldPrefix), "a path that begins and ends with a slash"})
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		c.add(Invalid{at(FieldPrefix), fmt.Sprintf("prefix %q", r.Prefix), "a path that begins and ends with a slash"})
	case strings.HasPrefix(r.Prefix, "//") || strings.ContainsFunc(r.Prefix, neverInPath):
		c.add(NeverUsed{Place: at(FieldPrefix), Found: fmt.Sprintf("prefix %q", r.Prefix), Reason: "a path as requests carry it: escaped, without query and fragment"})
	}
}

func neverInHost(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune(`/\*?#@"<>`, r) }

func neverInPath(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune(`?#"<>`, r) }

// checkShares checks the services of a route.
func (c *checker) checkShares(index int, r *Route) {
	at := Place{Part: RoutePart, Index: index, Field: FieldService}
	if len(r.Shares) == 0 {
		if !c.invalid(at, FieldShares) {
			c.checkService(at, r.SoleService)
		}
		return
	}
	if r.SoleService != "" {
		c.add(NeverUsed{Place: at, Found: fmt.Sprintf("service %q beside shares of several services", r.SoleService), Reason: "one of the two; the shares count"})
	}
	none := true
	for j, s := range r.Shares {
		share := Place{Part: SharePart, Index: index, Item: j, Field: FieldService}
		c.checkService(share, s.Service)
		none = none && s.Weight <= 0 && !c.invalid(share, FieldWeight)
	}
	if none {
		at.Field = FieldShares
		c.add(NeverUsed{Place: at, Found: "weight 0 for all services", Reason: "a weight from 1 for one of them; without one, every request of the route is refused"})
	}
}

func (c *checker) checkService(at Place, name string) {
	if name == "" {
		c.add(Missing{at, "the name of a declared service"})
		return
	}
	c.used[name] = true
	if _, ok := c.services[name]; !ok {
		c.add(Undeclared{at, name})
	}
}

func (c *checker) checkUnusedServices() {
	for i, s := range c.table.Services {
		at := Place{Part: ServicePart, Index: i, Field: FieldName}
		if s.Name != "" && !c.used[s.Name] && c.services[s.Name] == at {
			c.add(NeverUsed{Place: at, Found: fmt.Sprintf("service %q, which no route uses", s.Name), Reason: "a service of a route"})
		}
	}
}

// checkRouteLimits checks the times of a route and how often its requests may run.
func (c *checker) checkRouteLimits(r *Route, at func(Field) Place) {
	if r.Timeout > 0 {
		if r.Timeout < minSendTime {
			c.add(Contradiction{at(FieldTimeout), fmt.Sprintf("time limit %v", r.Timeout), fmt.Sprintf("0 for the default, or at least %v, with which a gateway sends a request", minSendTime)})
		}
		if r.Target > r.Timeout {
			c.add(Contradiction{at(FieldTarget), fmt.Sprintf("target %v above the time limit", r.Target), fmt.Sprintf("at most %v, the time limit", r.Timeout)})
		}
		if r.MaxGap > r.Timeout {
			c.add(Contradiction{at(FieldMaxGap), fmt.Sprintf("pause %v above the time limit", r.MaxGap), fmt.Sprintf("at most %v, the time limit", r.Timeout)})
		}
	}
	if c.invalid(at(""), FieldKind, FieldResumable) {
		return
	}
	if r.MaxAttempts > 1 && !r.Idempotent() {
		c.add(Doubtful{at(FieldMaxAttempts), fmt.Sprintf("%d attempts for a route whose requests must not run twice", r.MaxAttempts), "1, which gateways keep to"})
	}
	if r.MaxGap > 0 && r.Kind != route.Stream {
		c.add(NeverUsed{Place: at(FieldMaxGap), Found: "a pause between events", Reason: "none, since the route does not answer with a stream"})
	}
}
