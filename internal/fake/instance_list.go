package fake

import (
	"net/http"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/platform/instancelist"
)

// InstanceList stands in for the platform's list of instances, which package internal/platform/instancelist reads. A change
// becomes visible only after a fixed lag.
type InstanceList struct {
	mux    *http.ServeMux
	faults *faultSwitch
	lag    time.Duration
	// mu guards snapshots, which are in order of time. The first one is the visible list.
	mu        sync.Mutex
	snapshots []listSnapshot
}

// listSnapshot is the whole list as callers see it from visibleFrom on.
type listSnapshot struct {
	visibleFrom time.Time
	document    instancelist.Document
}

// NewInstanceList returns an empty list that shows each change after lag.
func NewInstanceList(lag time.Duration) *InstanceList {
	l := &InstanceList{mux: http.NewServeMux(), faults: newFaultSwitch(), lag: lag, snapshots: []listSnapshot{{}}}
	l.mux.HandleFunc("GET /instances", l.faults.wrap(l.handleGet))
	l.mux.HandleFunc("PUT /fake/instances", l.handlePut)
	l.mux.Handle("POST /fake/fault", l.faults)
	l.mux.HandleFunc("GET /health", handleHealth)
	return l
}

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// handlePut replaces the list.
func (l *InstanceList) handlePut(w http.ResponseWriter, r *http.Request) {
	var document instancelist.Document
	if !readJSON(w, r, &document) {
		return
	}
	l.mu.Lock()
	l.snapshots = append(l.snapshots, listSnapshot{visibleFrom: time.Now().Add(l.lag), document: document})
	l.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (l *InstanceList) handleGet(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	now := time.Now()
	for len(l.snapshots) > 1 && !l.snapshots[1].visibleFrom.After(now) {
		l.snapshots = l.snapshots[1:]
	}
	document := l.snapshots[0].document
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, document)
}
