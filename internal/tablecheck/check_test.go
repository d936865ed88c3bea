package tablecheck_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/tablecheck"
)

// newTable returns a table without findings: a stream route to an engine and a public route to a plain service.
func newTable() *tablecheck.Table {
	chat := tablecheck.Route{SoleService: "llm", ShortestHeader: 70}
	chat.Route = route.Route{
		Name: "chat", Host: "chat.example", Prefix: "/v1/", Kind: route.Stream, Timeout: 15 * time.Second, Target: 250 * time.Millisecond,
		MaxGap: 250 * time.Millisecond, MaxAttempts: 2, Resumable: true,
	}
	book := tablecheck.Route{ShortestHeader: 60}
	book.Route = route.Route{
		Name: "book", Host: "book.example", Prefix: "/", Kind: route.Unsafe, Timeout: 2 * time.Second, MaxAttempts: 1, Public: true,
		Shares: []route.Share{{Service: "desk", Weight: 1}},
	}
	llm := tablecheck.Service{Engine: &tablecheck.Engine{}}
	llm.Name = "llm"
	llm.Engine.Engine = route.Engine{
		Slots: 12, KVCacheTokens: 344250, PrefillRate: 154000, UsualPrompt: 11121, UsualAnswer: 1622, PrefillChunk: 2048,
	}
	desk := tablecheck.Service{}
	desk.Name = "desk"
	one := 1
	return &tablecheck.Table{
		Version: 4, Routes: []tablecheck.Route{chat, book}, Services: []tablecheck.Service{llm, desk}, NamesWorkspaces: true,
		Limits: tablecheck.Limits{Limits: route.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}},
		Workspaces: []tablecheck.Workspace{
			{Name: "a", Keys: []tablecheck.Key{tablecheck.NewKey("key-1"), tablecheck.NewKey("key-2")}, Priority: &one},
			{Name: "b", Keys: []tablecheck.Key{tablecheck.NewKey("key-3")}},
		},
		Invalid: map[tablecheck.Place]bool{},
	}
}

// list returns the kind, part, position and field of each finding.
func list(findings []tablecheck.Finding) []string {
	var lines []string
	for _, f := range findings {
		d := tablecheck.Describe(f)
		lines = append(lines, fmt.Sprintf("%s %s %d.%d.%d.%s", d.Severity, d.Kind, d.Place.Part, d.Place.Index, d.Place.Item, d.Place.Field))
	}
	return lines
}

