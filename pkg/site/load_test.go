package site

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func loadExample(t testing.TB, name string) *LoadedDeclarations {
	t.Helper()
	l, err := Load("../../examples/base.yaml", "../../examples/"+name+"/site.yaml")
	assert.NilError(t, err)
	return l
}

// Guards against example files that no longer load, or that no longer match the sites that they describe.
func TestExamples(t *testing.T) {
	tests := map[string]struct {
		region, service string
		zones           []string
	}{
		"cuenca":    {"azuay", "booking-desk", []string{"banos", "el-centro", "totoracocha"}},
		"szczelnik": {"pl-central", "call-desk", []string{"pl-central-a", "pl-central-b", "pl-central-c"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := loadExample(t, name).Declarations
			assert.Equal(t, d.Site, Identity{name, tt.region})
			assert.DeepEqual(t, sortedKeys(d.Zones), tt.zones)
			assert.Equal(t, d.Workers, 20)
			assert.Equal(t, len(d.Workspaces), 10)
			assert.Equal(t, len(d.Owners(tt.service)), 3)
			m, shards, err := Render(d, 1)
			assert.NilError(t, err)
			decoded, err := Decode(m, shards)
			assert.NilError(t, err)
			assert.Assert(t, reflect.DeepEqual(decoded, d))
			key := NewKeyDigest(name + "-training-key")
			accepted, ok := NewCurrentGeneration().Install(Generation{m, shards}).(Accepted)
			assert.Assert(t, ok)
			byKey, ok := accepted.Snapshot.WorkspaceByKey(key)
			assert.Assert(t, ok)
			assert.DeepEqual(t, byKey, *d.Workspaces["training"])
			byName, ok := accepted.Snapshot.WorkspaceByName("training")
			assert.Assert(t, ok)
			assert.DeepEqual(t, byName, byKey)
			for _, wrong := range []string{"another", "", strings.ToUpper(name + "-training-key")} {
				_, ok = accepted.Snapshot.WorkspaceByKey(NewKeyDigest(wrong))
				assert.Assert(t, !ok, wrong)
			}
		})
	}
}

// valid is the smallest overlay that loads on an empty base.
const valid = `site: {name: a, region: r}
zones: {z1: {}, z2: {}}
workers: 4
priorities: {p: {engine: 1}}
models:
  m: {version: v1, versions: [v1], memory-tokens: 1, prefill-tokens-per-second: 1, decode-tokens-per-second: 1}
warm-up: {initial-tokens: 1, initial-requests: 1, max-requests: 1}
deadlines: {default: 1s, max: 2s}
weight-store: {loads-per-second: 1}
services:
  s:
    table-size: 1
    calls:
      - {method: GET, path: /jobs/*, idempotent: true}
    workers:
      w1: {address: "127.0.0.1:1", zone: z1}
      w2: {address: "127.0.0.2:1", zone: z2}
workspaces:
  w:
    key-sha256: "0000000000000000000000000000000000000000000000000000000000000001"
    priority: p
    tokens-per-second: 1
    burst: 1
    models: [m]
`

// Guards against invalid values that pass, that hide other problems, or that are reported without a position or the
// allowed values.
func TestLoadProblems(t *testing.T) {
	tests := map[string]struct {
		// edits are pairs of old and new text, applied to valid.
		edits []string
		// want lists the prefix of each problem, ordered by position.
		want []string
	}{
		"valid":                  {},
		"unknown field":          {[]string{"workers: 4", "workers: 4\nwokers: 4"}, []string{`o.yaml:4:9: wokers: found the unknown field "wokers"; allowed: site, zones`}},
		"duplicate key":          {[]string{"zones: {z1: {}", "zones: {z1: {}, z1: {}"}, []string{"o.yaml:2:17: zones.z1: found a duplicate key"}},
		"number instead of text": {[]string{"version: v1,", "version: 1.0,"}, []string{"o.yaml:6:16: models.m.version: found the number 1.0; allowed: text"}},
		"duration without unit":  {[]string{"max: 2s", "max: 2"}, []string{"o.yaml:8:31: deadlines.max: found the number 2; allowed: a duration with a unit"}},
		"anchor":                 {[]string{"name: a,", "name: &x a,"}, []string{"o.yaml:1:14: site.name: found anchor; allowed: plain values"}},
		"undeclared priority":    {[]string{"priority: p", "priority: q"}, []string{`o.yaml:21:15: workspaces.w.priority: found "q"; allowed: one of priorities: p`}},
		"undeclared zone":        {[]string{"zone: z2}", "zone: z3}"}, []string{`o.yaml:17:42: services.s.workers.w2.zone: found "z3"; allowed: one of zones: z1, z2`}},
		"duplicate address":      {[]string{`"127.0.0.2:1"`, `"[::ffff:127.0.0.1]:1"`}, []string{"o.yaml:17:21: services.s.workers.w2.address: found 127.0.0.1:1, the address of services.s.workers.w1"}},
		"port 0":                 {[]string{`"127.0.0.2:1"`, `"127.0.0.2:0"`}, []string{"o.yaml:17:21: services.s.workers.w2.address: found 127.0.0.2:0; allowed: an IP address and a port"}},
		"undeclared version":     {[]string{"versions: [v1]", "versions: [v2]"}, []string{`o.yaml:6:16: models.m.version: found "v1"; allowed: one of versions: v2`}},
		"invalid name":           {[]string{"z1: {}", "Z_1: {}", "zone: z1", "zone: z2"}, []string{`o.yaml:2:9: zones.Z_1: found the name "Z_1"; allowed: lower-case`}},
		"no value":               {[]string{"z1: {}, ", "z1: , "}, []string{"o.yaml:2:9: zones.z1: found nothing; allowed: a mapping"}},
		"default above maximum":  {[]string{"max: 2s", "max: 500ms"}, []string{"o.yaml:8:22: deadlines.default: found 1s; allowed: up to max (500ms)"}},
		"malformed YAML":         {[]string{"workers: 4", "workers: [4"}, []string{"o.yaml:"}},
		"nesting too deep":       {[]string{"workers: 4", "workers: " + strings.Repeat("[", 100_000)}, []string{"o.yaml:3:42: found deeper nesting"}},
		"several problems": {[]string{"workers: 4", "workers: 0", "burst: 1", "burst: -1", "table-size: 1", "table-size: x"}, []string{
			"o.yaml:3:10: workers: found 0; allowed: 1 or more", `o.yaml:12:17: services.s.table-size: found the text "x"; allowed: a decimal integer`,
			"o.yaml:23:12: workspaces.w.burst: found -1; allowed: 1 or more"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			overlay := strings.NewReplacer(tt.edits...).Replace(valid)
			_, err := LoadSources(Source{Name: "b.yaml"}, Source{"o.yaml", []byte(overlay)})
			var e *Error
			if !errors.As(err, &e) {
				assert.NilError(t, err)
				e = &Error{}
			}
			assert.Equal(t, len(e.Problems), len(tt.want), "%v", err)
			for i, p := range e.Problems {
				assert.Assert(t, strings.HasPrefix(p.String(), tt.want[i]), "%s", p)
			}
		})
	}
}

