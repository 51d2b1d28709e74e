package fake

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pimentohead/pimentohead/internal/platform/store/etcdjson"
)

func (s *Store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.GrantRequest
	if !s.admit(w, s.writes, &s.writeCount) || !readJSON(w, r, &request) {
		return
	}
	if request.TTL <= 0 {
		refuseCall(w, http.StatusBadRequest, codeInvalidArgument, "etcdserver: TTL must be positive")
		return
	}
	s.mu.Lock()
	granted := &lease{id: s.nextLease, ttl: request.TTL}
	granted.timer = time.AfterFunc(granted.lifetime(), func() { s.expire(granted) })
	s.leases[granted.id] = granted
	s.nextLease++
	answer := etcdjson.LeaseResponse{Header: etcdjson.Header{Revision: s.revision}, ID: granted.id, TTL: granted.ttl}
	s.mu.Unlock()
	s.finishWrite(w, answer)
}

func (s *Store) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.LeaseRequest
	if !s.admit(w, s.writes, &s.writeCount) || !readJSON(w, r, &request) {
		return
	}
	answer := etcdjson.LeaseResponse{ID: request.ID}
	s.mu.Lock()
	// Stop reports false when the lease has expired and waits for mu to be removed.
	if held := s.leases[request.ID]; held != nil && held.timer.Stop() {
		held.timer.Reset(held.lifetime())
		answer.TTL = held.ttl
	}
	answer.Header.Revision = s.revision
	s.mu.Unlock()
	s.finishWrite(w, etcdjson.KeepAliveResponse{Result: answer})
}

func (s *Store) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.LeaseRequest
	if !s.admit(w, s.writes, &s.writeCount) || !readJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	held := s.leases[request.ID]
	if held != nil {
		held.timer.Stop()
		s.dropLease(held)
	}
	answer := etcdjson.LeaseResponse{Header: etcdjson.Header{Revision: s.revision}}
	s.mu.Unlock()
	if held == nil {
		refuseCall(w, http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found")
		return
	}
	s.finishWrite(w, answer)
}

func (l *lease) lifetime() time.Duration { return time.Duration(l.ttl) * time.Second }

func (s *Store) expire(expired *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[expired.id] == expired {
		s.dropLease(expired)
	}
}

// dropLease removes a lease and its keys in one revision. The caller holds mu.
func (s *Store) dropLease(ended *lease) {
	delete(s.leases, ended.id)
	next, before := s.revision+1, len(s.history)
	for key, kv := range s.keys {
		if kv.Lease == ended.id {
			s.remove(key, next)
		}
	}
	s.publish(next, before)
}

// handleWatch streams the changes of one key until the caller disconnects or a fault is switched on.
func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.WatchRequest
	if !s.admit(w, s.reads, &s.readCount) || !readJSON(w, r, &request) {
		return
	}
	s.watchCount.Add(1)
	_, faultChanged := s.faults.get()
	next := request.Create.StartRevision
	result := etcdjson.WatchResult{Created: true}
	for {
		events, committed, revision, compacted := s.changesSince(string(request.Create.Key), next)
		if next == 0 {
			next, events = revision+1, nil
		}
		if next <= compacted {
			result.Canceled, result.CompactRevision = true, compacted
		}
		result.Header.Revision, result.Events = revision, events
		if (result.Created || len(events) > 0 || result.Canceled) && !sendWatch(w, result) {
			return
		}
		if result.Canceled {
			return
		}
		next, result = max(next, revision+1), etcdjson.WatchResult{}
		select {
		case <-committed:
		case <-r.Context().Done():
			return
		case <-faultChanged:
			if fault, changed := s.faults.get(); fault.Down || fault.Refuse {
				panic(http.ErrAbortHandler)
			} else {
				faultChanged = changed
			}
		}
	}
}

// changesSince returns the events of key from revision on, and a channel that is closed on the next commit.
func (s *Store) changesSince(key string, from int64) ([]etcdjson.Event, <-chan struct{}, int64, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []etcdjson.Event
	for i := len(s.history) - 1; i >= 0 && s.history[i].KV.ModRevision >= from; i-- {
		if string(s.history[i].KV.Key) == key {
			events = append([]etcdjson.Event{s.history[i]}, events...)
		}
	}
	return events, s.committed, s.revision, s.compacted
}

func sendWatch(w http.ResponseWriter, result etcdjson.WatchResult) bool {
	if json.NewEncoder(w).Encode(etcdjson.WatchResponse{Result: result}) != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
