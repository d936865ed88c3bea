package site

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// The wire types below are the only encoded form of declarations. Every list is sorted by name or kept in declared
// order, and no field is a map, so that equal declarations have equal bytes.

// wireSite is the content of the first shard: everything except the workspaces.
type wireSite struct {
	Site        wireIdentity   `cbor:"site"`
	Zones       []wireZone     `cbor:"zones"`
	Models      []wireModel    `cbor:"models,omitempty"`
	Priorities  []wirePriority `cbor:"priorities"`
	Classes     wireClasses    `cbor:"classes"`
	Services    []wireService  `cbor:"services,omitempty"`
	WarmUp      wireWarmUp     `cbor:"warm-up"`
	Deadlines   wireDeadlines  `cbor:"deadlines"`
	Quarantine  time.Duration  `cbor:"quarantine"`
	StoreLoads  float64        `cbor:"loads-per-second"`
	WorkerCount int            `cbor:"workers"`
}

type wireIdentity struct {
	Name   string `cbor:"name"`
	Region string `cbor:"region"`
}

type wireZone struct {
	Name string `cbor:"name"`
	Out  bool   `cbor:"out,omitempty"`
}

type wireModel struct {
	Name                   string   `cbor:"name"`
	Version                string   `cbor:"version"`
	Versions               []string `cbor:"versions"`
	Adapters               []string `cbor:"adapters,omitempty"`
	Role                   Role     `cbor:"role"`
	Workers                int      `cbor:"workers,omitempty"`
	MemoryTokens           int64    `cbor:"memory-tokens"`
	HeadroomPercent        int      `cbor:"headroom-percent"`
	PrefillTokensPerSecond int64    `cbor:"prefill-tokens-per-second"`
	DecodeTokensPerSecond  int64    `cbor:"decode-tokens-per-second"`
	BytesPerToken          float64  `cbor:"bytes-per-token"`
	MaxPromptTokens        int64    `cbor:"max-prompt-tokens"`
}

type wirePriority struct {
	Name   string `cbor:"name"`
	Engine int    `cbor:"engine"`
	Weight int    `cbor:"weight"`
}

type wireClasses struct {
	ShortTokens         int64 `cbor:"short-tokens"`
	MediumTokens        int64 `cbor:"medium-tokens"`
	ShortReservePercent int   `cbor:"short-reserve-percent"`
}

type wireService struct {
	Name        string        `cbor:"name"`
	Calls       []wireCall    `cbor:"calls,omitempty"`
	KeyLifetime time.Duration `cbor:"key-life"`
	ClockSkew   time.Duration `cbor:"clock-skew"`
	TableSize   int           `cbor:"table-size"`
	Workers     []wireWorker  `cbor:"workers"`
}

type wireCall struct {
	Method     string `cbor:"method"`
	Path       string `cbor:"path"`
	Idempotent bool   `cbor:"idempotent,omitempty"`
}

type wireWorker struct {
	Name    string         `cbor:"name"`
	Address netip.AddrPort `cbor:"address"`
	Zone    string         `cbor:"zone"`
	Lost    bool           `cbor:"lost,omitempty"`
}

type wireWarmUp struct {
	InitialTokens   int64 `cbor:"initial-tokens"`
	InitialRequests int   `cbor:"initial-requests"`
	MaxRequests     int   `cbor:"max-requests"`
	GrowthPercent   int   `cbor:"growth-percent"`
	ColdPercent     int   `cbor:"cold-percent"`
}

type wireDeadlines struct {
	Default time.Duration `cbor:"default"`
	Max     time.Duration `cbor:"max"`
}

// wireWorkspace is one row of the shards after the first.
type wireWorkspace struct {
	Name            string    `cbor:"name"`
	Key             KeyDigest `cbor:"key-sha256"`
	Priority        string    `cbor:"priority"`
	TokensPerSecond int64     `cbor:"tokens-per-second"`
	Burst           int64     `cbor:"burst"`
	Models          []string  `cbor:"models,omitempty"`
	Services        []string  `cbor:"services,omitempty"`
}

// wireManifest is the encoded form of a Manifest.
type wireManifest struct {
	Format     uint64      `cbor:"format"`
	Generation uint64      `cbor:"generation"`
	Shards     []wireShard `cbor:"shards"`
	Owners     []wireOwner `cbor:"owners,omitempty"`
	Digest     Digest      `cbor:"total"`
}

type wireOwner struct {
	Service  string `cbor:"service"`
	Epoch    uint64 `cbor:"epoch"`
	Previous uint64 `cbor:"previous,omitempty"`
}

type wireShard struct {
	Digest Digest `cbor:"digest"`
	Size   int    `cbor:"size"`
}

