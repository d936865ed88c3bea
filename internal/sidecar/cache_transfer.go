package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/answer"
)

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
	buffer := s.budgets.caches.NewBuffer()
	defer buffer.Release()
	cache, err := s.client.ExportCache(r.Context(), engine.ExportRequest{ID: id}, buffer)
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
	buffer := s.budgets.caches.NewBuffer()
	defer buffer.Release()
	for n, source := range sources {
		cache, err := s.fetchCache(ctx, source, buffer)
		if err != nil {
			return cachesImported{id: id, failedSource: n + 1, err: err}
		}
		imported, err := s.client.ImportCache(ctx, cache)
		if err != nil {
			return cachesImported{id: id, err: err}
		}
		buffer.Release()
		imports.handles = append(imports.handles, imported.Handle)
		imports.coveredTokens += cache.End - cache.Start
		imports.heldTokens += imported.Tokens
	}
	return imports
}

// fetchCache fetches a cache from another sidecar. The buffer holds what was received.
func (s *Sidecar) fetchCache(ctx context.Context, source link.CacheSource, buffer *body.Buffer) (engine.ExportedCache, error) {
	response, err := link.FetchCache(ctx, source, s.linkOptions...)
	if err != nil {
		return engine.ExportedCache{}, err
	}
	defer func() { _ = response.Close() }()
	if err := buffer.Read(response, -1, engine.MaxCache); err != nil {
		return engine.ExportedCache{}, errors.Wrap(err, "read cache")
	}
	var cache engine.ExportedCache
	if err := json.Unmarshal(buffer.Bytes(), &cache); err != nil {
		return engine.ExportedCache{}, errors.Wrap(err, "decode cache")
	}
	return cache, nil
}
