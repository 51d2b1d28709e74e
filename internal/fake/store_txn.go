package fake

import (
	"bytes"
	"net/http"
	"sort"

	"github.com/pimentohead/pimentohead/internal/platform/store/etcdjson"
)

// gRPC status codes in the bodies of refused calls.
const (
	codeInvalidArgument = 3
	codeNotFound        = 5
	// codeFailedPrecondition refuses a grant of a lease that exists.
	codeFailedPrecondition = 9
)

func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.TxnRequest
	if !readJSON(w, r, &request) {
		return
	}
	writes := request.Writes()
	limiter, count := s.readLimiter, &s.readCount
	if writes {
		limiter, count = s.writeLimiter, &s.writeCount
	}
	if !s.admit(w, limiter, count) {
		return
	}
	if _, problem := validateTxn(&request); problem != "" {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, problem)
		return
	}
	answer, leasesFound := s.commit(&request)
	switch {
	case !leasesFound:
		writeError(w, http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found")
	case writes:
		s.finishWrite(w, answer)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

// commit runs a transaction atomically. leasesFound is false when a put names a lease that does not exist; then the transaction
// has no effect.
func (s *Store) commit(request *etcdjson.TxnRequest) (answer *etcdjson.TxnResponse, leasesFound bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leasesExist(request) {
		return nil, false
	}
	nextRevision := s.revision + 1
	eventsBefore := len(s.history)
	answer = s.runTxn(request, nextRevision)
	s.publishRevision(nextRevision, eventsBefore)
	answer.Header.Revision = s.revision
	return answer, true
}

// publishRevision makes nextRevision the current revision and wakes watches if events were added to the history, which had eventsBefore
// events before; otherwise nothing has changed. It also compacts the history to the latest maxStoreHistory events. The caller holds mu.
func (s *Store) publishRevision(nextRevision int64, eventsBefore int) {
	if len(s.history) == eventsBefore {
		return
	}
	s.revision = nextRevision
	if excess := len(s.history) - maxStoreHistory; excess > 0 {
		s.compacted = s.history[excess-1].KV.ModRevision
		s.history = append([]etcdjson.Event(nil), s.history[excess:]...)
	}
	close(s.committed)
	s.committed = make(chan struct{})
}

// runTxn runs a transaction, nested ones included, whose writes get revision nextRevision. The caller holds mu.
func (s *Store) runTxn(request *etcdjson.TxnRequest, nextRevision int64) *etcdjson.TxnResponse {
	answer := &etcdjson.TxnResponse{Succeeded: true}
	for _, condition := range request.Compare {
		answer.Succeeded = answer.Succeeded && s.conditionHolds(condition)
	}
	ops := request.Failure
	if answer.Succeeded {
		ops = request.Success
	}
	for _, op := range ops {
		answer.Responses = append(answer.Responses, s.runOp(op, nextRevision))
	}
	return answer
}

// conditionHolds reports whether the key of a condition is at the expected revision. The caller holds mu.
func (s *Store) conditionHolds(condition etcdjson.Compare) bool {
	kv := s.keys[string(condition.Key)]
	if condition.Target == "MOD" {
		return condition.ModRevision != nil && kv.ModRevision == *condition.ModRevision
	}
	return condition.CreateRevision != nil && kv.CreateRevision == *condition.CreateRevision
}

// runOp runs one operation of a transaction. The caller holds mu.
func (s *Store) runOp(op etcdjson.RequestOp, nextRevision int64) etcdjson.ResponseOp {
	switch {
	case op.Put != nil:
		s.put(op.Put, nextRevision)
		return etcdjson.ResponseOp{Put: &etcdjson.WriteResponse{}}
	case op.Delete != nil:
		s.remove(string(op.Delete.Key), nextRevision)
		return etcdjson.ResponseOp{Delete: &etcdjson.WriteResponse{}}
	case op.Range != nil:
		return etcdjson.ResponseOp{Range: s.readRange(op.Range)}
	default:
		return etcdjson.ResponseOp{Txn: s.runTxn(op.Txn, nextRevision)}
	}
}

// put sets a key and records the event. The caller holds mu.
func (s *Store) put(request *etcdjson.PutRequest, nextRevision int64) {
	kv := etcdjson.KeyValue{
		Key: request.Key, Value: request.Value, Lease: request.Lease, CreateRevision: nextRevision, ModRevision: nextRevision,
	}
	if old, ok := s.keys[string(request.Key)]; ok {
		kv.CreateRevision = old.CreateRevision
	}
	s.keys[string(request.Key)] = kv
	s.history = append(s.history, etcdjson.Event{Type: etcdjson.EventPut, KV: kv})
}

// remove deletes a key, if it exists, and records the event. The caller holds mu.
func (s *Store) remove(key string, nextRevision int64) {
	if _, ok := s.keys[key]; !ok {
		return
	}
	delete(s.keys, key)
	deleted := etcdjson.KeyValue{Key: []byte(key), ModRevision: nextRevision}
	s.history = append(s.history, etcdjson.Event{Type: etcdjson.EventDelete, KV: deleted})
}

// readRange returns one key, or the keys from Key up to but excluding RangeEnd in key order. A RangeEnd of one zero byte is no
// upper bound. Count includes the keys that Limit cuts off. The caller holds mu.
func (s *Store) readRange(request *etcdjson.RangeRequest) *etcdjson.RangeResponse {
	answer := &etcdjson.RangeResponse{Header: etcdjson.Header{Revision: s.revision}}
	if len(request.RangeEnd) == 0 {
		if kv, ok := s.keys[string(request.Key)]; ok {
			answer.KVs, answer.Count = []etcdjson.KeyValue{kv}, 1
		}
		return answer
	}
	unbounded := bytes.Equal(request.RangeEnd, []byte{0})
	for _, kv := range s.keys {
		if bytes.Compare(kv.Key, request.Key) >= 0 && (unbounded || bytes.Compare(kv.Key, request.RangeEnd) < 0) {
			answer.KVs = append(answer.KVs, kv)
		}
	}
	sort.Slice(answer.KVs, func(i, j int) bool { return bytes.Compare(answer.KVs[i].Key, answer.KVs[j].Key) < 0 })
	answer.Count = int64(len(answer.KVs))
	if request.Limit > 0 && answer.Count > request.Limit {
		answer.KVs = answer.KVs[:request.Limit]
	}
	return answer
}

// leasesExist reports whether the leases of all puts exist, including the puts of branches that will not run: etcd checks all of them
// before it applies a transaction. The caller holds mu.
func (s *Store) leasesExist(request *etcdjson.TxnRequest) bool {
	for _, ops := range [][]etcdjson.RequestOp{request.Success, request.Failure} {
		for _, op := range ops {
			if op.Put != nil && op.Put.Lease != 0 && s.leases[op.Put.Lease] == nil {
				return false
			}
			if op.Txn != nil && !s.leasesExist(op.Txn) {
				return false
			}
		}
	}
	return true
}

// validateTxn checks a transaction as etcd does, and refuses conditions that the stand-in does not support. It returns the keys
// that either branch puts, and an error message or "".
func validateTxn(request *etcdjson.TxnRequest) (map[string]bool, string) {
	if max(len(request.Compare), len(request.Success), len(request.Failure)) > maxTxnOps {
		return nil, "etcdserver: too many operations in txn request"
	}
	for _, condition := range request.Compare {
		if condition.Result != "EQUAL" || condition.Target != "MOD" && condition.Target != "CREATE" {
			return nil, "stand-in supports EQUAL on MOD and CREATE only"
		}
	}
	puts := make(map[string]bool)
	for _, ops := range [][]etcdjson.RequestOp{request.Success, request.Failure} {
		branch, problem := validateOps(ops)
		if problem != "" {
			return nil, problem
		}
		for key := range branch {
			puts[key] = true
		}
	}
	return puts, ""
}

// validateOps checks one branch of a transaction, in which no key may be put twice. It returns the keys that it puts, and an
// error message or "".
func validateOps(ops []etcdjson.RequestOp) (map[string]bool, string) {
	puts := make(map[string]bool)
	for _, op := range ops {
		added, problem := validateOp(op)
		if problem != "" {
			return nil, problem
		}
		for key := range added {
			if puts[key] {
				return nil, "etcdserver: duplicate key given in txn request"
			}
			puts[key] = true
		}
	}
	return puts, ""
}

// validateOp checks one operation. It returns the keys that it puts, and an error message or "".
func validateOp(op etcdjson.RequestOp) (map[string]bool, string) {
	switch {
	case op.Txn != nil:
		return validateTxn(op.Txn)
	case op.Put != nil && len(op.Put.Value) > maxStoreValueBytes:
		return nil, "etcdserver: request is too large"
	case op.Put != nil:
		return map[string]bool{string(op.Put.Key): true}, ""
	case op.Range != nil || op.Delete != nil:
		return nil, ""
	default:
		return nil, "etcdserver: key is not provided"
	}
}
