// Package refusal remembers requests that were refused, so that an entry recognises a caller that comes back and knows for how long it has
// waited. A caller's retry has a new request ID and may reach any entry of the data centre; entries therefore tell each other their
// refusals.
package refusal

import (
	"encoding/binary"
	"hash/fnv"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// Retention is how long a refusal is remembered. Callers come back within a third of their timeout, and have timeouts of up to 30 s.
	Retention = 10 * time.Second
	// maxRefusals bounds the refusals that are remembered, maxPending those that wait to be sent to other entries. The
	// oldest are dropped.
	maxRefusals = 8192
	maxPending  = 1024
)

// Table holds the refusals of the last seconds. It is safe for concurrent use.
type Table struct {
	now func() time.Time
	mu  sync.Mutex
	// since maps the fingerprints of refused requests to the times at which their callers began to wait.
	since *lru.Cache[uint64, refusal]
	// pending holds the fingerprints of refusals that other entries have not been told yet.
	pending []uint64
}

// refusal is the newest refusal of a request.
type refusal struct {
	// since is when the caller began to wait, at when it was refused.
	since, at time.Time
}

// New returns an empty table. now is the clock; nil selects time.Now.
func New(now func() time.Time) *Table {
	if now == nil {
		now = time.Now
	}
	since, err := lru.New[uint64, refusal](maxRefusals)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &Table{now: now, since: since}
}

// Fingerprint identifies a request by the fields that a retry repeats. Each field is hashed with its length, so that no two lists of
// fields are hashed alike.
func Fingerprint(fields ...[]byte) uint64 {
	hash := fnv.New64a()
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(field)
	}
	return hash.Sum64()
}

// Record remembers that a request was refused whose caller has waited for the given time.
func (t *Table) Record(fingerprint uint64, waited time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.since.Add(fingerprint, refusal{since: now.Add(-waited), at: now})
	if len(t.pending) >= maxPending {
		t.pending = t.pending[1:]
	}
	t.pending = append(t.pending, fingerprint)
}

// Take returns for how long the caller of a request has waited if an equal request was refused before, and false if none was. It forgets
// the refusal: of several callers with equal requests, each refusal explains the return of one.
func (t *Table) Take(fingerprint uint64) (waited time.Duration, returning bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.since.Peek(fingerprint)
	if !known {
		return 0, false
	}
	t.since.Remove(fingerprint)
	now := t.now()
	if now.Sub(r.at) >= Retention {
		return 0, false
	}
	return max(now.Sub(r.since), 0), true
}

// Pending returns the refusals since the last call, for the other entries of the data centre, or nil if there are none.
func (t *Table) Pending() *message.Refusals {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var out message.Refusals
	for _, fingerprint := range t.pending {
		if r, known := t.since.Peek(fingerprint); known {
			out.Refusals = append(out.Refusals, message.Refusal{Fingerprint: fingerprint, WaitedMillis: now.Sub(r.since).Milliseconds(),
				AgeMillis: now.Sub(r.at).Milliseconds()})
		}
	}
	t.pending = t.pending[:0]
	if len(out.Refusals) == 0 {
		return nil
	}
	return &out
}

// Merge remembers the refusals of another entry.
func (t *Table) Merge(m *message.Refusals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, r := range m.Refusals {
		age := time.Duration(max(r.AgeMillis, 0)) * time.Millisecond
		waited := time.Duration(max(r.WaitedMillis, r.AgeMillis, 0)) * time.Millisecond
		if age >= Retention {
			continue
		}
		t.since.Add(r.Fingerprint, refusal{since: now.Add(-waited), at: now.Add(-age)})
	}
}
