package fake

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pimentohead/pimentohead/internal/platform/store/etcdjson"
)

// handleGrant grants a lease with the ID of the request, or with one that the store chooses if that is 0, as in etcd.
func (s *Store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.GrantRequest
	if !s.admit(w, s.writeLimiter, &s.writeCount) || !readJSON(w, r, &request) {
		return
	}
	if request.TTL <= 0 {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, "etcdserver: TTL must be positive")
		return
	}
	s.mu.Lock()
	if s.leases[request.ID] != nil {
		s.mu.Unlock()
		writeError(w, http.StatusBadRequest, codeFailedPrecondition, "etcdserver: lease already exists")
		return
	}
	id := request.ID
	if id == 0 {
		id = s.nextLeaseID
		s.nextLeaseID++
	}
	granted := s.addLease(id, request.TTL)
	answer := etcdjson.LeaseResponse{Header: etcdjson.Header{Revision: s.revision}, ID: granted.id, TTL: granted.ttl}
	s.mu.Unlock()
	s.finishWrite(w, answer)
}

// handleKeepAlive renews a lease. A TTL of 0 in the answer means that the lease does not exist, as in etcd.
func (s *Store) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.LeaseRequest
	if !s.admit(w, s.writeLimiter, &s.writeCount) || !readJSON(w, r, &request) {
		return
	}
	answer := etcdjson.LeaseResponse{ID: request.ID}
	s.mu.Lock()
	// Stop returns false when the timer has fired and expire is waiting for mu: the lease has expired.
	if existing := s.leases[request.ID]; existing != nil && existing.timer.Stop() {
		existing.timer.Reset(existing.lifetime())
		answer.TTL = existing.ttl
	}
	answer.Header.Revision = s.revision
	s.mu.Unlock()
	s.finishWrite(w, etcdjson.KeepAliveResponse{Result: answer})
}

func (s *Store) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.LeaseRequest
	if !s.admit(w, s.writeLimiter, &s.writeCount) || !readJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	existing := s.leases[request.ID]
	if existing != nil {
		existing.timer.Stop()
		s.removeLease(existing)
	}
	answer := etcdjson.LeaseResponse{Header: etcdjson.Header{Revision: s.revision}}
	s.mu.Unlock()
	if existing == nil {
		writeError(w, http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found")
		return
	}
	s.finishWrite(w, answer)
}

func (l *lease) lifetime() time.Duration { return time.Duration(l.ttl) * time.Second }

// expire removes a lease whose timer has fired, unless it has been revoked meanwhile.
func (s *Store) expire(expired *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[expired.id] == expired {
		s.removeLease(expired)
	}
}

// removeLease removes a lease and its keys in one revision. The caller holds mu.
func (s *Store) removeLease(removed *lease) {
	delete(s.leases, removed.id)
	nextRevision, eventsBefore := s.revision+1, len(s.history)
	for key, kv := range s.keys {
		if kv.Lease == removed.id {
			s.remove(key, nextRevision)
		}
	}
	s.publishRevision(nextRevision, eventsBefore)
}

// handleWatch streams the changes of one key from a start revision on; 0 starts after the current revision. The watch ends when
// the caller disconnects, when the next revision to send has been compacted, on Restore, or when Down or Refuse is set. A watch from a
// revision that the store has not reached waits for it, as in etcd.
func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.WatchRequest
	if !s.admit(w, s.readLimiter, &s.readCount) || !readJSON(w, r, &request) {
		return
	}
	s.watchCount.Add(1)
	s.mu.Lock()
	restored := s.restored
	s.mu.Unlock()
	_, faultChanged := s.faults.get()
	nextRevision := request.Create.StartRevision
	result := etcdjson.WatchResult{Created: true}
	for {
		events, committed, revision, compacted := s.changesSince(string(request.Create.Key), nextRevision)
		if nextRevision == 0 {
			nextRevision, events = revision+1, nil
		}
		if nextRevision <= compacted {
			result.Canceled, result.CompactRevision = true, compacted
		}
		result.Header.Revision, result.Events = revision, events
		if (result.Created || len(events) > 0 || result.Canceled) && !writeWatchResult(w, result) {
			return
		}
		if result.Canceled {
			return
		}
		nextRevision, result = max(nextRevision, revision+1), etcdjson.WatchResult{}
		select {
		case <-committed:
		case <-r.Context().Done():
			return
		case <-restored:
			panic(http.ErrAbortHandler)
		case <-faultChanged:
			if fault, changed := s.faults.get(); fault.Down || fault.Refuse {
				panic(http.ErrAbortHandler)
			} else {
				faultChanged = changed
			}
		}
	}
}

// changesSince returns the events of key from fromRevision on, a channel that is closed on the next commit, the current revision
// and the last compacted revision, in this order.
func (s *Store) changesSince(key string, fromRevision int64) ([]etcdjson.Event, <-chan struct{}, int64, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []etcdjson.Event
	for i := len(s.history) - 1; i >= 0 && s.history[i].KV.ModRevision >= fromRevision; i-- {
		if string(s.history[i].KV.Key) == key {
			events = append([]etcdjson.Event{s.history[i]}, events...)
		}
	}
	return events, s.committed, s.revision, s.compacted
}

// writeWatchResult sends one message of a watch. It returns false when the caller has disconnected.
func writeWatchResult(w http.ResponseWriter, result etcdjson.WatchResult) bool {
	if json.NewEncoder(w).Encode(etcdjson.WatchResponse{Result: result}) != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
