package fake

import (
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// crashExitCode is the exit code of a crashed upstream. 70 is EX_SOFTWARE, an internal software error, in sysexits.h.
const crashExitCode = 70

// EngineConfig holds the parameters of an Engine.
type EngineConfig struct {
	// MaxBatch is the number of requests that run at once.
	MaxBatch int
	// TokenTime is the time of one decoding step for a batch of one request. Each further request adds BatchSlowdown, a fraction of
	// TokenTime.
	TokenTime     time.Duration
	BatchSlowdown float64
	// PrefillTime is the prefill time of each prompt token that is not in the prefix cache.
	PrefillTime time.Duration
	// PrefixBlocks is the size of the prefix cache in blocks of prefixBlockBytes.
	PrefixBlocks int
	// LoadTime is the time that a load takes after all chunks have been read.
	LoadTime time.Duration
	// StatusLag is the minimum age of Running and Waiting in EngineStatus.
	StatusLag time.Duration
	// Fencing makes the engine refuse load orders whose fencing token is lower than the highest one seen.
	Fencing bool
	// Token is the bearer token that /control requires; empty requires none.
	Token string
	// Version is the version that is loaded at the start; empty means none.
	Version string
	Journal *Journal
	// Exit ends the process on a crash.
	Exit func(code int)
}

// EngineStatus is the body of GET /control/status.
type EngineStatus struct {
	// LoadedVersion is the version that answers requests, PendingVersion the one that is being loaded, and FailedVersion the one
	// whose load failed last, with LoadError as the reason. Each is empty when there is none.
	LoadedVersion  string `json:"loaded_version"`
	PendingVersion string `json:"pending_version"`
	FailedVersion  string `json:"failed_version"`
	LoadError      string `json:"load_error"`
	// Incarnation changes with each start of the engine.
	Incarnation uint64 `json:"incarnation"`
	// Fence is the highest fencing token of all load orders.
	Fence uint64 `json:"fence"`
	// Running and Waiting count requests in the batch and in the queue. They lag by at least EngineConfig.StatusLag.
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
	MaxBatch int `json:"max_batch"`
}

// Engine stands in for a model engine with continuous batching and a prefix cache. It answers OpenAI chat completions with text
// that identifies the prompt and the version, and loads versions when ordered to. Close stops it.
type Engine struct {
	mux         *http.ServeMux
	faults      *faultSwitch
	config      EngineConfig
	prefixCache *lru.Cache[string, struct{}]
	// workAdded wakes an idle step loop.
	workAdded chan struct{}
	done      chan struct{}

	// mu guards all fields below.
	mu     sync.Mutex
	status EngineStatus
	// waiting is in order of priority and arrival, running is the batch.
	waiting  []*generation
	running  []*generation
	arrivals uint64
	// sampledLoad holds the numbers of running and waiting requests at sampledAt. They are copied to status when the next sample is
	// taken, at least StatusLag later.
	sampledAt   time.Time
	sampledLoad [2]int
	// cancelLoad cancels the pending load, if there is one.
	cancelLoad func()
	cacheStats CacheStats
}

// CacheStats is the body of GET /fake/cache.
type CacheStats struct {
	// PromptBytes is the length of all prompts, CachedBytes the part of it that was in the prefix cache.
	PromptBytes int `json:"prompt_bytes"`
	CachedBytes int `json:"cached_bytes"`
}

// NewEngine returns an engine and starts its step loop.
func NewEngine(config EngineConfig) (*Engine, error) {
	prefixCache, err := lru.New[string, struct{}](max(1, config.PrefixBlocks))
	if err != nil {
		return nil, err
	}
	e := &Engine{
		mux: http.NewServeMux(), faults: newFaultSwitch(), config: config, prefixCache: prefixCache,
		workAdded: make(chan struct{}, 1), done: make(chan struct{}), cancelLoad: func() {},
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
	go e.runSteps()
	return e, nil
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Close stops the step loop and cancels a pending load.
func (e *Engine) Close() {
	close(e.done)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelLoad()
}

// authorised answers 401 to requests without the bearer token and passes the others to next.
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
	stats := e.cacheStats
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, stats)
}

func (e *Engine) handleStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if now := time.Now(); now.Sub(e.sampledAt) >= e.config.StatusLag {
		e.status.Running, e.status.Waiting = e.sampledLoad[0], e.sampledLoad[1]
		e.sampledLoad, e.sampledAt = [2]int{len(e.running), len(e.waiting)}, now
	}
	status := e.status
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}
