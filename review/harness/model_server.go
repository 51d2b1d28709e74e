//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// modelServer is a model server that can crash and start again under its ID, on a machine whose time of day may be wrong.
type modelServer struct {
	*standin.ModelServer
	address string
	record  *record
	// clockError is added to the time at which the current process has started, in milliseconds.
	clockError atomic.Int64

	mu     sync.Mutex
	server *http.Server
	// beats counts the entries that the current process has written.
	beats    int64
	arrivals []arrival
}

// start starts the server on its address. clockError is the error of the machine's time of day.
func (m *modelServer) start(clockError time.Duration) {
	m.Restart()
	m.clockError.Store(clockError.Milliseconds())
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		cannotRun(err)
	}
	server := &http.Server{Handler: m}
	m.mu.Lock()
	m.server, m.beats = server, 0
	m.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	m.record.printf("%s starts, its clock is wrong by %v", m.ID, clockError)
}

// crash ends the process of the server.
func (m *modelServer) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.server.Close()
	m.record.printf("%s crashes", m.ID)
}

// document returns the next entry of the server.
func (m *modelServer) document(service, zone, state string) map[string]any {
	m.mu.Lock()
	m.beats++
	beats := m.beats
	m.mu.Unlock()
	document := m.ServerDocument(service, m.address, zone, state, beats)
	document["born"] = document["born"].(int64) + m.clockError.Load()
	return document
}

// arrived returns the requests that have reached the server.
func (m *modelServer) arrived() []arrival {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]arrival(nil), m.arrivals...)
}

// ServeHTTP implements http.Handler.
func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == wire["report_path"] {
		answer := httptest.NewRecorder()
		m.ModelServer.ServeHTTP(answer, r)
		var report map[string]any
		_ = json.Unmarshal(answer.Body.Bytes(), &report)
		report["born"] = int64(report["born"].(float64)) + m.clockError.Load()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
		return
	}
	if id := r.Header.Get(wire["attempt_id"]); id != "" {
		m.mu.Lock()
		m.arrivals = append(m.arrivals, arrival{id: id, at: time.Now(), ran: true})
		m.mu.Unlock()
		m.record.printf("%s: request %s arrives", m.ID, id)
	}
	m.ModelServer.ServeHTTP(w, r)
}
