// Package fake provides in-memory stand-ins for the services of the platform and for upstreams, with fault injection:
//
//   - Store stands in for the platform's key-value service, an etcd v3 JSON gateway
//   - Origin stands in for the origin of model weights and for the weight store, which share a protocol
//   - InstanceList stands in for the platform's list of instances
//   - Engine stands in for a model engine, an upstream that generates text
//   - Service stands in for an upstream other than a model engine
//
// Each of them is an http.Handler. Tests control it through the paths under /fake/, to which faults do not apply. Nor do faults
// apply to GET /health of Store, Origin and InstanceList. Tests use the handlers in process; the command pimentofake serves each
// in a process of its own.
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

// maxRequestBodyBytes limits the request bodies that a stand-in reads.
const maxRequestBodyBytes = 16 << 20

// Fault is the set of faults that are active on a stand-in, and the body of POST /fake/fault. The zero value has no fault. A field
// applies to all stand-ins unless its comment names one.
type Fault struct {
	// Down answers every call with 503; the call has no effect.
	Down bool `json:"down,omitempty"`
	// Refuse closes the connection of every call without a response; the call has no effect.
	Refuse bool `json:"refuse,omitempty"`
	// DelayMillis delays every call before it takes effect, in milliseconds.
	DelayMillis int64 `json:"delay_millis,omitempty"`
	// LoseAnswers is the number of further writes that take effect but whose connection is closed without a response; a negative
	// number applies to all further writes. Store only.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Stall pauses the transfer of every chunk once half of it has been sent, while it is set. Origin only.
	Stall bool `json:"stall,omitempty"`
	// CorruptOneIn = n corrupts the response to a chunk request when OriginStats.Requests is a multiple of n; 0 corrupts none.
	// Manifest requests and requests over the rate limit count too. Origin only.
	CorruptOneIn int `json:"corrupt_one_in,omitempty"`
	// FailVersion is the version whose loads fail after they have read all chunks. Engine only.
	FailVersion string `json:"fail_version,omitempty"`
	// HoldLoad keeps a load pending while it is set, after it has read all chunks. Engine only.
	HoldLoad bool `json:"hold_load,omitempty"`
	// Freeze blocks every call while it is set; an Engine also suspends running generations and loads.
	Freeze bool `json:"freeze,omitempty"`
}

// faultSwitch holds the active faults and lets calls wait until they change.
type faultSwitch struct {
	// mu guards fault and changed.
	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newFaultSwitch() *faultSwitch { return &faultSwitch{changed: make(chan struct{})} }

// get returns the active faults and a channel that is closed on the next change.
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

// consumeLostAnswer reports whether the response to the current write is to be lost, and counts it against LoseAnswers.
func (s *faultSwitch) consumeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.LoseAnswers > 0 {
		s.fault.LoseAnswers--
		return true
	}
	return s.fault.LoseAnswers < 0
}

// waitWhile blocks while condition is true of the active faults. It returns false when ctx ends first.
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

// ServeHTTP replaces the active faults with those in the body.
func (s *faultSwitch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if readJSON(w, r, &fault) {
		s.set(fault)
		w.WriteHeader(http.StatusNoContent)
	}
}

// wrap returns a handler that applies Freeze, DelayMillis, Refuse and Down before it calls next.
func (s *faultSwitch) wrap(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The HTTP server cancels the context of a disconnected caller only after the body has been read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBodyBytes))
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

// sleep waits for d. It returns false if ctx ends first.
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

// readJSON decodes the request body into v. If that fails, it answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON answers with v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // A failure means that the caller has disconnected.
}
