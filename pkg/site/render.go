package site

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

const (
	// MaxShardBytes is the maximum size of a value in the configuration service.
	MaxShardBytes = 1_000_000
	// shardTargetBytes is the target for the mean size of workspace shards. A change of one workspace transfers one
	// shard and the manifest. With 1,000 changes a day and 4 KB/s for each process, a change may transfer at most
	// 345,600 bytes, which shards near MaxShardBytes would exceed.
	shardTargetBytes = 64_000
	// maxShards limits the shards of a generation, and thereby the memory that a manifest can make a process allocate.
	maxShards = 1024
	// maxTotalBytes limits the total size of the shards to about four times the size of 44,000 workspaces.
	maxTotalBytes = 32_000_000
	// formatVersion is the version of the wire types of this package. A process refuses unknown versions.
	formatVersion = 1
	// ManifestName is the name of the manifest in the configuration service. Publish the manifest after its shards.
	ManifestName = "manifest"
)

// Digest is the SHA-256 digest of a shard or of a manifest.
type Digest [sha256.Size]byte

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

func digestOf(b []byte) Digest { return sha256.Sum256(b) }

// ShardName returns the name of a shard in the configuration service. The name is derived from the digest, so that a
// stale read cannot yield another shard, and old and new shards can exist side by side.
func ShardName(d Digest) string { return "shard-" + d.String() }

// ShardInfo describes one shard.
type ShardInfo struct {
	Digest Digest
	// Size is the length of the shard in bytes.
	Size int
}

// Manifest describes one generation.
type Manifest struct {
	// Format is the version of the encoding of the shards.
	Format     uint64
	Generation uint64
	// Shards lists the shards in order. The first holds everything except the workspaces, which are distributed over
	// the others by a hash of their name.
	Shards []ShardInfo
	// Owners holds the owner epochs of the plain services, sorted by service name.
	Owners []OwnerEpoch
	// Digest is the digest over format, generation, shards and owners. It identifies the generation.
	Digest Digest
}

// OwnerEpoch tells since which generation the set of workers that own the idempotency keys of a service is unchanged.
// Without it, the workers would hand over their keys after every change of the declarations.
type OwnerEpoch struct {
	Service string
	// Epoch is the generation in which the set of owners last changed.
	Epoch uint64
	// Previous is the epoch before Epoch, or 0 if it is unknown. In that case, a worker that adopts Epoch asks every
	// other worker for its keys.
	Previous uint64
}

func (m Manifest) computeDigest() Digest {
	b := binary.BigEndian.AppendUint64(nil, m.Format)
	b = binary.BigEndian.AppendUint64(b, m.Generation)
	for _, s := range m.Shards {
		b = append(b, s.Digest[:]...)
		b = binary.BigEndian.AppendUint64(b, uint64(s.Size))
	}
	for _, o := range m.Owners {
		b = binary.BigEndian.AppendUint64(b, uint64(len(o.Service)))
		b = append(b, o.Service...)
		b = binary.BigEndian.AppendUint64(b, o.Epoch)
		b = binary.BigEndian.AppendUint64(b, o.Previous)
	}
	return digestOf(b)
}

// check returns the problems of the manifest that can be found without its shards.
func (m Manifest) check() []Problem {
	var problems []Problem
	add := func(path, found, allowed string) {
		problems = append(problems, Problem{Path: path, Found: found, Allowed: allowed})
	}
	if m.Format != formatVersion {
		add("manifest.format", fmt.Sprint(m.Format), fmt.Sprint(formatVersion))
	}
	if m.Generation == 0 {
		add("manifest.generation", "0", "1 or more")
	}
	if n := len(m.Shards); n < 1 || n > maxShards {
		add("manifest.shards", fmt.Sprintf("%d shards", n), fmt.Sprintf("1 to %d", maxShards))
	}
	sum := 0
	for i, s := range m.Shards {
		if s.Size < 1 || s.Size > MaxShardBytes {
			add(fmt.Sprintf("manifest.shards.%d.size", i), fmt.Sprint(s.Size), fmt.Sprintf("1 to %d", MaxShardBytes))
			continue
		}
		sum += s.Size
	}
	if sum > maxTotalBytes {
		add("manifest.shards", fmt.Sprintf("%d bytes", sum), fmt.Sprintf("up to %d", maxTotalBytes))
	}
	for i, o := range m.Owners {
		if o.Epoch < 1 || o.Epoch > m.Generation || o.Previous >= o.Epoch {
			add(fmt.Sprintf("manifest.owners.%d", i), fmt.Sprintf("epoch %d after %d", o.Epoch, o.Previous),
				fmt.Sprintf("an epoch from 1 to %d and a lower one before it", m.Generation))
		}
	}
	if want := m.computeDigest(); m.Digest != want {
		add("manifest.total", m.Digest.String(), want.String())
	}
	return problems
}

