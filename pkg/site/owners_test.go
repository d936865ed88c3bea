package site

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a hand-over of keys after every change of the declarations, and against the removal of a worker that
// still owns keys.
func TestOwnerEpochs(t *testing.T) {
	tests := map[string]struct {
		change  func(*Declarations)
		want    OwnerEpoch
		wantErr bool
	}{
		"field without effect on owners": {func(d *Declarations) { d.Workers = 3 }, OwnerEpoch{"desk", 1, 0}, false},
		"zone out of service":            {func(d *Declarations) { d.Zones["b"] = Zone{Name: "b", Out: true} }, OwnerEpoch{"desk", 2, 1}, false},
		"lost worker":                    {func(d *Declarations) { setWorker(d, "w2", func(w *ServiceWorker) { w.Lost = true }) }, OwnerEpoch{"desk", 2, 1}, false},
		"changed address": {func(d *Declarations) {
			setWorker(d, "w2", func(w *ServiceWorker) { w.Address = netip.MustParseAddrPort("127.0.0.1:9") })
		}, OwnerEpoch{"desk", 2, 1}, false},
		"removed owner": {func(d *Declarations) { delete(d.Services["desk"].Workers, "w2") }, OwnerEpoch{}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before := ownerDeclarations(t)
			first, _, err := Render(before, 1)
			assert.NilError(t, err)
			after := ownerDeclarations(t)
			tt.change(after)
			second, _, err := Render(after, 2, WithPrevious(first, before))
			if tt.wantErr {
				assert.ErrorContains(t, err, "but the previous generation has it in service")
				return
			}
			assert.NilError(t, err)
			got, ok := second.ownerEpoch("desk")
			assert.Assert(t, ok)
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

func setWorker(d *Declarations, name string, change func(*ServiceWorker)) {
	w := d.Services["desk"].Workers[name]
	change(&w)
	d.Services["desk"].Workers[name] = w
}

func ownerDeclarations(t *testing.T) *Declarations {
	t.Helper()
	l, err := LoadSources(Source{Name: "base.yaml", Data: []byte(`
site: {name: s, region: r}
zones:
  a: {out: false}
  b: {out: false}
priorities:
  p: {engine: 1}
warm-up: {initial-tokens: 1, initial-requests: 1, max-requests: 1}
deadlines: {default: 1s, max: 1m}
weight-store: {loads-per-second: 1}
workers: 2
services:
  desk:
    table-size: 10
    workers:
      w1: {address: "127.0.0.1:1", zone: a}
      w2: {address: "127.0.0.1:2", zone: b}
`)}, Source{Name: "site.yaml", Data: []byte("workers: 2\n")})
	assert.NilError(t, err)
	return l.Declarations
}
