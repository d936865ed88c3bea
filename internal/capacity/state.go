package capacity

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"github.com/google/uuid"

	"berylward.example/berylward/examples"
	"berylward.example/berylward/internal/booking"
	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/pkg/site"
)

// exampleDeclarations returns the declarations of the Cuenca example.
func exampleDeclarations() (*site.Declarations, error) {
	base, err := examples.Source("", "base.yaml")
	if err != nil {
		return nil, err
	}
	overlay, err := examples.Source("", "cuenca/site.yaml")
	if err != nil {
		return nil, err
	}
	loaded, err := site.LoadSources(base, overlay)
	if err != nil {
		return nil, err
	}
	return loaded.Declarations, nil
}

// declareWorkspaces returns the declarations of the Cuenca example with n workspaces instead of its own. If changed is
// set, the rate of one workspace differs.
func declareWorkspaces(n int, changed bool) (*site.Declarations, error) {
	d, err := exampleDeclarations()
	if err != nil {
		return nil, err
	}
	d.Workspaces = map[string]*site.Workspace{}
	for i := range n {
		name := fmt.Sprintf("workspace-%05d", i)
		d.Workspaces[name] = &site.Workspace{
			Name: name, Key: site.NewKeyDigest(name), Priority: "office", TokensPerSecond: 4000, Burst: 100_000,
			Models: []string{"office-8b", "ledger-32b"}, Services: []string{"booking-desk"},
		}
	}
	if changed {
		d.Workspaces["workspace-00000"].TokensPerSecond++
	}
	return d, nil
}

// measureWorkspaces installs a generation with size workspaces, and then one that changes a single workspace.
func measureWorkspaces(_ context.Context, size int, _ time.Duration) (map[string]float64, error) {
	first, second, err := twoGenerations(size)
	if err != nil {
		return nil, &Error{Op: "workspaces", Kind: KindSetup, Err: err}
	}
	shardBytes := 0
	for _, s := range first.Shards {
		shardBytes += len(s)
	}
	fetched := fetchedBytes(first, second)
	before := liveMemory()
	current := site.NewCurrentGeneration()
	cpu := cpuTime()
	current.Install(first)
	firstInstall := cpuTime() - cpu
	heldBytes := liveMemory() - before
	cpu = cpuTime()
	current.Install(second)
	change := cpuTime() - cpu
	runtime.KeepAlive(current)
	return map[string]float64{
		"first take, CPU ms":          float64(firstInstall.Milliseconds()),
		"change, CPU ms":              float64(change.Milliseconds()),
		"change, bytes moved":         float64(fetched),
		"held beside shards, bytes":   heldBytes,
		"held shards, bytes":          float64(shardBytes),
		"change, share of shards (%)": 100 * float64(fetched) / float64(shardBytes),
	}, nil
}

func twoGenerations(size int) (first, second site.Generation, err error) {
	d, err := declareWorkspaces(size, false)
	if err != nil {
		return first, second, err
	}
	m, shards, err := site.Render(d, 1)
	if err != nil {
		return first, second, err
	}
	first = site.Generation{Manifest: m, Shards: shards}
	changed, err := declareWorkspaces(size, true)
	if err != nil {
		return first, second, err
	}
	m, shards, err = site.Render(changed, 2, site.WithPrevious(m, d))
	return first, site.Generation{Manifest: m, Shards: shards}, err
}

// fetchedBytes returns the bytes that a process fetches for the second generation: its manifest and changed shards.
func fetchedBytes(first, second site.Generation) int {
	held := map[site.Digest]bool{}
	for _, s := range first.Manifest.Shards {
		held[s.Digest] = true
	}
	encoded, err := second.Manifest.Encode()
	if err != nil {
		return 0
	}
	fetched := len(encoded)
	for i, s := range second.Manifest.Shards {
		if !held[s.Digest] {
			fetched += len(second.Shards[i])
		}
	}
	return fetched
}

