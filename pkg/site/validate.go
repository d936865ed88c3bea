package site

import (
	"fmt"
	"net/netip"
	"path"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

// maxNameBytes limits names, which occur in log lines, paths and message keys.
const maxNameBytes = 63

var tagValidator = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	rule := func(name string, ok func(v reflect.Value) bool) {
		must(0, v.RegisterValidation(name, func(fl validator.FieldLevel) bool { return ok(fl.Field()) }))
	}
	rule("name", func(v reflect.Value) bool { return validName(v.String()) })
	rule("pattern", func(v reflect.Value) bool {
		_, err := path.Match(v.String(), "")
		return err == nil && !strings.Contains(v.String(), "//")
	})
	rule("address", func(v reflect.Value) bool {
		a, ok := v.Interface().(netip.AddrPort)
		return ok && a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
	})
	return v
}()

// validName reports whether a name is in kebab case. Dots are not allowed, because they separate the parts of a path in
// Explain.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] == '-' || s[len(s)-1] == '-' || strings.Contains(s, "--") {
		return false
	}
	for i := range len(s) {
		if c := s[i]; c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

const allowedName = "lower-case letters, digits and single hyphens between them, up to 63"

// Validate returns all problems of the declarations, sorted by path. It is a pure function.
func Validate(d *Declarations) []Problem {
	c := &checker{}
	c.checkTags(d)
	for _, w := range d.Workspaces {
		if w == nil {
			// checkTags reports nil workspaces, and the checks below dereference every workspace.
			return c.problems
		}
	}
	c.checkNames(d)
	c.checkReferences(d)
	c.checkLimits(d)
	c.checkWorkers(d)
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return strings.Compare(a.Path, b.Path) })
	return c.problems
}

type checker struct{ problems []Problem }

func (c *checker) addProblem(path, found, allowed string) {
	c.problems = append(c.problems, Problem{Path: path, Found: found, Allowed: allowed})
}

// checkTags checks the validate tags.
func (c *checker) checkTags(d *Declarations) {
	var fieldErrors validator.ValidationErrors
	if err := tagValidator.Struct(d); !errors.As(err, &fieldErrors) {
		return
	}
	for _, f := range fieldErrors {
		p := f.Namespace()
		p = strings.NewReplacer("[", ".", "]", "").Replace(p[strings.IndexByte(p, '.')+1:])
		c.addProblem(p, describeFound(f), describeAllowed(f))
	}
}

func describeFound(f validator.FieldError) string {
	v := reflect.ValueOf(f.Value())
	switch v.Kind() {
	case reflect.Map, reflect.Slice:
		return fmt.Sprintf("%d entries", v.Len())
	case reflect.String:
		if v.Len() == 0 {
			return "nothing"
		}
		return fmt.Sprintf("%q", v.String())
	case reflect.Invalid:
		return "nothing"
	}
	if v.IsZero() && (f.Tag() == "required" || f.Tag() == "address") {
		return "nothing"
	}
	return fmt.Sprint(f.Value())
}

func describeAllowed(f validator.FieldError) string {
	unit := ""
	switch f.Kind() {
	case reflect.Map, reflect.Slice:
		unit = " entries"
	case reflect.String:
		unit = " characters"
	}
	switch f.Tag() {
	case "required":
		return "a value"
	case "min":
		return f.Param() + unit + " or more"
	case "gt":
		return "more than " + f.Param() + unit
	case "max":
		return "up to " + f.Param() + unit
	case "oneof":
		return strings.Join(strings.Fields(f.Param()), ", ")
	case "name":
		return allowedName
	case "unique":
		return "unique entries"
	case "startswith":
		return "a path that starts with " + f.Param()
	case "pattern":
		return "a pattern for Go's path.Match without empty segments"
	case "address":
		return "an IP address and a port, such as 10.0.0.1:7000"
	}
	return f.Tag() + " " + f.Param()
}

// checkNames checks the keys of all maps.
func (c *checker) checkNames(d *Declarations) {
	checkKeys(c, "zones", d.Zones)
	checkKeys(c, "models", d.Models)
	checkKeys(c, "priorities", d.Priorities)
	checkKeys(c, "workspaces", d.Workspaces)
	checkKeys(c, "services", d.Services)
	for name, s := range d.Services {
		checkKeys(c, "services."+name+".workers", s.Workers)
	}
}

func checkKeys[V any](c *checker, path string, m map[string]V) {
	for name := range m {
		if !validName(name) {
			c.addProblem(path+"."+name, fmt.Sprintf("the name %q", name), allowedName)
		}
	}
}

