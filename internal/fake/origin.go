package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"github.com/zeebo/blake3"
	"golang.org/x/time/rate"
)

// originPieceBytes is the size of one write, so that connections share the bandwidth evenly.
const originPieceBytes = 16 << 10

// OriginConfig holds the parameters of an Origin.
type OriginConfig struct {
	// BytesPerSecond limits the answers over all connections; 0 is unlimited.
	BytesPerSecond int64
	// RequestsPerSecond limits requests; those over the limit get 429. 0 is unlimited.
	RequestsPerSecond float64
}

// VersionSpec describes a synthetic version. Equal specifications give equal versions.
type VersionSpec struct {
	Model      string `json:"model"`
	Seed       uint64 `json:"seed"`
	Chunks     int    `json:"chunks"`
	ChunkBytes int    `json:"chunk_bytes"`
	// SharedWith is an earlier version whose first SharedChunks chunks are reused.
	SharedWith   string `json:"shared_with,omitempty"`
	SharedChunks int    `json:"shared_chunks,omitempty"`
}

// VersionInfo describes a created version.
type VersionInfo struct {
	Version string   `json:"version"`
	Chunks  []string `json:"chunks"`
	Bytes   int64    `json:"bytes"`
}

// OriginStats counts what an Origin sent.
type OriginStats struct {
	Requests uint64 `json:"requests"`
	Bytes    int64  `json:"bytes"`
	// Chunks holds the bytes sent by chunk hash.
	Chunks map[string]int64 `json:"chunks"`
}

// Manifest lists the chunks of a version.
type Manifest struct {
	Model  string          `json:"model"`
	Chunks []ManifestChunk `json:"chunks"`
}

// ManifestChunk is one chunk of a manifest.
type ManifestChunk struct {
	Hash string `json:"hash"`
	Size int64  `json:"size"`
}

// Origin is the origin of weights or the weight store.
type Origin struct {
	mux       *http.ServeMux
	faults    *faultSwitch
	bandwidth *rate.Limiter
	requests  *rate.Limiter
	// mu guards all fields below.
	mu        sync.Mutex
	manifests map[string][]byte
	chunks    map[string][]byte
	served    OriginStats
}

// NewOrigin returns an origin without versions.
func NewOrigin(config OriginConfig) *Origin {
	bandwidth := rate.NewLimiter(rate.Inf, originPieceBytes)
	if config.BytesPerSecond > 0 {
		bandwidth = rate.NewLimiter(rate.Limit(config.BytesPerSecond), originPieceBytes)
	}
	o := &Origin{
		mux: http.NewServeMux(), faults: newFaultSwitch(),
		bandwidth: bandwidth, requests: callLimiter(config.RequestsPerSecond),
		manifests: make(map[string][]byte), chunks: make(map[string][]byte), served: OriginStats{Chunks: make(map[string]int64)},
	}
	o.mux.HandleFunc("GET /versions/{digest}/manifest", o.faults.wrap(o.handleManifest))
	o.mux.HandleFunc("GET /chunks/{hash}", o.faults.wrap(o.handleChunk))
	o.mux.HandleFunc("POST /fake/version", o.handleVersion)
	o.mux.HandleFunc("GET /fake/served", o.handleServed)
	o.mux.HandleFunc("POST /fake/reset", o.handleReset)
	o.mux.Handle("POST /fake/fault", o.faults)
	o.mux.HandleFunc("GET /health", handleHealth)
	return o
}

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) { o.mux.ServeHTTP(w, r) }

func (o *Origin) handleVersion(w http.ResponseWriter, r *http.Request) {
	var spec VersionSpec
	if !readJSON(w, r, &spec) {
		return
	}
	o.mu.Lock()
	info, err := o.create(spec)
	o.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, info)
}