// Guards against tables that are published although gateways cannot use a part of them, and against findings about sound ones.
// Each case makes one change to a sound table.
func TestCheck(t *testing.T) {
	type table = tablecheck.Table
	for name, c := range map[string]struct {
		change func(t *table)
		want   string
	}{
		"sound":                  {func(*table) {}, ""},
		"no version":             {func(t *table) { t.Version = 0 }, "error missing 0.0.0.version"},
		"route without name":     {func(t *table) { t.Routes[0].Name = "" }, "error missing 1.0.0.name"},
		"route without host":     {func(t *table) { t.Routes[0].Host = "" }, "error missing 1.0.0.host"},
		"route without prefix":   {func(t *table) { t.Routes[1].Prefix = "" }, "error missing 1.1.0.prefix"},
		"route without service":  {func(t *table) { t.Routes = t.Routes[:1]; t.Services = t.Services[:1]; t.Routes[0].SoleService = "" }, "error missing 1.0.0.service, warning never-used 3.0.0.name"},
		"service without name":   {func(t *table) { t.Services = append(t.Services, tablecheck.Service{}) }, "error missing 3.2.0.name"},
		"workspace without name": {func(t *table) { t.Workspaces[1].Name = "" }, "error missing 6.1.0.name"},
		"reported by the decoder": {func(t *table) {
			t.Routes[0].Host = ""
			t.Invalid[tablecheck.Place{Part: tablecheck.RoutePart, Field: tablecheck.FieldHost}] = true
		}, ""},
		"prefix without slash":           {func(t *table) { t.Routes[0].Prefix = "/v1" }, "error invalid 1.0.0.prefix"},
		"prefix with query":              {func(t *table) { t.Routes[0].Prefix = "/v1/?a/" }, "warning never-used 1.0.0.prefix"},
		"host with wildcard":             {func(t *table) { t.Routes[0].Host = "*.example" }, "warning never-used 1.0.0.host"},
		"host with port":                 {func(t *table) { t.Routes[0].Host = "chat.example:8080" }, ""},
		"undeclared service":             {func(t *table) { t.Routes[1].Shares[0].Service = "desks" }, "error undeclared 2.1.0.service, warning never-used 3.1.0.name"},
		"two routes of a name":           {func(t *table) { t.Routes[1].Name = "chat" }, "error duplicate 1.1.0.name"},
		"two services of a name":         {func(t *table) { t.Services = append(t.Services, t.Services[1]) }, "error duplicate 3.2.0.name"},
		"two workspaces of a name":       {func(t *table) { t.Workspaces[1].Name = "a" }, "error duplicate 6.1.0.name"},
		"key of two workspaces":          {func(t *table) { t.Workspaces[1].Keys[0] = tablecheck.NewKey("key-2") }, "error duplicate 7.1.0."},
		"key twice":                      {func(t *table) { t.Workspaces[0].Keys[1] = tablecheck.NewKey("key-1") }, "warning never-used 7.0.1."},
		"empty key":                      {func(t *table) { t.Workspaces[1].Keys[0] = tablecheck.NewKey("") }, "error invalid 7.1.0."},
		"key with space":                 {func(t *table) { t.Workspaces[1].Keys[0] = tablecheck.NewKey("k ") }, "warning never-used 7.1.0."},
		"hidden route":                   {func(t *table) { t.Routes[1].Host, t.Routes[1].Prefix = "CHAT.example", "/v1/" }, "warning never-used 1.1.0."},
		"longer prefix":                  {func(t *table) { t.Routes[1].Host, t.Routes[1].Prefix = "chat.example", "/v1/x/" }, ""},
		"no share":                       {func(t *table) { t.Routes[1].Shares[0].Weight = 0 }, "warning never-used 1.1.0.shares"},
		"share beside none":              {func(t *table) { t.Routes[1].Shares = append(t.Routes[1].Shares, route.Share{Service: "llm"}) }, ""},
		"service beside shares":          {func(t *table) { t.Routes[1].SoleService = "llm" }, "warning never-used 1.1.0.service"},
		"no routes":                      {func(t *table) { t.Routes, t.Services = nil, nil }, "warning never-used 0.0.0.routes"},
		"no key and public route":        {func(t *table) { t.Workspaces[1].Keys = nil }, ""},
		"no key while all need one":      {func(t *table) { t.Routes[1].Public = false; t.Workspaces[1].Keys = nil }, "warning never-used 6.1.0."},
		"no workspace while some need":   {func(t *table) { t.Workspaces = nil }, "warning never-used 0.0.0.workspaces"},
		"no list of workspaces":          {func(t *table) { t.Workspaces, t.NamesWorkspaces = nil, false }, ""},
		"target above limit":             {func(t *table) { t.Routes[0].Target = 16 * time.Second }, "error contradiction 1.0.0.target"},
		"target without limit":           {func(t *table) { t.Routes[0].Target = 16 * time.Second; t.Routes[0].Timeout = 0 }, ""},
		"pause above limit":              {func(t *table) { t.Routes[0].MaxGap = 16 * time.Second }, "error contradiction 1.0.0.max-gap"},
		"pause without stream":           {func(t *table) { t.Routes[1].MaxGap = time.Second }, "warning never-used 1.1.0.max-gap"},
		"limit too short to send":        {func(t *table) { t.Routes[1].Timeout = 4 * time.Millisecond }, "error contradiction 1.1.0.timeout"},
		"attempts of a booking":          {func(t *table) { t.Routes[1].MaxAttempts = 2 }, "warning doubtful 1.1.0.max-attempts"},
		"attempts of a plain stream":     {func(t *table) { t.Routes[0].Resumable = false }, "warning doubtful 1.0.0.max-attempts"},
		"engine without slots":           {func(t *table) { t.Services[0].Engine.Slots = 0 }, "error missing 4.0.0.slots"},
		"memory below prompt":            {func(t *table) { t.Services[0].Engine.KVCacheTokens = 11120 }, "error contradiction 4.0.0.kv-cache"},
		"memory below prompt and answer": {func(t *table) { t.Services[0].Engine.KVCacheTokens = 12000 }, "warning doubtful 4.0.0.kv-cache"},
		"header limit that none meets":   {func(t *table) { t.Limits.HeaderBytes = 69 }, "error contradiction 5.0.0.header-bytes"},
		"body limit that none meets":     {func(t *table) { t.Limits.BodyBytes = 1 }, "error contradiction 5.0.0.body-bytes"},
		"body limit below prompt":        {func(t *table) { t.Limits.BodyBytes = 11120 }, "warning doubtful 5.0.0.body-bytes"},
		"header time that none meets":    {func(t *table) { t.Limits.HeaderTimeout = time.Millisecond }, "error contradiction 5.0.0.header-timeout"},
		"no limits":                      {func(t *table) { t.Limits = tablecheck.Limits{} }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			c.change(table)
			assert.Equal(t, strings.Join(list(tablecheck.Check(table)), ", "), c.want)
		})
	}
}

