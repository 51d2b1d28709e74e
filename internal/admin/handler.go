// Package admin serves the HTTP interface for operators, health checks and metrics on its own listener.
package admin

import (
	"context"
	"net/http"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/config"
)

// maxSubmissionBytes bounds the body of a submission: a document of the maximum size whose JSON escapes double its length, plus
// 16 KiB for the other fields.
const maxSubmissionBytes = 2*config.MaxDocumentBytes + 16<<10

// Configuration reads and replaces the fleet configuration. *confsync.Syncer implements it.
type Configuration interface {
	// Current returns the configuration in force, or nil.
	Current() *config.Active
	// History returns the envelope of a revision. Its errors match config.ErrNoRevision or config.ErrUnavailable.
	History(ctx context.Context, revision uint64) (config.Envelope, error)
	Submitter
}

// Submitter accepts new configurations.
type Submitter interface {
	// Submit puts a configuration in force and returns its envelope. Its errors match *config.FaultsError, *config.ConflictError,
	// config.ErrUnavailable or config.ErrOutcomeUnknown.
	Submit(ctx context.Context, s config.Submission) (config.Envelope, error)
}

// StatusSource describes the fleet as this entry sees it.
type StatusSource interface {
	Status() Status
}

// Config holds the dependencies of the handler. Tokens, Configuration and Status are optional: an agent leaves them unset and serves
// only health, readiness and metrics.
type Config struct {
	// Tokens maps operator names to the SHA-256 of their token in hex.
	Tokens        map[string]string
	Configuration Configuration
	Status        StatusSource
	// Ready returns nil when the process can take work, and the reason otherwise.
	Ready   func() error
	Metrics http.Handler
	Log     logr.Logger
}

type handler struct {
	cfg    Config
	tokens []operatorToken
}

// NewHandler returns the HTTP handler of the admin listener.
func NewHandler(cfg Config) http.Handler {
	h := &handler{cfg: cfg, tokens: parseTokens(cfg.Tokens)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET "+PathReady, h.ready)
	mux.Handle("GET "+PathMetrics, cfg.Metrics)
	if cfg.Configuration != nil {
		mux.HandleFunc("GET "+PathConfig, h.requireOperator(h.getConfig))
		mux.HandleFunc("GET "+PathHistory+"{revision}", h.requireOperator(h.getHistory))
		mux.HandleFunc("POST "+PathConfig, h.requireOperator(h.submit))
	}
	if cfg.Status != nil {
		mux.HandleFunc("GET "+PathStatus, h.requireOperator(h.getStatus))
	}
	return mux
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.cfg.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (h *handler) getStatus(w http.ResponseWriter, _ *http.Request, _ string) {
	h.writeJSON(w, http.StatusOK, h.cfg.Status.Status())
}
