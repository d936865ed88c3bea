package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/route"
)

var start = time.Unix(1000, 0)

func newTable(version int64) *route.Table {
	return route.NewTable(version, []route.Route{
		{Name: "all", Host: "a.example", Prefix: "/", Kind: route.Safe},
		{Name: "deep", Host: "a.example", Prefix: "/deep/er/", Kind: route.Unsafe},
		{Name: "mid", Host: "a.example", Prefix: "/deep/", Kind: route.Stream},
		{Name: "open", Host: "b.example", Prefix: "/open/", Public: true},
	}, []route.Service{{Name: "desk"}}, map[string]string{"key": "cuenca"}, route.Limits{})
}

// Guards against choosing a route with a shorter prefix than another match, and a route whose prefix matches only
// part of a path element.
func TestMatch(t *testing.T) {
	cases := map[string]struct{ host, path, want string }{
		"longest":            {"a.example", "/deep/er/x", "deep"},
		"next longest":       {"a.example", "/deep/erx", "mid"},
		"root":               {"a.example", "/deeper/", "all"},
		"host in upper case": {"A.Example", "/x", "all"},
		"prefix itself":      {"b.example", "/open/", "open"},
		"without the slash":  {"b.example", "/open", ""},
		"other host":         {"c.example", "/", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := newTable(1).Match(tc.host, tc.path); r != nil {
				got = r.Name
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

// Guards against admitting a request with a key, or denying any request, while the table in force is not proven to be
// the latest version.
func TestAdmit(t *testing.T) {
	cases := map[string]struct {
		host, path, key string
		age             time.Duration
		want            route.Admission
	}{
		"fresh":                  {"a.example", "/x", "key", time.Second, route.Admitted{Workspace: "cuenca", Version: 1}},
		"fresh, unknown key":     {"a.example", "/x", "other", time.Second, route.Denied{Reason: route.UnknownKey, Version: 1}},
		"fresh, no key":          {"a.example", "/x", "", time.Second, route.Denied{Reason: route.UnknownKey, Version: 1}},
		"fresh, no route":        {"b.example", "/x", "key", time.Second, route.Denied{Reason: route.NoRoute, Version: 1}},
		"old, key":               {"a.example", "/x", "key", 5 * time.Second, route.Unproven{Age: 5 * time.Second}},
		"old, unknown key":       {"a.example", "/x", "other", 5 * time.Second, route.Unproven{Age: 5 * time.Second}},
		"old, no route":          {"b.example", "/x", "key", 5 * time.Second, route.Unproven{Age: 5 * time.Second}},
		"old, public":            {"b.example", "/open/x", "", 5 * time.Second, route.Admitted{Version: 1}},
		"too old to deny":        {"a.example", "/x", "other", 3500 * time.Millisecond, route.Unproven{Age: 3500 * time.Millisecond}},
		"recent enough to admit": {"a.example", "/x", "key", 3500 * time.Millisecond, route.Admitted{Workspace: "cuenca", Version: 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := route.NewCurrentTable(4500 * time.Millisecond)
			assert.DeepEqual(t, c.Admit(start, tc.host, tc.path, tc.key), route.Unproven{})
			assert.Assert(t, c.Install(newTable(1)))
			c.Prove(start, 0)
			got := c.Admit(start.Add(tc.age), tc.host, tc.path, tc.key)
			if admitted, ok := got.(route.Admitted); ok {
				admitted.Route = nil
				got = admitted
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// Guards against a request that is refused after a hold because the table has not been proven meanwhile, and against one
// that is sent although a later table has withdrawn its key or its route.
func TestAdmitAgain(t *testing.T) {
	withdrawn := route.NewTable(2, []route.Route{{Name: "all", Host: "a.example", Prefix: "/"}}, nil, map[string]string{}, route.Limits{})
	cases := map[string]struct {
		table *route.Table
		host  string
		want  route.Admission
	}{
		"same table":    {newTable(1), "a.example", route.Admitted{Workspace: "cuenca", Version: 1}},
		"later table":   {newTable(2), "a.example", route.Admitted{Workspace: "cuenca", Version: 2}},
		"key withdrawn": {withdrawn, "a.example", route.Denied{Reason: route.UnknownKey, Version: 2}},
		"route gone":    {newTable(2), "b.example", route.Denied{Reason: route.NoRoute, Version: 2}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := route.NewCurrentTable(4500 * time.Millisecond)
			c.Install(newTable(1))
			c.Prove(start, 0)
			c.Install(tc.table)
			got := c.AdmitAgain(tc.host, "/x", "key")
			if admitted, ok := got.(route.Admitted); ok {
				admitted.Route = nil
				got = admitted
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// Guards against a table or a proof that is replaced by an older one.
func TestCurrentTableKeepsNewest(t *testing.T) {
	c := route.NewCurrentTable(time.Second)
	assert.Assert(t, c.Install(newTable(5)))
	assert.Assert(t, !c.Install(newTable(4)))
	assert.Assert(t, !c.Install(newTable(5)))
	assert.Assert(t, c.Install(newTable(9)))
	assert.Equal(t, c.Table().Version, int64(9))
	c.Prove(start.Add(time.Minute), 0)
	c.Prove(start, 0)
	assert.Equal(t, c.ProofAge(start.Add(time.Minute)), time.Duration(0))
	assert.Assert(t, !c.AdmitsKeys(start.Add(time.Minute+time.Second)))
}

// Guards against prefill times that leave out the attention of each token to all earlier ones.
func TestPrefillTime(t *testing.T) {
	e := &route.Engine{PrefillRate: 177000, PrefillTimePerMillionPairs: 184 * time.Microsecond}
	cases := map[string]struct {
		tokens int64
		want   time.Duration
	}{"none": {0, 0}, "short": {5000, 30 * time.Millisecond}, "long": {154000, 3051 * time.Millisecond}}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, e.PrefillTime(tc.tokens).Truncate(time.Millisecond), tc.want)
		})
	}
	var none *route.Engine
	assert.Equal(t, none.PrefillTime(5000), time.Duration(0))
}

// Guards against a proof of another gateway that is accepted although it is for another version, lies in the future, or
// covers changes of the store that this gateway has not applied.
func TestProveByPeer(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	cases := map[string]struct {
		version, revision int64
		at, now           time.Duration
		accepted          bool
	}{
		"newer proof":                  {7, 40, time.Second, 2 * time.Second, true},
		"proof of an earlier revision": {7, 39, time.Second, 2 * time.Second, true},
		"older proof":                  {7, 40, -time.Second, time.Second, false},
		"older version":                {6, 40, time.Second, 2 * time.Second, false},
		"newer version":                {8, 40, time.Second, 2 * time.Second, false},
		"proof in the future":          {7, 40, 3 * time.Second, 2 * time.Second, false},
		"changes not applied":          {7, 41, time.Second, 2 * time.Second, false},
		"own query long ago":           {7, 40, 4 * time.Second, 4400 * time.Millisecond, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := route.NewCurrentTable(4500 * time.Millisecond)
			c.Install(&route.Table{Version: 7})
			c.Prove(at(0), 40)
			assert.Equal(t, c.ProveByPeer(tc.version, tc.revision, at(tc.at), at(tc.now)), tc.accepted)
			assert.Equal(t, c.AdmitsKeys(at(4600*time.Millisecond)), tc.accepted)
		})
	}
}
