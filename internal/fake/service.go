package fake

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// CrashMarker makes an Engine crash when it is in the body of a chat completion request, and a Service when it is in that of an order.
const CrashMarker = "crash-this-upstream"

// ServiceConfig holds the parameters of a Service.
type ServiceConfig struct {
	// Duration is the time that a POST /orders takes.
	Duration time.Duration
	Journal  *Journal
	// Exit ends the process on a crash.
	Exit func(code int)
}

// OrderAnswer is the body of the answer to POST /orders.
type OrderAnswer struct {
	// OrderID is the Seq of the journal entry, BodyHash the SHA-256 hash of the request body in hex.
	OrderID  int    `json:"order_id"`
	BodyHash string `json:"body_hash"`
}

// StockAnswer is the body of the answer to GET /stock/{item}.
type StockAnswer struct {
	Item  string `json:"item"`
	Stock int    `json:"stock"`
}

// Service stands in for an upstream other than a model engine: a shop with orders, which are not idempotent, and stock look-ups,
// which are.
type Service struct {
	mux    *http.ServeMux
	faults *faultSwitch
	config ServiceConfig
}

// NewService returns a service.
func NewService(config ServiceConfig) *Service {
	s := &Service{mux: http.NewServeMux(), faults: newFaultSwitch(), config: config}
	s.mux.HandleFunc("POST /orders", s.faults.wrap(s.handleOrder))
	s.mux.HandleFunc("GET /stock/{item}", s.faults.wrap(s.handleStock))
	s.mux.HandleFunc("GET /health", s.faults.wrap(handleHealth))
	s.mux.Handle("POST /fake/fault", s.faults)
	s.mux.Handle("GET /fake/journal", config.Journal)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// handleOrder runs an order to its end, even when the caller disconnects. It does not deduplicate: an order with a
// known Idempotency-Key runs again.
func (s *Service) handleOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	entry := s.config.Journal.start(r, body, "")
	if bytes.Contains(body, []byte(CrashMarker)) {
		s.config.Exit(crashExitCode)
		return
	}
	time.Sleep(s.config.Duration)
	s.config.Journal.finish(entry, true, r.Context().Err() != nil)
	writeJSON(w, http.StatusCreated, OrderAnswer{OrderID: entry.Seq, BodyHash: entry.BodyHash})
}

// handleStock answers a stock look-up; the stock of an item is the length of its name.
func (s *Service) handleStock(w http.ResponseWriter, r *http.Request) {
	item := r.PathValue("item")
	entry := s.config.Journal.start(r, nil, "")
	s.config.Journal.finish(entry, true, false)
	writeJSON(w, http.StatusOK, StockAnswer{Item: item, Stock: len(item)})
}