// Guards against an overlay that does not override the base file, and against an explanation that names the wrong file.
func TestExplain(t *testing.T) {
	tests := map[string]string{
		"priorities.digest.engine":    "priorities.digest.engine: 5 (../../examples/szczelnik/site.yaml:18, replaces 10 of ../../examples/base.yaml:30)",
		"priorities.digest.weight":    "priorities.digest.weight: 1 (default)",
		"priorities.counter.engine":   "priorities.counter.engine: 100 (../../examples/base.yaml:24)",
		"models.ledger-32b.versions":  "models.ledger-32b.versions: [2026-04] (../../examples/base.yaml:15)",
		"models.office-8b.versions.1": "models.office-8b.versions.1: 2026-03 (../../examples/base.yaml:7)",
	}
	l := loadExample(t, "szczelnik")
	for path, want := range tests {
		t.Run(path, func(t *testing.T) {
			got, err := l.Explain(path)
			assert.NilError(t, err)
			assert.Equal(t, got[0].String(), want)
		})
	}
	_, err := l.Explain("models.none")
	assert.ErrorContains(t, err, "unknown-path")
}

// Guards against an overlay that cannot remove an entry of the base file.
func TestOverlayRemoves(t *testing.T) {
	l, err := LoadSources(Source{"b.yaml", []byte("models: {x: {version: 1}}")}, Source{"o.yaml", []byte(strings.Replace(valid, "models:", "models:\n  x:", 1))})
	assert.NilError(t, err)
	assert.DeepEqual(t, sortedKeys(l.Declarations.Models), []string{"m"})
}

// Guards against retries of a call whose path only resembles that of an idempotent call.
func TestIdempotent(t *testing.T) {
	s := Service{Calls: []Call{{"POST", "/jobs/new", false}, {"*", "/jobs/*", true}}}
	tests := map[string]bool{
		"GET /jobs/1": true, "POST /jobs/1": true, "POST /jobs/new": false, "GET /jobs/1/2": false,
		"GET /visits": false, "GET /jobs/..": false, "GET //jobs/1": false, "GET /jobs/": false,
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			method, path, _ := strings.Cut(name, " ")
			assert.Equal(t, s.Idempotent(method, path), want)
		})
	}
}

// Guards against a schema that editors cannot read, or that lacks a type that is written as text.
func TestSchema(t *testing.T) {
	b, err := Schema()
	assert.NilError(t, err)
	assert.Assert(t, json.Valid(b))
	for _, part := range []string{`"key-sha256"`, `"warm-up"`, `"prefill"`, `"additionalProperties": false`, "500ms"} {
		assert.Assert(t, bytes.Contains(b, []byte(part)), part)
	}
}

// Guards against files that crash the loader, and against loaded declarations that change when they are rendered and
// decoded.
func FuzzLoad(f *testing.F) {
	f.Add("", valid)
	f.Add(valid, "zones: {z1: {out: true}}\nmodels:\n  m:\n")
	f.Add("a: &x [*x]", "? - - {")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		l, err := LoadSources(Source{"b.yaml", []byte(base)}, Source{"o.yaml", []byte(overlay)})
		if err != nil {
			assert.Assert(t, fmt.Sprint(err) != "")
			return
		}
		m, shards, err := Render(l.Declarations, 1)
		assert.NilError(t, err)
		d, err := Decode(m, shards)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(d, l.Declarations), "%v %v", d, l.Declarations)
	})
}