// RenderOption configures Render.
type RenderOption func(*renderOptions)

type renderOptions struct {
	previousManifest Manifest
	previous         *Declarations
}

// WithPrevious sets the manifest and the declarations of the currently published generation. Owner epochs continue from
// it, and a change that would lose idempotency keys is refused.
func WithPrevious(m Manifest, d *Declarations) RenderOption {
	return func(r *renderOptions) { r.previousManifest, r.previous = m, d }
}

// Render encodes the declarations as shards and a manifest. Equal arguments give equal bytes. Invalid declarations are
// refused with KindInvalid, so that they are never published.
func Render(d *Declarations, generation uint64, opts ...RenderOption) (Manifest, [][]byte, error) {
	var r renderOptions
	for _, o := range opts {
		o(&r)
	}
	if problems := append(Validate(d), r.checkTransition(d, generation)...); len(problems) > 0 {
		return Manifest{}, nil, &Error{Op: "render", Kind: KindInvalid, Problems: problems}
	}
	siteShard, err := wireEncoder.Marshal(toWire(d))
	if err != nil {
		return Manifest{}, nil, &Error{Op: "render", Kind: KindEncoding, Err: err}
	}
	if len(siteShard) > MaxShardBytes {
		return Manifest{}, nil, &Error{Op: "render", Kind: KindTooLarge,
			Err: errors.Errorf("declarations without workspaces take %d bytes, at most %d fit", len(siteShard), MaxShardBytes)}
	}
	buckets, err := renderWorkspaces(d.Workspaces)
	if err != nil {
		return Manifest{}, nil, err
	}
	shards := append([][]byte{siteShard}, buckets...)
	m := Manifest{Format: formatVersion, Generation: generation, Owners: r.ownerEpochs(d, generation)}
	for _, s := range shards {
		m.Shards = append(m.Shards, ShardInfo{Digest: digestOf(s), Size: len(s)})
	}
	m.Digest = m.computeDigest()
	if problems := m.check(); len(problems) > 0 {
		return Manifest{}, nil, &Error{Op: "render", Kind: KindInvalid, Problems: problems}
	}
	return m, shards, nil
}

// renderWorkspaces distributes the workspaces over a power of two of shards by a hash of their name, so that a new
// workspace changes one shard. Splitting a sorted list would shift the content of all later shards.
func renderWorkspaces(workspaces map[string]*Workspace) ([][]byte, error) {
	if len(workspaces) == 0 {
		return nil, nil
	}
	type row struct {
		hash  uint64
		bytes []byte
	}
	rows := make([]row, 0, len(workspaces))
	size := 0
	for _, name := range sortedKeys(workspaces) {
		b, err := wireEncoder.Marshal(wireWorkspace(*workspaces[name]))
		if err != nil {
			return nil, &Error{Op: "render", Kind: KindEncoding, Err: err}
		}
		rows = append(rows, row{xxhash.Sum64String(name), b})
		size += len(b)
	}
	n := uint64(1)
	for int(n)*shardTargetBytes < size {
		n *= 2
	}
	for ; n < maxShards; n *= 2 {
		parts, counts := make([][]byte, n), make([]uint64, n)
		for _, r := range rows {
			i := r.hash & (n - 1)
			parts[i] = append(parts[i], r.bytes...)
			counts[i]++
		}
		largest := 0
		for i, p := range parts {
			parts[i] = append(arrayHead(counts[i]), p...)
			largest = max(largest, len(parts[i]))
		}
		if largest <= MaxShardBytes {
			return parts, nil
		}
	}
	return nil, &Error{Op: "render", Kind: KindTooLarge,
		Err: errors.Errorf("workspaces take %d bytes and do not fit into %d shards", size, maxShards)}
}

// arrayHead returns the deterministic CBOR head of an array (RFC 8949, section 4.2.1). Rows are encoded once and
// appended to it, because trying another number of shards must not encode them again.
func arrayHead(n uint64) []byte {
	const major = 4 << 5
	switch {
	case n < 24:
		return []byte{major | byte(n)}
	case n <= 0xff:
		return []byte{major | 24, byte(n)}
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16([]byte{major | 25}, uint16(n))
	}
	return binary.BigEndian.AppendUint32([]byte{major | 26}, uint32(n))
}

// Decode returns the validated declarations of a generation. It depends on its arguments only, so every process reaches
// the same result. Its errors are of KindInvalid and list the problems.
func Decode(m Manifest, shards [][]byte) (*Declarations, error) {
	d, _, err := decode(m, shards)
	return d, err
}