// create adds a version. The caller holds mu.
func (o *Origin) create(spec VersionSpec) (VersionInfo, error) {
	manifest := Manifest{Model: spec.Model}
	if spec.SharedWith != "" {
		var earlier Manifest
		if err := json.Unmarshal(o.manifests[spec.SharedWith], &earlier); err != nil {
			return VersionInfo{}, err
		}
		manifest.Chunks = earlier.Chunks[:min(spec.SharedChunks, spec.Chunks, len(earlier.Chunks))]
	}
	for index := len(manifest.Chunks); index < spec.Chunks; index++ {
		data := chunkData(spec.Seed, uint64(index), spec.ChunkBytes)
		sum := blake3.Sum256(data)
		hash := hex.EncodeToString(sum[:])
		o.chunks[hash] = data
		manifest.Chunks = append(manifest.Chunks, ManifestChunk{Hash: hash, Size: int64(len(data))})
	}
	text, err := json.Marshal(manifest)
	if err != nil {
		return VersionInfo{}, err
	}
	digest := sha256.Sum256(text)
	info := VersionInfo{Version: hex.EncodeToString(digest[:])}
	for _, chunk := range manifest.Chunks {
		info.Chunks = append(info.Chunks, chunk.Hash)
		info.Bytes += chunk.Size
	}
	o.manifests[info.Version] = text
	return info, nil
}

// chunkData generates the bytes of one chunk.
func chunkData(seed, index uint64, size int) []byte {
	var key [32]byte
	for i := range 8 {
		key[i], key[8+i] = byte(seed>>(8*i)), byte(index>>(8*i))
	}
	data := make([]byte, size)
	_, _ = rand.NewChaCha8(key).Read(data) // It never fails.
	return data
}

// admit counts a request. It answers 429 and returns false when the request is over the limit.
func (o *Origin) admit(w http.ResponseWriter) bool {
	o.mu.Lock()
	o.served.Requests++
	o.mu.Unlock()
	if o.requests.Allow() {
		return true
	}
	w.Header().Set("Retry-After", "1")
	http.Error(w, "rate limit", http.StatusTooManyRequests)
	return false
}

func (o *Origin) handleManifest(w http.ResponseWriter, r *http.Request) {
	if !o.admit(w) {
		return
	}
	o.mu.Lock()
	text, ok := o.manifests[r.PathValue("digest")]
	o.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	o.send(w, r, text, "")
}

func (o *Origin) handleChunk(w http.ResponseWriter, r *http.Request) {
	if !o.admit(w) {
		return
	}
	hash := r.PathValue("hash")
	o.mu.Lock()
	data, ok := o.chunks[hash]
	requests := o.served.Requests
	o.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	if fault, _ := o.faults.get(); fault.CorruptOneIn > 0 && requests%uint64(fault.CorruptOneIn) == 0 && len(data) > 0 {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 0xff
	}
	o.send(w, r, data, hash)
}

// send writes data at the limited rate and counts it for a chunk hash; a manifest has none.
func (o *Origin) send(w http.ResponseWriter, r *http.Request, data []byte, hash string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	for sent := 0; sent < len(data); {
		if fault, _ := o.faults.get(); fault.Stall && hash != "" && sent >= len(data)/2 {
			_ = http.NewResponseController(w).Flush() // The caller has gone when this fails.
			if !o.faults.waitWhile(r.Context(), func(f Fault) bool { return f.Stall }) {
				return
			}
		}
		piece := data[sent:min(sent+originPieceBytes, len(data))]
		if o.bandwidth.WaitN(r.Context(), len(piece)) != nil {
			return
		}
		if _, err := w.Write(piece); err != nil {
			return
		}
		sent += len(piece)
		o.count(hash, int64(len(piece)))
	}
}

func (o *Origin) count(hash string, bytes int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.served.Bytes += bytes
	if hash != "" {
		o.served.Chunks[hash] += bytes
	}
}

func (o *Origin) handleServed(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	writeJSON(w, http.StatusOK, o.served)
}

func (o *Origin) handleReset(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	o.served = OriginStats{Chunks: make(map[string]int64)}
	o.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