// measureInstances decodes an instance list of the given size and updates a view with it. A quarter of the instances
// are entries.
func measureInstances(_ context.Context, size int, _ time.Duration) (map[string]float64, error) {
	list := newInstanceList(size)
	text, err := json.Marshal(list)
	if err != nil {
		return nil, &Error{Op: "instances", Kind: KindSetup, Err: err}
	}
	var compressed bytes.Buffer
	z := gzip.NewWriter(&compressed)
	if _, err := z.Write(text); err != nil {
		return nil, &Error{Op: "instances", Kind: KindSetup, Err: err}
	}
	if err := z.Close(); err != nil {
		return nil, &Error{Op: "instances", Kind: KindSetup, Err: err}
	}
	before := liveMemory()
	view := fleet.NewView(fleet.Instance{Name: "entry-0", Zone: "zone-0", Role: fleet.RoleEntry}, rand.NewPCG(1, 1))
	cpu := cpuTime()
	var decoded platformclient.InstanceList
	if err := json.Unmarshal(text, &decoded); err != nil {
		return nil, &Error{Op: "instances", Kind: KindSetup, Err: err}
	}
	view.Update(time.Now(), toFleetInstances(decoded))
	links := len(view.Subset())
	cpuUsed := cpuTime() - cpu
	heldBytes := liveMemory() - before
	runtime.KeepAlive(view)
	return map[string]float64{
		"list, bytes":         float64(len(text)),
		"list packed, bytes":  float64(compressed.Len()),
		"update, CPU ms":      float64(cpuUsed.Microseconds()) / 1000,
		"held, bytes":         heldBytes,
		"links of this entry": float64(links),
	}, nil
}

func newInstanceList(size int) platformclient.InstanceList {
	list := platformclient.InstanceList{Version: 1}
	for i := range size {
		instance := platformclient.Instance{
			Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("zone-%d", i/4%6), Region: fmt.Sprintf("region-%d", i/4%3),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400), Role: platformclient.RoleEntry,
		}
		if i%4 != 0 {
			// Each entry is followed by three engines in different zones.
			instance.Name, instance.Role = fmt.Sprintf("engine-%d", i), platformclient.RoleSidecar
			instance.Zone = fmt.Sprintf("zone-%d", i%6)
			instance.Models = []string{fmt.Sprintf("model-%d", i%7)}
		}
		list.Instances = append(list.Instances, instance)
	}
	return list
}

func toFleetInstances(list platformclient.InstanceList) []fleet.Instance {
	var instances []fleet.Instance
	for _, i := range list.Instances {
		role := fleet.RoleEngine
		if i.Role == platformclient.RoleEntry {
			role = fleet.RoleEntry
		}
		instances = append(instances, fleet.Instance{
			Name: i.Name, Address: i.Address, Zone: i.Zone, Region: i.Region, Role: role, Models: i.Models,
		})
	}
	return instances
}

// answerBytes is the length of each stored booking answer, which is the length of a confirmation.
const answerBytes = 200

// measureKeys fills an at-most-once table with size keys whose calls have run.
func measureKeys(_ context.Context, size int, _ time.Duration) (map[string]float64, error) {
	now := time.Now()
	before := liveMemory()
	table, err := booking.New(booking.Config{
		Service: "booking-desk", Worker: "w1", Incarnation: uuid.New(), Start: now.Add(-48 * time.Hour),
	}, booking.WithMemoryLimit(1<<30))
	if err != nil {
		return nil, &Error{Op: "keys", Kind: KindSetup, Err: err}
	}
	table.Adopt(now, booking.Ownership{Epoch: 1, Workers: []booking.Worker{{Name: "w1", InService: true}}})
	cpu := cpuTime()
	for i := range size {
		call := booking.Call{Workspace: "counter", Key: fmt.Sprintf("key-%d", i)}
		run, ok := table.Offer(now, call).(booking.Run)
		if !ok {
			return nil, &Error{Op: "keys", Kind: KindSetup, Err: fmt.Errorf("call of key %d did not run", i)}
		}
		table.Complete(now, run.Name, booking.Answer{Status: 201, ContentType: "application/json", Body: make([]byte, answerBytes)})
	}
	cpuUsed := cpuTime() - cpu
	heldBytes := liveMemory() - before
	runtime.KeepAlive(table)
	return map[string]float64{
		"held, bytes":       heldBytes,
		"all keys, CPU ms":  float64(cpuUsed.Microseconds()) / 1000,
		"counted by limits": float64(table.UsedBytes()),
	}, nil
}
