package fake

import (
	"net/http"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/platform/instancelist"
)

// InstanceList is the instance list. It shows changes after a lag.
type InstanceList struct {
	mux    *http.ServeMux
	faults *faultSwitch
	lag    time.Duration
	// mu guards versions, which are in order of time.
	mu       sync.Mutex
	versions []listVersion
}

type listVersion struct {
	from     time.Time
	document instancelist.Document
}

// NewInstanceList returns an empty list that lags by lag.
func NewInstanceList(lag time.Duration) *InstanceList {
	l := &InstanceList{mux: http.NewServeMux(), faults: newFaultSwitch(), lag: lag, versions: []listVersion{{}}}
	l.mux.HandleFunc("GET /instances", l.faults.wrap(l.handleGet))
	l.mux.HandleFunc("PUT /fake/instances", l.handlePut)
	l.mux.Handle("POST /fake/fault", l.faults)
	l.mux.HandleFunc("GET /health", handleHealth)
	return l
}

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *InstanceList) handlePut(w http.ResponseWriter, r *http.Request) {
	var document instancelist.Document
	if !readJSON(w, r, &document) {
		return
	}
	l.mu.Lock()
	l.versions = append(l.versions, listVersion{from: time.Now().Add(l.lag), document: document})
	l.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (l *InstanceList) handleGet(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	now := time.Now()
	for len(l.versions) > 1 && !l.versions[1].from.After(now) {
		l.versions = l.versions[1:]
	}
	document := l.versions[0].document
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, document)
}
