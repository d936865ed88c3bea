package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/answer"
)

// maxCacheBytes bounds the encoded cache of one segment. The engine client has the same limit.
const maxCacheBytes = 64 << 20

// handleCache serves the cache of a segment to the sidecar of a later member. The engine exports the cache again for
// each reader, so that this process keeps no copy.
func (s *Sidecar) handleCache(w http.ResponseWriter, r *http.Request) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		http.Error(w, "want a token", http.StatusUnauthorized)
		return
	}
	reply := make(chan string, 1)
	s.events.Put(cacheTokenUsed{token: token, reply: reply})
	var id string
	select {
	case id = <-reply:
	case <-r.Context().Done():
		return
	case <-s.tomb.Dying():
	}
	if id == "" {
		http.Error(w, "the token is not valid", http.StatusForbidden)
		return
	}
	cache, err := s.client.ExportCache(r.Context(), engine.ExportRequest{ID: id})
	if err != nil {
		s.metrics.Add("cache-exports-failed", 1)
		s.log.Info("cannot export cache", "id", id, "error", err.Error())
		http.Error(w, "the engine did not export the cache", http.StatusBadGateway)
		return
	}
	s.metrics.Add("cache-exports", 1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(cache)
}

// importCaches fetches the cache of each source and imports it into the engine, in the order of the prompt.
func (s *Sidecar) importCaches(ctx context.Context, id answer.ID, sources []link.CacheSource) cachesImported {
	imports := cachesImported{id: id}
	for n, source := range sources {
		cache, err := s.fetchCache(ctx, source)
		if err != nil {
			return cachesImported{id: id, failedSource: n + 1, err: err}
		}
		imported, err := s.client.ImportCache(ctx, cache)
		if err != nil {
			return cachesImported{id: id, err: err}
		}
		imports.handles = append(imports.handles, imported.Handle)
		imports.coveredTokens += cache.End - cache.Start
		imports.heldTokens += imported.Tokens
	}
	return imports
}

func (s *Sidecar) fetchCache(ctx context.Context, source link.CacheSource) (engine.ExportedCache, error) {
	body, err := link.FetchCache(ctx, source, s.linkOptions...)
	if err != nil {
		return engine.ExportedCache{}, err
	}
	defer func() { _ = body.Close() }()
	var cache engine.ExportedCache
	if err := json.NewDecoder(io.LimitReader(body, maxCacheBytes)).Decode(&cache); err != nil {
		return engine.ExportedCache{}, errors.Wrap(err, "decode cache")
	}
	return cache, nil
}