// checkReferences checks that every referenced name is declared. Invalid names are reported by checkTags only. Paths
// are built for problems only, because building them for 44,000 workspaces costs more than the checks.
func (c *checker) checkReferences(d *Declarations) {
	for name, w := range d.Workspaces {
		if undeclared(d.Priorities, w.Priority) {
			addUndeclared(c, "workspaces."+name+".priority", w.Priority, "priorities", d.Priorities)
		}
		for i, m := range w.Models {
			if undeclared(d.Models, m) {
				addUndeclared(c, fmt.Sprintf("workspaces.%s.models.%d", name, i), m, "models", d.Models)
			}
		}
		for i, s := range w.Services {
			if undeclared(d.Services, s) {
				addUndeclared(c, fmt.Sprintf("workspaces.%s.services.%d", name, i), s, "services", d.Services)
			}
		}
	}
	for name, s := range d.Services {
		for worker, w := range s.Workers {
			if undeclared(d.Zones, w.Zone) {
				addUndeclared(c, "services."+name+".workers."+worker+".zone", w.Zone, "zones", d.Zones)
			}
		}
	}
}

func undeclared[V any](declared map[string]V, name string) bool {
	_, ok := declared[name]
	return !ok && validName(name)
}

func addUndeclared[V any](c *checker, path, name, kind string, declared map[string]V) {
	c.addProblem(path, fmt.Sprintf("%q", name), "one of "+kind+": "+listNames(declared))
}

// listNames returns the declared names, truncated to a readable length.
func listNames[V any](m map[string]V) string {
	const maxListed = 10
	names := sortedKeys(m)
	if len(names) > maxListed {
		return strings.Join(names[:maxListed], ", ") + fmt.Sprintf(" and %d more", len(names)-maxListed)
	}
	return strings.Join(names, ", ")
}

// checkLimits checks values against each other. Absent values are reported by checkTags.
func (c *checker) checkLimits(d *Declarations) {
	if d.Classes.MediumTokens > 0 && d.Classes.MediumTokens <= d.Classes.ShortTokens {
		c.addProblem("classes.medium-tokens", fmt.Sprint(d.Classes.MediumTokens),
			fmt.Sprintf("more than short-tokens (%d)", d.Classes.ShortTokens))
	}
	if d.Deadlines.Max > 0 && d.Deadlines.Default > d.Deadlines.Max {
		c.addProblem("deadlines.default", d.Deadlines.Default.String(), "up to max ("+d.Deadlines.Max.String()+")")
	}
	if d.WarmUp.MaxRequests > 0 && d.WarmUp.InitialRequests > d.WarmUp.MaxRequests {
		c.addProblem("warm-up.initial-requests", fmt.Sprint(d.WarmUp.InitialRequests),
			fmt.Sprintf("up to max-requests (%d)", d.WarmUp.MaxRequests))
	}
	for name, m := range d.Models {
		p := "models." + name
		if m.Version != "" && !slices.Contains(m.Versions, m.Version) {
			c.addProblem(p+".version", fmt.Sprintf("%q", m.Version), "one of versions: "+strings.Join(m.Versions, ", "))
		}
		if d.Workers > 0 && m.Workers > d.Workers {
			c.addProblem(p+".workers", fmt.Sprint(m.Workers), fmt.Sprintf("up to the site's workers (%d)", d.Workers))
		}
	}
	for name, s := range d.Services {
		// If the skew is at least the lifetime, a fresh key cannot be distinguished from an expired one.
		if s.ClockSkew >= s.KeyLifetime && s.KeyLifetime >= time.Second {
			c.addProblem("services."+name+".clock-skew", s.ClockSkew.String(), "less than key-life ("+s.KeyLifetime.String()+")")
		}
	}
	nameByKey := make(map[KeyDigest]string, len(d.Workspaces))
	for _, name := range sortedKeys(d.Workspaces) {
		w := d.Workspaces[name]
		if other, ok := nameByKey[w.Key]; ok && w.Key != (KeyDigest{}) {
			c.addProblem("workspaces."+name+".key-sha256", "the key of workspace "+other, "a unique key")
			continue
		}
		nameByKey[w.Key] = name
	}
}

// checkWorkers checks that no two service workers share a name or an address. An owner of idempotency keys has at most
// one running process, because two processes cannot listen on one address.
func (c *checker) checkWorkers(d *Declarations) {
	pathByName, pathByAddress := map[string]string{}, map[netip.AddrPort]string{}
	for _, service := range sortedKeys(d.Services) {
		for _, worker := range sortedKeys(d.Services[service].Workers) {
			p := "services." + service + ".workers." + worker
			if other, ok := pathByName[worker]; ok {
				c.addProblem(p, "the name of "+other, "a unique name")
			}
			pathByName[worker] = p
			a := d.Services[service].Workers[worker].Address
			if !a.IsValid() {
				continue
			}
			a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
			if other, ok := pathByAddress[a]; ok {
				c.addProblem(p+".address", a.String()+", the address of "+other, "a unique address")
				continue
			}
			pathByAddress[a] = p
		}
	}
}
