// Package publication stores rendered declarations in a folder, one file for each value of the configuration service,
// and publishes such a folder to a stand-in platform. It keeps no state; a RenderedGeneration belongs to its caller.
package publication

import (
	"io/fs"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"berylward.example/berylward/pkg/site"
)

// RenderedGeneration is a rendered generation and its declarations.
type RenderedGeneration struct {
	Manifest site.Manifest
	// Shards are in the order of the manifest.
	Shards [][]byte
	// Declarations holds the declarations that the shards encode.
	Declarations *site.Declarations
}

// Render renders declarations as a generation. With site.WithPrevious, owner epochs continue from the currently
// published generation.
func Render(d *site.Declarations, number uint64, opts ...site.RenderOption) (RenderedGeneration, error) {
	m, shards, err := site.Render(d, number, opts...)
	if err != nil {
		return RenderedGeneration{}, err
	}
	return RenderedGeneration{Manifest: m, Shards: shards, Declarations: d}, nil
}

// ProgressFunc is called after each value with the number of values done and their total.
type ProgressFunc func(done, total int)

// Write writes a generation into a folder, which must be absent or empty: a folder that mixes two generations could be
// published in part. The manifest is written last, so that an interrupted run leaves no folder that Read accepts. It
// returns an *Error of KindFolder if the folder cannot be used, and a *site.Error if the manifest cannot be encoded.
func Write(folder string, g RenderedGeneration, progress ProgressFunc) error {
	fail := func(err error) error { return &Error{Op: "write", Kind: KindFolder, Err: err} }
	entries, err := os.ReadDir(folder)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fail(err)
	}
	if len(entries) > 0 {
		return fail(errors.Errorf("%s is not empty", folder))
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fail(err)
	}
	values, err := g.values()
	if err != nil {
		return err
	}
	for i, v := range values {
		if err := os.WriteFile(filepath.Join(folder, v.name), v.data, 0o644); err != nil {
			return fail(err)
		}
		progress(i+1, len(values))
	}
	return nil
}

// Read reads a folder that Write has written and validates it as a process would. It returns an *Error of KindFolder if
// the folder is unreadable, incomplete or invalid.
func Read(folder string) (RenderedGeneration, error) {
	fail := func(err error) (RenderedGeneration, error) {
		return RenderedGeneration{}, &Error{Op: "read", Kind: KindFolder, Err: err}
	}
	encoded, err := os.ReadFile(filepath.Join(folder, site.ManifestName))
	if err != nil {
		return fail(err)
	}
	var g RenderedGeneration
	if g.Manifest, err = site.DecodeManifest(encoded); err != nil {
		return fail(errors.Wrap(err, folder))
	}
	for _, s := range g.Manifest.Shards {
		shard, err := os.ReadFile(filepath.Join(folder, site.ShardName(s.Digest)))
		if err != nil {
			return fail(err)
		}
		g.Shards = append(g.Shards, shard)
	}
	if g.Declarations, err = site.Decode(g.Manifest, g.Shards); err != nil {
		return fail(errors.Wrap(err, folder))
	}
	return g, nil
}

// namedValue is one value of the configuration service.
type namedValue struct {
	name string
	data []byte
}

// values returns the values in the order of publication. The manifest is last, because a process that reads it fetches
// its shards immediately.
func (g RenderedGeneration) values() ([]namedValue, error) {
	var values []namedValue
	for i, shard := range g.Shards {
		values = append(values, namedValue{site.ShardName(g.Manifest.Shards[i].Digest), shard})
	}
	encoded, err := g.Manifest.Encode()
	if err != nil {
		return nil, err
	}
	return append(values, namedValue{site.ManifestName, encoded}), nil
}
