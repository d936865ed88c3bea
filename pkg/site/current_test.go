package site

import (
	"bytes"
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// withWorkspaces returns the example declarations with n additional workspaces.
func withWorkspaces(t testing.TB, n int) *Declarations {
	d := loadExample(t, "cuenca").Declarations
	for i := range n {
		name := fmt.Sprintf("workspace-%05d", i)
		d.Workspaces[name] = &Workspace{Name: name, Key: NewKeyDigest(name), Priority: "office", TokensPerSecond: 20_000,
			Burst: int64(100_000 + i), Models: []string{"office-8b", "ledger-32b"}, Services: []string{"booking-desk"}}
	}
	return d
}

func render(t testing.TB, d *Declarations, generation uint64) Generation {
	t.Helper()
	m, shards, err := Render(d, generation)
	assert.NilError(t, err)
	return Generation{m, shards}
}

// Guards against shards larger than the configuration service accepts, encodings that differ between runs, and small
// changes that transfer many bytes.
func TestRenderTarget(t *testing.T) {
	const workspaceCount = 44_000 // the number expected in two years
	d := withWorkspaces(t, workspaceCount)
	started := time.Now()
	g := render(t, d, 1)
	t.Logf("rendered %d workspaces into %d shards in %s", workspaceCount, len(g.Shards), time.Since(started))
	for i, s := range g.Shards {
		assert.Assert(t, len(s) < MaxShardBytes, "shard %d: %d bytes", i, len(s))
	}
	encoded, err := g.Manifest.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) < MaxShardBytes)
	m, err := DecodeManifest(encoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, m, g.Manifest)
	decoded, err := Decode(m, g.Shards)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(decoded, d))

	d.Workspaces["workspace-00007"].Burst++
	next := render(t, d, 2)
	changedBytes := 0
	for i, s := range next.Shards {
		if !bytes.Equal(s, g.Shards[i]) {
			changedBytes += len(s)
		}
	}
	// The budget is 4 KB/s for a process, divided by 1,000 changes a day.
	assert.Assert(t, changedBytes+len(encoded) < 345_600, "a change moves %d bytes", changedBytes+len(encoded))
}

