package weights

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Retention ranks. A chunk is evicted only for a chunk of a higher rank, or of an equal rank below rankTarget.
const (
	rankOther = iota
	rankLoaded
	rankTarget
)

type storedChunk struct {
	data []byte
	used uint64
}

// chunkStore holds verified chunks in memory, each once, whatever number of versions refer to it.
//
// Invariant: held <= limit, and held is the sum of the sizes of chunks.
type chunkStore struct {
	// mu guards all fields below.
	mu     sync.Mutex
	limit  int64
	held   int64
	clock  uint64
	chunks map[string]*storedChunk
	rank   map[string]int
	// arrivals holds a channel per awaited chunk, closed when the chunk is stored.
	arrivals map[string]chan struct{}
}

func newChunkStore(limit int64) *chunkStore {
	return &chunkStore{
		limit: limit, chunks: make(map[string]*storedChunk), rank: make(map[string]int),
		arrivals: make(map[string]chan struct{}),
	}
}

// get returns a chunk, which the caller must not change.
func (s *chunkStore) get(hash string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.chunks[hash]
	if !ok {
		return nil, false
	}
	s.clock++
	c.used = s.clock
	return c.data, true
}

func (s *chunkStore) has(hash string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.chunks[hash]
	return ok
}

// missing returns the references that are not held.
func (s *chunkStore) missing(refs []ChunkRef) []ChunkRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ChunkRef
	for _, ref := range refs {
		if _, ok := s.chunks[ref.Hash]; !ok {
			out = append(out, ref)
		}
	}
	return out
}

// put stores a verified chunk. It returns ErrMemoryBound when only chunks of the same or a higher rank could make room.
func (s *chunkStore) put(hash string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.chunks[hash]; ok {
		return nil
	}
	size := int64(len(data))
	for s.held+size > s.limit {
		victim, ok := s.victim(s.rank[hash])
		if !ok {
			return errors.Wrapf(ErrMemoryBound, "%d of %d bytes held", s.held, s.limit)
		}
		s.held -= int64(len(s.chunks[victim].data))
		delete(s.chunks, victim)
	}
	s.clock++
	s.held += size
	s.chunks[hash] = &storedChunk{data: data, used: s.clock}
	s.wake(hash)
	return nil
}

// signal wakes those who wait for key. Manifests use it with their version.
func (s *chunkStore) signal(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(key)
}

// wake closes the arrival channel of key. The caller holds mu.
func (s *chunkStore) wake(key string) {
	if arrival, ok := s.arrivals[key]; ok {
		close(arrival)
		delete(s.arrivals, key)
	}
}

// room tells whether put would succeed, so that nothing is read that cannot be kept.
func (s *chunkStore) room(hash string, size int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := s.limit - s.held
	for held, c := range s.chunks {
		if free >= size {
			break
		}
		if r := s.rank[held]; r < s.rank[hash] || r == rankOther {
			free += int64(len(c.data))
		}
	}
	return free >= size
}

// victim selects the least recently used chunk of the lowest rank below that of the incoming chunk. The caller holds mu.
func (s *chunkStore) victim(incoming int) (string, bool) {
	best, found := "", false
	for hash, c := range s.chunks {
		if r := s.rank[hash]; r >= incoming && r > rankOther {
			continue
		}
		if !found || s.rank[hash] < s.rank[best] || s.rank[hash] == s.rank[best] && c.used < s.chunks[best].used {
			best, found = hash, true
		}
	}
	return best, found
}

// arrival returns a channel that is closed when the chunk is stored or the target changes.
func (s *chunkStore) arrival(hash string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.chunks[hash]; ok {
		done := make(chan struct{})
		close(done)
		return done
	}
	c, ok := s.arrivals[hash]
	if !ok {
		c = make(chan struct{})
		s.arrivals[hash] = c
	}
	return c
}

// setRanks replaces the retention ranks and wakes all who wait.
func (s *chunkStore) setRanks(target, loaded []*Manifest) {
	rank := make(map[string]int)
	for _, m := range loaded {
		for _, c := range m.unique {
			rank[c.Hash] = rankLoaded
		}
	}
	for _, m := range target {
		for _, c := range m.unique {
			rank[c.Hash] = rankTarget
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rank = rank
	for key := range s.arrivals {
		s.wake(key) // Frees the channels of abandoned chunks; those who wait look again.
	}
}