var (
	wireEncoder = func() cbor.EncMode {
		o := cbor.CoreDetEncOptions()
		o.TextMarshaler = cbor.TextMarshalerTextString
		// Without this, addresses would be encoded as opaque bytes.
		o.BinaryMarshaler = cbor.BinaryMarshalerNone
		return must(o.EncMode())
	}()
	// wireDecoder refuses all input that the encoder never produces. The limits on elements and nesting keep a
	// malformed shard from using more memory than its size justifies.
	wireDecoder = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		UTF8:              cbor.UTF8RejectInvalid,
		NaN:               cbor.NaNDecodeForbidden,
		Inf:               cbor.InfDecodeForbidden,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		TextUnmarshaler:   cbor.TextUnmarshalerTextString,
		BinaryUnmarshaler: cbor.BinaryUnmarshalerNone,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   8,
		MaxArrayElements:  1 << 20,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the encoded manifest.
func (m Manifest) Encode() ([]byte, error) {
	w := wireManifest{Format: m.Format, Generation: m.Generation, Digest: m.Digest}
	for _, s := range m.Shards {
		w.Shards = append(w.Shards, wireShard(s))
	}
	for _, o := range m.Owners {
		w.Owners = append(w.Owners, wireOwner(o))
	}
	b, err := wireEncoder.Marshal(w)
	if err != nil {
		return nil, &Error{Op: "render", Kind: KindEncoding, Err: err}
	}
	return b, nil
}

// DecodeManifest decodes a manifest that Manifest.Encode has encoded. It also checks the digest over the manifest.
func DecodeManifest(b []byte) (Manifest, error) {
	var w wireManifest
	if len(b) > MaxShardBytes {
		return Manifest{}, &Error{Op: "decode", Kind: KindTooLarge}
	}
	if err := wireDecoder.Unmarshal(b, &w); err != nil {
		return Manifest{}, &Error{Op: "decode", Kind: KindEncoding, Err: err}
	}
	m := Manifest{Format: w.Format, Generation: w.Generation, Digest: w.Digest}
	for _, s := range w.Shards {
		m.Shards = append(m.Shards, ShardInfo(s))
	}
	for _, o := range w.Owners {
		m.Owners = append(m.Owners, OwnerEpoch(o))
	}
	if problems := m.check(); len(problems) > 0 {
		return Manifest{}, &Error{Op: "decode", Kind: KindInvalid, Problems: problems}
	}
	return m, nil
}

// toWire returns the content of the first shard.
func toWire(d *Declarations) wireSite {
	w := wireSite{
		Site:        wireIdentity(d.Site),
		Classes:     wireClasses(d.Classes),
		WarmUp:      wireWarmUp(d.WarmUp),
		Deadlines:   wireDeadlines(d.Deadlines),
		Quarantine:  d.Suspects.Quarantine,
		StoreLoads:  d.WeightStore.LoadsPerSecond,
		WorkerCount: d.Workers,
	}
	for _, k := range sortedKeys(d.Zones) {
		w.Zones = append(w.Zones, wireZone{Name: k, Out: d.Zones[k].Out})
	}
	for _, k := range sortedKeys(d.Models) {
		w.Models = append(w.Models, wireModel(d.Models[k]))
	}
	for _, k := range sortedKeys(d.Priorities) {
		w.Priorities = append(w.Priorities, wirePriority(d.Priorities[k]))
	}
	for _, k := range sortedKeys(d.Services) {
		v := d.Services[k]
		s := wireService{Name: k, KeyLifetime: v.KeyLifetime, ClockSkew: v.ClockSkew, TableSize: v.TableSize}
		for _, c := range v.Calls {
			s.Calls = append(s.Calls, wireCall(c))
		}
		for _, wk := range sortedKeys(v.Workers) {
			s.Workers = append(s.Workers, wireWorker(v.Workers[wk]))
		}
		w.Services = append(w.Services, s)
	}
	return w
}

// fromWire converts the content of the first shard. Duplicate names are returned as problems, because a map would
// silently keep one of the entries.
func fromWire(w wireSite) (*Declarations, []Problem) {
	var problems []Problem
	d := &Declarations{
		Site:        Identity(w.Site),
		Zones:       map[string]Zone{},
		Models:      map[string]Model{},
		Priorities:  map[string]Priority{},
		Classes:     Classes(w.Classes),
		Workspaces:  map[string]*Workspace{},
		Services:    map[string]Service{},
		WarmUp:      WarmUp(w.WarmUp),
		Deadlines:   Deadlines(w.Deadlines),
		Suspects:    Suspects{Quarantine: w.Quarantine},
		WeightStore: WeightStore{LoadsPerSecond: w.StoreLoads},
		Workers:     w.WorkerCount,
	}
	for _, z := range w.Zones {
		insertUnique(&problems, d.Zones, "zones", z.Name, Zone(z))
	}
	for _, m := range w.Models {
		insertUnique(&problems, d.Models, "models", m.Name, Model(m))
	}
	for _, p := range w.Priorities {
		insertUnique(&problems, d.Priorities, "priorities", p.Name, Priority(p))
	}
	for _, s := range w.Services {
		v := Service{Name: s.Name, KeyLifetime: s.KeyLifetime, ClockSkew: s.ClockSkew, TableSize: s.TableSize,
			Workers: map[string]ServiceWorker{}}
		for _, c := range s.Calls {
			v.Calls = append(v.Calls, Call(c))
		}
		for _, x := range s.Workers {
			insertUnique(&problems, v.Workers, "services."+s.Name+".workers", x.Name, ServiceWorker(x))
		}
		insertUnique(&problems, d.Services, "services", s.Name, v)
	}
	return d, problems
}

func insertUnique[V any](problems *[]Problem, m map[string]V, path, name string, v V) {
	if _, ok := m[name]; ok {
		*problems = append(*problems, Problem{Path: path + "." + name, Found: "a duplicate name", Allowed: "unique names"})
		return
	}
	m[name] = v
}