// Guards against a generation that reverts to an older one, is applied in part, or is replaced under the same number.
func TestInstall(t *testing.T) {
	d := withWorkspaces(t, 1000)
	first, third := render(t, d, 1), render(t, d, 3)
	d.Zones["banos"] = Zone{Name: "banos", Out: true}
	sameNumber, fourth := render(t, d, 3), render(t, d, 4)
	withoutShards := func(g Generation, missing ...int) Generation {
		g.Shards = append([][]byte{}, g.Shards...)
		for _, i := range missing {
			g.Shards[i] = nil
		}
		return g
	}
	modified := func(change func(m *Manifest, shards [][]byte)) Generation {
		g := withoutShards(fourth)
		g.Manifest.Shards = append([]ShardInfo{}, g.Manifest.Shards...)
		change(&g.Manifest, g.Shards)
		return g
	}
	// withFirstShard replaces the first shard and makes the manifest match.
	withFirstShard := func(shard []byte) Generation {
		return modified(func(m *Manifest, shards [][]byte) {
			shards[0] = shard
			m.Shards[0] = ShardInfo{digestOf(shard), len(shard)}
			m.Digest = m.computeDigest()
		})
	}
	tests := map[string]struct {
		offered    Generation
		want       InstallResult
		problem    string
		wantNumber uint64
	}{
		"higher number":                    {offered: fourth, want: Accepted{}, wantNumber: 4},
		"same generation":                  {offered: third, want: Stale{3}, wantNumber: 3},
		"lower number":                     {offered: first, want: Stale{3}, wantNumber: 3},
		"same number, other content":       {offered: sameNumber, want: Invalid{}, problem: "manifest.total", wantNumber: 3},
		"shards of the current generation": {offered: withoutShards(fourth, 1, 2, 3), want: Accepted{}, wantNumber: 4},
		"missing shard":                    {offered: withoutShards(fourth, 0), want: Incomplete{[]int{0}}, wantNumber: 3},
		"no shards":                        {offered: Generation{Manifest: fourth.Manifest}, want: Incomplete{[]int{0}}, wantNumber: 3},
		"corrupt shard":                    {offered: modified(func(_ *Manifest, s [][]byte) { s[0] = []byte{1} }), want: Incomplete{[]int{0}}, wantNumber: 3},
		"unknown format":                   {offered: modified(func(m *Manifest, _ [][]byte) { m.Format = 9 }), want: Invalid{}, problem: "manifest.format", wantNumber: 3},
		"corrupt manifest":                 {offered: modified(func(m *Manifest, _ [][]byte) { m.Generation = 9 }), want: Invalid{}, problem: "manifest.total", wantNumber: 3},
		"malformed shard":                  {offered: withFirstShard([]byte{0xff}), want: Invalid{}, problem: "shards.0", wantNumber: 3},
		"violated rule":                    {offered: withFirstShard(bytes.Replace(fourth.Shards[0], []byte("office-8b"), []byte("office-8x"), 1)), want: Invalid{}, problem: "workspaces.app.models.0", wantNumber: 3},
		"shard larger than 1 MB":           {offered: modified(func(m *Manifest, _ [][]byte) { m.Shards[0].Size = MaxShardBytes + 1; m.Digest = m.computeDigest() }), want: Invalid{}, problem: "manifest.shards.0.size", wantNumber: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			current := NewCurrentGeneration()
			_, ok := current.Install(third).(Accepted)
			assert.Assert(t, ok)
			changed := current.Changed()
			got := current.Install(tt.offered)
			assert.Equal(t, current.Snapshot().Number(), tt.wantNumber)
			refusal, refused := current.LastRefusal()
			switch a := got.(type) {
			case Accepted:
				_, open := <-changed
				assert.Assert(t, !open && reflect.TypeOf(tt.want) == reflect.TypeOf(got))
				assert.Assert(t, a.Snapshot.ZoneOut("banos") && a.Snapshot.ZoneOut("nowhere") && !a.Snapshot.ZoneOut("el-centro"))
				// A peer that receives the current generation accepts it too.
				_, ok := NewCurrentGeneration().Install(current.Snapshot().Generation).(Accepted)
				assert.Assert(t, ok)
			case Invalid:
				assert.Assert(t, reflect.TypeOf(tt.want) == reflect.TypeOf(got), "%v", a)
				assert.Equal(t, a.Problems[0].Path, tt.problem)
				assert.Assert(t, refused && refusal.Generation == tt.offered.Manifest.Generation)
				assert.DeepEqual(t, refusal.Problems, a.Problems)
				_, ok := current.Install(fourth).(Accepted)
				assert.Assert(t, ok, "a refusal blocks the next generation")
				_, refused = current.LastRefusal()
				assert.Assert(t, !refused)
			case Stale, Incomplete:
				assert.DeepEqual(t, got, tt.want)
				assert.Assert(t, !refused)
			}
		})
	}
}

