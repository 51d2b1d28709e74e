package fake

import (
	"bytes"
	"net/http"
	"sort"

	"github.com/pimentohead/pimentohead/internal/platform/store/etcdjson"
)

// gRPC status codes in refused calls.
const (
	codeInvalidArgument = 3
	codeNotFound        = 5
)

func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.TxnRequest
	if !readJSON(w, r, &request) {
		return
	}
	writes := request.Writes()
	limiter, count := s.reads, &s.readCount
	if writes {
		limiter, count = s.writes, &s.writeCount
	}
	if !s.admit(w, limiter, count) {
		return
	}
	if _, fault := checkTxn(&request); fault != "" {
		refuseCall(w, http.StatusBadRequest, codeInvalidArgument, fault)
		return
	}
	answer, found := s.commit(&request)
	switch {
	case !found:
		refuseCall(w, http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found")
	case writes:
		s.finishWrite(w, answer)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

// commit runs a transaction atomically. found is false when it names a lease that does not exist; then it has no effect.
func (s *Store) commit(request *etcdjson.TxnRequest) (answer *etcdjson.TxnResponse, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leasesExist(request) {
		return nil, false
	}
	next := s.revision + 1
	before := len(s.history)
	answer = s.runTxn(request, next)
	s.publish(next, before)
	answer.Header.Revision = s.revision
	return answer, true
}

// publish makes next the revision when events were added since before. The caller holds mu.
func (s *Store) publish(next int64, before int) {
	if len(s.history) == before {
		return
	}
	s.revision = next
	if excess := len(s.history) - maxStoreHistory; excess > 0 {
		s.compacted = s.history[excess-1].KV.ModRevision
		s.history = append([]etcdjson.Event(nil), s.history[excess:]...)
	}
	close(s.committed)
	s.committed = make(chan struct{})
}

// runTxn evaluates a transaction at revision next. The caller holds mu.
func (s *Store) runTxn(request *etcdjson.TxnRequest, next int64) *etcdjson.TxnResponse {
	answer := &etcdjson.TxnResponse{Succeeded: true}
	for _, condition := range request.Compare {
		answer.Succeeded = answer.Succeeded && s.holds(condition)
	}
	ops := request.Failure
	if answer.Succeeded {
		ops = request.Success
	}
	for _, op := range ops {
		answer.Responses = append(answer.Responses, s.runOp(op, next))
	}
	return answer
}

func (s *Store) holds(condition etcdjson.Compare) bool {
	kv := s.keys[string(condition.Key)]
	if condition.Target == "MOD" {
		return condition.ModRevision != nil && kv.ModRevision == *condition.ModRevision
	}
	return condition.CreateRevision != nil && kv.CreateRevision == *condition.CreateRevision
}

func (s *Store) runOp(op etcdjson.RequestOp, next int64) etcdjson.ResponseOp {
	switch {
	case op.Put != nil:
		s.put(op.Put, next)
		return etcdjson.ResponseOp{Put: &etcdjson.WriteResponse{}}
	case op.Delete != nil:
		s.remove(string(op.Delete.Key), next)
		return etcdjson.ResponseOp{Delete: &etcdjson.WriteResponse{}}
	case op.Range != nil:
		return etcdjson.ResponseOp{Range: s.readRange(op.Range)}
	default:
		return etcdjson.ResponseOp{Txn: s.runTxn(op.Txn, next)}
	}
}

func (s *Store) put(request *etcdjson.PutRequest, next int64) {
	kv := etcdjson.KeyValue{
		Key: request.Key, Value: request.Value, Lease: request.Lease, CreateRevision: next, ModRevision: next,
	}
	if old, ok := s.keys[string(request.Key)]; ok {
		kv.CreateRevision = old.CreateRevision
	}
	s.keys[string(request.Key)] = kv
	s.history = append(s.history, etcdjson.Event{Type: etcdjson.EventPut, KV: kv})
}

func (s *Store) remove(key string, next int64) {
	if _, ok := s.keys[key]; !ok {
		return
	}
	delete(s.keys, key)
	deleted := etcdjson.KeyValue{Key: []byte(key), ModRevision: next}
	s.history = append(s.history, etcdjson.Event{Type: etcdjson.EventDelete, KV: deleted})
}

// readRange reads one key or a range of keys in key order. The caller holds mu.
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

// leasesExist checks the leases of all puts, as the service does before it applies a transaction. The caller holds mu.
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

// checkTxn checks a transaction as the service does. It returns the keys that may be put, and the fault or "".
func checkTxn(request *etcdjson.TxnRequest) (map[string]bool, string) {
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
		branch, fault := checkOps(ops)
		if fault != "" {
			return nil, fault
		}
		for key := range branch {
			puts[key] = true
		}
	}
	return puts, ""
}

// checkOps checks one branch: no key may be put twice in it.
func checkOps(ops []etcdjson.RequestOp) (map[string]bool, string) {
	puts := make(map[string]bool)
	for _, op := range ops {
		added, fault := checkOp(op)
		if fault != "" {
			return nil, fault
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

func checkOp(op etcdjson.RequestOp) (map[string]bool, string) {
	switch {
	case op.Txn != nil:
		return checkTxn(op.Txn)
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