// decode is like Decode and also returns the locations of the workspaces in the shards.
func decode(m Manifest, shards [][]byte) (*Declarations, []rowLocation, error) {
	fail := func(problems []Problem) (*Declarations, []rowLocation, error) {
		return nil, nil, &Error{Op: "decode", Kind: KindInvalid, Problems: problems}
	}
	if problems := m.check(); len(problems) > 0 {
		return fail(problems)
	}
	if len(shards) != len(m.Shards) {
		return fail([]Problem{{Path: "shards", Found: fmt.Sprint(len(shards)), Allowed: fmt.Sprint(len(m.Shards))}})
	}
	var problems []Problem
	for i, s := range shards {
		if got := digestOf(s); got != m.Shards[i].Digest || len(s) != m.Shards[i].Size {
			problems = append(problems, Problem{Path: fmt.Sprintf("shards.%d", i),
				Found:   fmt.Sprintf("%d bytes with digest %s", len(s), got),
				Allowed: fmt.Sprintf("%d bytes with digest %s", m.Shards[i].Size, m.Shards[i].Digest)})
		}
	}
	if len(problems) > 0 {
		return fail(problems)
	}
	var body wireSite
	if err := wireDecoder.Unmarshal(shards[0], &body); err != nil {
		return fail([]Problem{malformedShard(0, err)})
	}
	d, problems := fromWire(body)
	var interned interner
	var locations []rowLocation
	for i := range shards[1:] {
		err := eachRow(shards[i+1], func(offset uint32, r wireWorkspace) {
			r.Priority = interned.intern(r.Priority)
			r.Models, r.Services = interned.internList(r.Models), interned.internList(r.Services)
			w := Workspace(r)
			insertUnique(&problems, d.Workspaces, "workspaces", w.Name, &w)
			locations = append(locations, rowLocation{shard: uint16(i + 1), offset: offset, keyPrefix: keyPrefix(w.Key), nameHash: hashName(w.Name)})
		})
		if err != nil {
			problems = append(problems, malformedShard(i+1, err))
		}
	}
	problems = append(problems, Validate(d)...)
	if len(problems) > 0 {
		return fail(problems)
	}
	return d, locations, nil
}

// eachRow calls visit for each workspace of a shard with its byte offset.
func eachRow(shard []byte, visit func(offset uint32, r wireWorkspace)) error {
	count, rest, err := decodeArrayHead(shard)
	if err != nil {
		return err
	}
	for range count {
		offset := uint32(len(shard) - len(rest))
		var r wireWorkspace
		if rest, err = wireDecoder.UnmarshalFirst(rest, &r); err != nil {
			return err
		}
		visit(offset, r)
	}
	if len(rest) > 0 {
		return errors.Errorf("%d trailing bytes after the last row", len(rest))
	}
	return nil
}

// decodeArrayHead reads an array head as arrayHead encodes it and refuses all other encodings of the same number,
// because equal declarations must have equal bytes.
func decodeArrayHead(b []byte) (n uint64, rest []byte, err error) {
	const major = 4 << 5
	size := 1
	if len(b) > 0 {
		switch b[0] {
		case major | 24:
			size = 2
		case major | 25:
			size = 3
		case major | 26:
			size = 5
		}
	}
	if len(b) < size || b[0]&0xe0 != major {
		return 0, nil, errors.New("not a CBOR array")
	}
	if size == 1 {
		n = uint64(b[0] &^ major)
	}
	for _, digit := range b[1:size] {
		n = n<<8 | uint64(digit)
	}
	if !bytes.Equal(arrayHead(n), b[:size]) {
		return 0, nil, errors.New("array head is not in its shortest form")
	}
	return n, b[size:], nil
}

func malformedShard(shard int, err error) Problem {
	return Problem{Path: fmt.Sprintf("shards.%d", shard), Found: "malformed bytes (" + err.Error() + ")",
		Allowed: fmt.Sprintf("the encoding of format %d", formatVersion)}
}

// interner deduplicates equal strings and lists of workspaces during decoding. Most of 44,000 workspaces use one of a
// few lists.
type interner struct {
	values map[string]string
	lists  map[string][]string
}

func (in *interner) intern(s string) string {
	if in.values == nil {
		in.values, in.lists = map[string]string{}, map[string][]string{}
	}
	if w, ok := in.values[s]; ok {
		return w
	}
	in.values[s] = s
	return s
}

func (in *interner) internList(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	key := ""
	for _, s := range names {
		key += fmt.Sprintf("%d:%s", len(s), s)
	}
	if l, ok := in.lists[key]; ok {
		return l
	}
	for i, s := range names {
		names[i] = in.intern(s)
	}
	in.lists[key] = names
	return names
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[string])
}

// problemsOf returns the problems of an Error of this package, or any other error as one problem.
func problemsOf(err error) []Problem {
	var e *Error
	if errors.As(err, &e) && len(e.Problems) > 0 {
		return e.Problems
	}
	return []Problem{{Found: err.Error(), Allowed: "a complete generation"}}
}