// Guards against a generation number that decreases while many goroutines offer generations at once.
func TestInstallConcurrent(t *testing.T) {
	d := loadExample(t, "szczelnik").Declarations
	current := NewCurrentGeneration()
	var wg sync.WaitGroup
	for n := range uint64(8) {
		g := render(t, d, n+1)
		wg.Go(func() {
			for range 20 {
				current.Install(g)
				assert.Check(t, current.Snapshot().Number() >= n+1)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, current.Snapshot().Number(), uint64(8))
}

// Guards against effects of a change that are not reported to the operator.
func TestDiff(t *testing.T) {
	tests := map[string]struct {
		change func(d *Declarations)
		want   []string
	}{
		"no change": {func(*Declarations) {}, nil},
		"zone out of service": {func(d *Declarations) { d.Zones["banos"] = Zone{"banos", true} }, []string{
			"services.booking-desk: booking-desk-banos hands all its keys over to booking-desk-el-centro, booking-desk-totoracocha",
			"services.booking-desk: owners of keys change from [booking-desk-banos, booking-desk-el-centro, booking-desk-totoracocha] to [booking-desk-el-centro, booking-desk-totoracocha]; keys that move are refused until handed over",
			"zones.banos: is taken out: it drains, gets no new work, and running work finishes"}},
		"limit and access": {func(d *Declarations) {
			w := d.Workspaces["app"]
			w.TokensPerSecond, w.Models = 9, []string{"ledger-32b"}
		}, []string{"workspaces.app.models: gains access to ledger-32b", "workspaces.app.models: loses access to office-8b",
			"workspaces.app.tokens-per-second: limit changes from 20000 to 9 tokens/s"}},
		"version": {func(d *Declarations) {
			m := d.Models["office-8b"]
			m.Version = "2026-03"
			d.Models["office-8b"] = m
		}, []string{"models.office-8b.version: changes from 2026-05 to 2026-03: 20 workers load it, spread over about 10s"}},
		"deadline": {func(d *Declarations) { d.Deadlines.Max = time.Hour }, []string{"deadlines.max: changes from 30m0s to 1h0m0s"}},
		"worker lost": {func(d *Declarations) {
			w := d.Services["booking-desk"].Workers["booking-desk-banos"]
			w.Lost = true
			d.Services["booking-desk"].Workers[w.Name] = w
		}, []string{"services.booking-desk: owners of keys change", "services.booking-desk.workers.booking-desk-banos.lost: is declared lost"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			next := loadExample(t, "cuenca").Declarations
			tt.change(next)
			got := Diff(loadExample(t, "cuenca").Declarations, next)
			assert.Equal(t, len(got), len(tt.want), "%v", got)
			for i, c := range got {
				assert.Assert(t, strings.HasPrefix(c.String(), tt.want[i]), "%s", c)
			}
		})
	}
}

// Guards against shards from a peer that crash a process, or that are accepted although they are invalid.
func FuzzDecode(f *testing.F) {
	g := render(f, withWorkspaces(f, 3), 1)
	f.Add(g.Shards[0], g.Shards[1])
	f.Add([]byte{0xa0}, []byte{0x80})
	f.Fuzz(func(t *testing.T, head, rows []byte) {
		m := Manifest{Format: formatVersion, Generation: 1}
		for _, s := range [][]byte{head, rows} {
			m.Shards = append(m.Shards, ShardInfo{digestOf(s), len(s)})
		}
		m.Digest = m.computeDigest()
		d, err := Decode(m, [][]byte{head, rows})
		if err != nil {
			return
		}
		rendered := render(t, d, 1)
		decoded, err := Decode(rendered.Manifest, rendered.Shards)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(decoded, d))
	})
}

// Measures the cost of a change at the target size. The limits are one second for rendering and 32 MB for a process.
func BenchmarkTarget(b *testing.B) {
	d := withWorkspaces(b, 44_000)
	g := render(b, d, 1)
	b.Run("render", func(b *testing.B) {
		for b.Loop() {
			render(b, d, 1)
		}
	})
	d.Workspaces["workspace-00007"].Burst++
	next := render(b, d, 2)
	b.Run("install first", func(b *testing.B) {
		for b.Loop() {
			NewCurrentGeneration().Install(g)
		}
	})
	b.Run("install change", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			current := NewCurrentGeneration()
			current.Install(g)
			b.StartTimer()
			current.Install(next)
		}
	})
	b.Run("memory", func(b *testing.B) {
		heapMB := func() float64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			return float64(m.HeapAlloc) / 1e6
		}
		for b.Loop() {
			before := heapMB()
			current := NewCurrentGeneration()
			current.Install(g)
			oneGeneration := heapMB()
			// A caller that still reads the previous generation keeps it in memory.
			previous := current.Snapshot()
			_, ok := current.Install(next).(Accepted)
			assert.Assert(b, ok)
			twoGenerations := heapMB()
			assert.Assert(b, previous.Number() < current.Snapshot().Number())
			b.ReportMetric(oneGeneration-before, "MB-one")
			b.ReportMetric(twoGenerations-before, "MB-two")
		}
		shards := 0
		for _, s := range g.Shards {
			shards += len(s)
		}
		b.ReportMetric(float64(shards)/1e6, "MB-shards")
	})
}
