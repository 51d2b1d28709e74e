package weights

import (
	"net/http"
	"strconv"
)

// Handler serves complete, verified versions to the engine: GET /versions/{digest}/manifest and GET /chunks/{hash}.
func (m *Manager) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /versions/{digest}/manifest", m.serveManifest)
	mux.HandleFunc("GET /chunks/{hash}", m.serveChunk)
	return mux
}

// serveManifest answers 404 for versions that are not complete.
func (m *Manager) serveManifest(w http.ResponseWriter, r *http.Request) {
	manifest := m.manifest(r.PathValue("digest"))
	if manifest == nil || !m.isComplete(manifest) {
		http.Error(w, "version is not complete", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(manifest.raw)
}

// serveChunk answers 404 for chunks that belong to no complete version, so that an engine never loads part of a version.
func (m *Manager) serveChunk(w http.ResponseWriter, r *http.Request) {
	hash := r.PathValue("hash")
	data, ok := m.store.get(hash)
	if !ok || !m.inCompleteVersion(hash) {
		http.Error(w, "chunk is not part of a complete version", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
