package fake

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/pimentohead/pimentohead/internal/platform/store/etcdjson"
)

// Limits of the store; rateBurstSeconds also applies to the origin.
const (
	// maxStoreValueBytes is the largest value that the platform's store holds, as store.MaxValueBytes.
	maxStoreValueBytes = 1 << 20
	// maxTxnOps limits the conditions and the operations in each branch of a transaction. It is the default of etcd.
	maxTxnOps = 128
	// maxStoreHistory is the number of events that are kept for watches; older ones are compacted.
	maxStoreHistory = 10000
	// rateBurstSeconds times the rate, but at least 1, is the burst of a rate limit.
	rateBurstSeconds = 0.25
)

// StoreConfig holds the parameters of a Store.
type StoreConfig struct {
	// WritesPerSecond and ReadsPerSecond limit the rate of calls; calls over the limit get 429. 0 is unlimited.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// StoreStats is the body of GET /fake/stats. It counts calls since the start.
type StoreStats struct {
	// Writes and Reads include calls over the rate limit. Lease calls count as writes, the start of a watch as a read.
	Writes uint64 `json:"writes"`
	Reads  uint64 `json:"reads"`
	// Limited counts calls that got 429.
	Limited uint64 `json:"limited"`
	// Watches counts watches that were started.
	Watches uint64 `json:"watches"`
}

// Store stands in for the platform's key-value service. It implements the part of the etcd v3 JSON gateway that package
// internal/platform/store uses: ranges, transactions, leases and watches of one key.
type Store struct {
	mux          *http.ServeMux
	faults       *faultSwitch
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter

	writeCount, readCount, limitedCount, watchCount atomic.Uint64

	// mu guards all fields below.
	mu       sync.Mutex
	revision int64
	// compacted is the revision of the last compacted event. Watches from it or before fail.
	compacted int64
	keys      map[string]etcdjson.KeyValue
	// history holds the latest events, at most maxStoreHistory, in order of revision.
	history     []etcdjson.Event
	leases      map[int64]*lease
	nextLeaseID int64
	// committed is closed and replaced on each new revision, restored on each Restore.
	committed, restored chan struct{}
}

// lease is a granted lease. Its keys are removed when its timer expires.
type lease struct {
	id int64
	// ttl is in seconds.
	ttl   int64
	timer *time.Timer
}

// NewStore returns an empty store at revision 1.
func NewStore(config StoreConfig) *Store {
	s := &Store{
		mux: http.NewServeMux(), faults: newFaultSwitch(),
		writeLimiter: newRateLimiter(config.WritesPerSecond), readLimiter: newRateLimiter(config.ReadsPerSecond),
		revision: 1, nextLeaseID: 1,
		keys: make(map[string]etcdjson.KeyValue), leases: make(map[int64]*lease), committed: make(chan struct{}),
		restored: make(chan struct{}),
	}
	s.mux.HandleFunc("POST "+etcdjson.PathRange, s.faults.wrap(s.handleRange))
	s.mux.HandleFunc("POST "+etcdjson.PathTxn, s.faults.wrap(s.handleTxn))
	s.mux.HandleFunc("POST "+etcdjson.PathGrant, s.faults.wrap(s.handleGrant))
	s.mux.HandleFunc("POST "+etcdjson.PathKeepAlive, s.faults.wrap(s.handleKeepAlive))
	s.mux.HandleFunc("POST "+etcdjson.PathRevoke, s.faults.wrap(s.handleRevoke))
	s.mux.HandleFunc("POST "+etcdjson.PathWatch, s.faults.wrap(s.handleWatch))
	s.mux.Handle("POST /fake/fault", s.faults)
	s.mux.HandleFunc("POST /fake/compact", s.handleCompact)
	s.mux.HandleFunc("GET /fake/stats", s.handleStats)
	s.mux.HandleFunc("GET /health", handleHealth)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFault replaces the active faults.
func (s *Store) SetFault(fault Fault) { s.faults.set(fault) }

// newRateLimiter returns a limiter that admits perSecond calls per second; 0 is unlimited.
func newRateLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*rateBurstSeconds)))
}

// handleHealth answers the health checks of all stand-ins.
func handleHealth(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// admit counts a call against its limit. It answers 429 and returns false when the call is over the limit.
func (s *Store) admit(w http.ResponseWriter, limiter *rate.Limiter, count *atomic.Uint64) bool {
	count.Add(1)
	if limiter.Allow() {
		return true
	}
	s.limitedCount.Add(1)
	http.Error(w, "rate limit", http.StatusTooManyRequests)
	return false
}

// finishWrite answers a write, or closes the connection without a response when LoseAnswers applies.
func (s *Store) finishWrite(w http.ResponseWriter, answer any) {
	if s.faults.consumeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, answer)
}

// writeError answers a refused call with an HTTP status and a gRPC status code.
func writeError(w http.ResponseWriter, status, code int, message string) {
	writeJSON(w, status, etcdjson.ErrorResponse{Code: code, Message: message})
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.RangeRequest
	if !s.admit(w, s.readLimiter, &s.readCount) || !readJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	answer := s.readRange(&request)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

func (s *Store) handleStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, StoreStats{
		Writes: s.writeCount.Load(), Reads: s.readCount.Load(),
		Limited: s.limitedCount.Load(), Watches: s.watchCount.Load(),
	})
}

// handleCompact drops the event history, so that watches from the current revision or before fail.
func (s *Store) handleCompact(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.compacted, s.history = s.revision, nil
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