// Guards against changes that are published unseen, and against differences where there are none. Each case makes one change to
// the next version of a table; want has the differences besides that of the version.
func TestCompare(t *testing.T) {
	type table = tablecheck.Table
	timeout := tablecheck.Place{Part: tablecheck.RoutePart, Field: tablecheck.FieldTimeout}
	for name, c := range map[string]struct {
		change func(t *table)
		want   string
	}{
		"same":              {func(*table) {}, ""},
		"order of routes":   {func(t *table) { t.Routes[0], t.Routes[1] = t.Routes[1], t.Routes[0] }, ""},
		"route added":       {func(t *table) { t.Routes = append(t.Routes, t.Routes[0]); t.Routes[2].Name = "new" }, `route "new" is added`},
		"route removed":     {func(t *table) { t.Routes = t.Routes[:1] }, `route "book" is removed`},
		"time limit":        {func(t *table) { t.Routes[0].Timeout = time.Second }, "the time limit changes from 15s to 1s"},
		"route priority":    {func(t *table) { t.Routes[0].Priority = 2 }, "the priority changes from 0 to 2"},
		"kind":              {func(t *table) { t.Routes[1].Kind = route.Safe }, `the kind changes from "unsafe" to "safe"`},
		"share for service": {func(t *table) { t.Routes[0].Shares = []route.Share{{Service: "llm", Weight: 1}} }, ""},
		"case of a host":    {func(t *table) { t.Routes[0].Host = "CHAT.example" }, ""},
		"order of shares": {func(t *table) {
			t.Routes[1].Shares = []route.Share{{Service: "llm", Weight: 1}, {Service: "desk", Weight: 1}}
		}, `the split between services changes from "desk" 1 to "desk" 1, "llm" 1`},
		"weight":                  {func(t *table) { t.Routes[1].Shares[0].Weight = 2 }, `the split between services changes from "desk" 1 to "desk" 2`},
		"value not used":          {func(t *table) { t.Routes[0].Other = map[tablecheck.Field]string{"other x": "1"} }, "a value that gateways do not use changes from none to 1"},
		"service removed":         {func(t *table) { t.Services = t.Services[:1] }, `service "desk" is removed`},
		"cold rate":               {func(t *table) { t.Services[0].ColdRate = 30 }, "the rate of a cold server changes from 0 to 30"},
		"slots":                   {func(t *table) { t.Services[0].Engine.Slots = 16 }, "the number of slots changes from 12 to 16"},
		"limit removed":           {func(t *table) { t.Limits.BodyBytes = 0 }, "the limit of bodies changes from 4194304 bytes to no limit"},
		"workspace priority":      {func(t *table) { t.Workspaces[0].Priority = nil }, "the priority changes from 1 to none"},
		"key withdrawn":           {func(t *table) { t.Workspaces[0].Keys = t.Workspaces[0].Keys[:1] }, `key 7c36b0a9 of workspace "a" is removed`},
		"key added":               {func(t *table) { t.Workspaces[1].Keys = append(t.Workspaces[1].Keys, tablecheck.NewKey("k")) }, `key 8254c329 of workspace "b" is added`},
		"reported by the decoder": {func(t *table) { t.Routes[0].Timeout = 0; t.Invalid[timeout] = true }, ""},
		"key of another workspace": {
			func(t *table) {
				t.Workspaces[0].Keys, t.Workspaces[1].Keys = t.Workspaces[0].Keys[:1], append(t.Workspaces[1].Keys, t.Workspaces[0].Keys[1])
			},
			`the workspace of key 7c36b0a9 changes from "a" to "b"`,
		},
		"workspace removed": {func(t *table) { t.Workspaces = t.Workspaces[:1] }, `workspace "b" is removed; key d9ef8196 of workspace "b" is removed`},
		"list of workspaces removed": {
			func(t *table) { t.NamesWorkspaces, t.Workspaces = false, nil },
			`workspace "a" is removed; workspace "b" is removed; key be297454 of workspace "a" is removed; key 7c36b0a9 of workspace "a" is removed; ` +
				`key d9ef8196 of workspace "b" is removed; no list of workspaces, so that 1 route(s) that are not public need no key any more`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			next := newTable()
			next.Version++
			c.change(next)
			var got []string
			for _, f := range tablecheck.Compare(newTable(), next) {
				got = append(got, tablecheck.Describe(f).Found)
			}
			assert.Equal(t, got[0], "the version changes from 4 to 5")
			assert.Equal(t, strings.Join(got[1:], "; "), c.want)
		})
	}
}

// Guards against a table that gateways ignore because its version is not above the one in force.
func TestCompareVersions(t *testing.T) {
	for name, c := range map[string]struct {
		version int64
		want    string
	}{"newer": {5, "difference changed"}, "same": {4, "error not-newer"}, "older": {3, "error not-newer"}} {
		t.Run(name, func(t *testing.T) {
			next := newTable()
			next.Version = c.version
			assert.DeepEqual(t, list(tablecheck.Compare(newTable(), next)), []string{c.want + " 0.0.0.version"})
		})
	}
}

// Guards against keys in logs and messages.
func TestKeyIsNotShown(t *testing.T) {
	k := tablecheck.NewKey("secret")
	for _, format := range []string{"%v", "%+v", "%#v", "%s", "%q"} {
		assert.Assert(t, !strings.Contains(fmt.Sprintf(format, k), "secret"), format)
	}
}
