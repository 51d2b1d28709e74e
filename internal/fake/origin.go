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

// originWriteBytes is the size of one write. It is small so that concurrent connections share the bandwidth evenly.
const originWriteBytes = 16 << 10

// OriginConfig holds the parameters of an Origin.
type OriginConfig struct {
	// BytesPerSecond limits the bandwidth of all connections together; 0 is unlimited.
	BytesPerSecond int64
	// RequestsPerSecond limits the request rate; requests over the limit get 429. 0 is unlimited.
	RequestsPerSecond float64
}

// VersionSpec is the body of POST /fake/version: it describes a version with generated weights. Equal specifications give equal
// versions, on different origins too.
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
	// Version is the SHA-256 hash of the manifest in hex.
	Version string `json:"version"`
	// Chunks holds the hashes of the chunks in order, Bytes their total size.
	Chunks []string `json:"chunks"`
	Bytes  int64    `json:"bytes"`
}

// OriginStats is the body of GET /fake/served. It counts requests and sent bytes since the start or the last POST /fake/reset.
type OriginStats struct {
	// Requests includes requests over the rate limit.
	Requests uint64 `json:"requests"`
	// Bytes counts manifests and chunks.
	Bytes int64 `json:"bytes"`
	// Chunks holds the number of bytes sent of each chunk, by chunk hash.
	Chunks map[string]int64 `json:"chunks"`
}

// Manifest lists the chunks of a version.
type Manifest struct {
	Model  string          `json:"model"`
	Chunks []ManifestChunk `json:"chunks"`
}

// ManifestChunk identifies one chunk of a version.
type ManifestChunk struct {
	// Hash is the BLAKE3 hash of the chunk in hex, Size its length in bytes.
	Hash string `json:"hash"`
	Size int64  `json:"size"`
}

// Origin stands in for the origin of model weights or for the weight store. It serves manifests by version and chunks by hash.
type Origin struct {
	mux       *http.ServeMux
	faults    *faultSwitch
	bandwidth *rate.Limiter
	requests  *rate.Limiter
	// mu guards all fields below.
	mu sync.Mutex
	// manifests holds the encoded manifest of each version.
	manifests map[string][]byte
	// chunks holds the data of each chunk by hash.
	chunks map[string][]byte
	stats  OriginStats
}

// NewOrigin returns an origin without versions.
func NewOrigin(config OriginConfig) *Origin {
	bandwidth := rate.NewLimiter(rate.Inf, originWriteBytes)
	if config.BytesPerSecond > 0 {
		bandwidth = rate.NewLimiter(rate.Limit(config.BytesPerSecond), originWriteBytes)
	}
	o := &Origin{
		mux: http.NewServeMux(), faults: newFaultSwitch(),
		bandwidth: bandwidth, requests: newRateLimiter(config.RequestsPerSecond),
		manifests: make(map[string][]byte), chunks: make(map[string][]byte), stats: OriginStats{Chunks: make(map[string]int64)},
	}
	o.mux.HandleFunc("GET /versions/{digest}/manifest", o.faults.wrap(o.handleManifest))
	o.mux.HandleFunc("GET /chunks/{hash}", o.faults.wrap(o.handleChunk))
	o.mux.HandleFunc("POST /fake/version", o.handleVersion)
	o.mux.HandleFunc("GET /fake/served", o.handleStats)
	o.mux.HandleFunc("POST /fake/reset", o.handleReset)
	o.mux.Handle("POST /fake/fault", o.faults)
	o.mux.HandleFunc("GET /health", handleHealth)
	return o
}

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) { o.mux.ServeHTTP(w, r) }

// handleVersion creates a version.
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

// create generates a version and adds it. It returns an error if spec.SharedWith is unknown. The caller holds mu.
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

// chunkData generates the bytes of one chunk from the seed and the index of the chunk.
func chunkData(seed, index uint64, size int) []byte {
	var key [32]byte
	for i := range 8 {
		key[i], key[8+i] = byte(seed>>(8*i)), byte(index>>(8*i))
	}
	data := make([]byte, size)
	_, _ = rand.NewChaCha8(key).Read(data) // Read never returns an error.
	return data
}

// admit counts a request. It answers 429 and returns false when the request is over the limit.
func (o *Origin) admit(w http.ResponseWriter) bool {
	o.mu.Lock()
	o.stats.Requests++
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
	requests := o.stats.Requests
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

// send writes data at the limited bandwidth and adds it to the statistics. hash is the chunk hash, or empty for a manifest.
func (o *Origin) send(w http.ResponseWriter, r *http.Request, data []byte, hash string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	for sent := 0; sent < len(data); {
		if fault, _ := o.faults.get(); fault.Stall && hash != "" && sent >= len(data)/2 {
			_ = http.NewResponseController(w).Flush() // A failure means that the caller has disconnected.
			if !o.faults.waitWhile(r.Context(), func(f Fault) bool { return f.Stall }) {
				return
			}
		}
		part := data[sent:min(sent+originWriteBytes, len(data))]
		if o.bandwidth.WaitN(r.Context(), len(part)) != nil {
			return
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		sent += len(part)
		o.countSent(hash, int64(len(part)))
	}
}

// countSent adds sent bytes to the statistics. hash is empty for a manifest.
func (o *Origin) countSent(hash string, bytes int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stats.Bytes += bytes
	if hash != "" {
		o.stats.Chunks[hash] += bytes
	}
}

func (o *Origin) handleStats(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	writeJSON(w, http.StatusOK, o.stats)
}

func (o *Origin) handleReset(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	o.stats = OriginStats{Chunks: make(map[string]int64)}
	o.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
