package fake

import (
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// crashExitCode is the exit code of a crashed upstream.
const crashExitCode = 70

// EngineConfig holds the parameters of an Engine.
type EngineConfig struct {
	// MaxBatch is the number of requests that run at once.
	MaxBatch int
	// TokenTime is the time of one step with one request; each further request in the batch adds BatchSlowdown of it.
	TokenTime     time.Duration
	BatchSlowdown float64
	// PrefillTime is the time for each prompt token that is not in the prefix cache.
	PrefillTime time.Duration
	// PrefixBlocks is the size of the prefix cache in blocks of prefixBlockBytes.
	PrefixBlocks int
	// LoadTime is the time that a load takes after all chunks were read.
	LoadTime time.Duration
	// StatusLag is the age of the reported load figures.
	StatusLag time.Duration
	// Fencing refuses loads with an old fencing number.
	Fencing bool
	// Token is required on /control when it is not empty.
	Token string
	// Version is the version that is loaded at the start.
	Version string
	Journal *Journal
	// Exit ends the process on a crash.
	Exit func(code int)
}

// EngineStatus is the body of /control/status.
type EngineStatus struct {
	LoadedVersion  string `json:"loaded_version"`
	PendingVersion string `json:"pending_version"`
	FailedVersion  string `json:"failed_version"`
	LoadError      string `json:"load_error"`
	Incarnation    uint64 `json:"incarnation"`
	Fence          uint64 `json:"fence"`
	Running        int    `json:"running"`
	Waiting        int    `json:"waiting"`
	MaxBatch       int    `json:"max_batch"`
}

// Engine is a model engine with continuous batching. Close ends its step loop.
type Engine struct {
	mux    *http.ServeMux
	faults *faultSwitch
	config EngineConfig
	prefix *lru.Cache[string, struct{}]
	wake   chan struct{}
	done   chan struct{}

	// mu guards all fields below.
	mu         sync.Mutex
	status     EngineStatus
	waiting    []*generation
	running    []*generation
	arrivals   uint64
	reportedAt time.Time
	reported   [2]int
	cancelLoad func()
	cache      CacheStats
}

// CacheStats is the body of /fake/cache: the bytes of all prompts and those that the prefix cache held.
type CacheStats struct {
	PromptBytes int `json:"prompt_bytes"`
	CachedBytes int `json:"cached_bytes"`
}

// NewEngine returns an engine and starts its step loop.
func NewEngine(config EngineConfig) (*Engine, error) {
	prefix, err := lru.New[string, struct{}](max(1, config.PrefixBlocks))
	if err != nil {
		return nil, err
	}
	e := &Engine{
		mux: http.NewServeMux(), faults: newFaultSwitch(), config: config, prefix: prefix,
		wake: make(chan struct{}, 1), done: make(chan struct{}), cancelLoad: func() {},
		status: EngineStatus{
			LoadedVersion: config.Version, Incarnation: uint64(time.Now().UnixNano()), MaxBatch: config.MaxBatch,
		},
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.faults.wrap(e.handleChat))
	e.mux.HandleFunc("GET /health", e.faults.wrap(handleHealth))
	e.mux.HandleFunc("GET /control/status", e.faults.wrap(e.authorised(e.handleStatus)))
	e.mux.HandleFunc("POST /control/load", e.faults.wrap(e.authorised(e.handleLoad)))
	e.mux.Handle("POST /fake/fault", e.faults)
	e.mux.Handle("GET /fake/journal", config.Journal)
	e.mux.HandleFunc("GET /fake/cache", e.handleCache)
	go e.run()
	return e, nil
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Close ends the step loop and a pending load.
func (e *Engine) Close() {
	close(e.done)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelLoad()
}

func (e *Engine) authorised(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.config.Token != "" && r.Header.Get("Authorization") != "Bearer "+e.config.Token {
			http.Error(w, "unauthorised", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (e *Engine) handleCache(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	stats := e.cache
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, stats)
}

func (e *Engine) handleStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if now := time.Now(); now.Sub(e.reportedAt) >= e.config.StatusLag {
		e.status.Running, e.status.Waiting = e.reported[0], e.reported[1]
		e.reported, e.reportedAt = [2]int{len(e.running), len(e.waiting)}, now
	}
	status := e.status
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}
