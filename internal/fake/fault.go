// Package fake provides small stand-ins for the platform and for upstreams: key-value service, origin and weight store,
// instance list, model engine and plain service.
//
// Each stand-in is an http.Handler with its state in memory. Paths under /fake/ control it and are not subject to faults.
package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxControlBodyBytes bounds the bodies that a stand-in reads.
const maxControlBodyBytes = 16 << 20

// Fault is the set of faults in force on a stand-in. The zero value is no fault.
type Fault struct {
	// Down answers every call with 503 without effect.
	Down bool `json:"down,omitempty"`
	// Refuse breaks the connection of every call without effect.
	Refuse bool `json:"refuse,omitempty"`
	// DelayMillis delays every call before it takes effect.
	DelayMillis int64 `json:"delay_millis,omitempty"`
	// LoseAnswers breaks the connection after the effect of so many further writes; negative is without limit. Store only.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Stall stops the body of every chunk half-way. Origin only.
	Stall bool `json:"stall,omitempty"`
	// CorruptOneIn corrupts one in so many chunk answers; 0 is none. Origin only.
	CorruptOneIn int `json:"corrupt_one_in,omitempty"`
	// FailVersion is the version whose loads fail. Engine only.
	FailVersion string `json:"fail_version,omitempty"`
	// HoldLoad keeps a load pending while it is set. Engine only.
	HoldLoad bool `json:"hold_load,omitempty"`
	// Freeze holds every call and all running work while it is set. Engine and service only.
	Freeze bool `json:"freeze,omitempty"`
}

// faultSwitch holds the faults in force and lets calls wait for a change.
type faultSwitch struct {
	// mu guards fault and changed.
	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
}

func newFaultSwitch() *faultSwitch { return &faultSwitch{changed: make(chan struct{})} }

// get returns the faults in force and a channel that is closed on the next change.
func (s *faultSwitch) get() (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.changed
}

func (s *faultSwitch) set(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	close(s.changed)
	s.changed = make(chan struct{})
}

// takeLostAnswer tells whether the answer of the current write is to be lost, and counts it.
func (s *faultSwitch) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.LoseAnswers > 0 {
		s.fault.LoseAnswers--
		return true
	}
	return s.fault.LoseAnswers < 0
}

// waitWhile blocks while condition holds for the faults in force. It returns false when ctx ends first.
func (s *faultSwitch) waitWhile(ctx context.Context, condition func(Fault) bool) bool {
	for {
		fault, changed := s.get()
		if !condition(fault) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// ServeHTTP replaces the faults in force by those in the body.
func (s *faultSwitch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if readJSON(w, r, &fault) {
		s.set(fault)
		w.WriteHeader(http.StatusNoContent)
	}
}

// wrap applies the faults that are common to all stand-ins before next.
func (s *faultSwitch) wrap(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The server notices that the caller has disconnected only after the body was read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !s.waitWhile(r.Context(), func(f Fault) bool { return f.Freeze }) {
			return
		}
		fault, _ := s.get()
		if fault.DelayMillis > 0 && !sleep(r.Context(), time.Duration(fault.DelayMillis)*time.Millisecond) {
			return
		}
		switch fault, _ = s.get(); {
		case fault.Refuse:
			panic(http.ErrAbortHandler)
		case fault.Down:
			http.Error(w, "stand-in is down", http.StatusServiceUnavailable)
		default:
			next(w, r)
		}
	}
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// readJSON decodes the body into v. It answers 400 and returns false when that fails.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // The caller has gone when this fails.
}
