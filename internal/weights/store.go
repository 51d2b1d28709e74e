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
	data    []byte
	lastUse uint64
}

// chunkStore holds verified chunks in memory, each once, whatever number of versions refer to it.
//
// Invariant: held <= limit, and held is the sum of the sizes of chunks.
type chunkStore struct {
	// mu guards all fields below.
	mu         sync.Mutex
	limitBytes int64
	heldBytes  int64
	useCounter uint64
	chunks     map[string]*storedChunk
	ranks      map[string]int
	// arrivals holds a channel per awaited chunk, closed when the chunk is stored.
	arrivals map[string]chan struct{}
}

func newChunkStore(limitBytes int64) *chunkStore {
	return &chunkStore{
		limitBytes: limitBytes, chunks: make(map[string]*storedChunk), ranks: make(map[string]int),
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
	s.useCounter++
	c.lastUse = s.useCounter
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
	var missing []ChunkRef
	for _, ref := range refs {
		if _, ok := s.chunks[ref.Hash]; !ok {
			missing = append(missing, ref)
		}
	}
	return missing
}

// put stores a verified chunk. It returns ErrMemoryBound when only chunks of the same or a higher rank could make room.
func (s *chunkStore) put(hash string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.chunks[hash]; ok {
		return nil
	}
	size := int64(len(data))
	for s.heldBytes+size > s.limitBytes {
		victim, ok := s.evictionCandidate(s.ranks[hash])
		if !ok {
			return errors.Wrapf(ErrMemoryBound, "%d of %d bytes held", s.heldBytes, s.limitBytes)
		}
		s.heldBytes -= int64(len(s.chunks[victim].data))
		delete(s.chunks, victim)
	}
	s.useCounter++
	s.heldBytes += size
	s.chunks[hash] = &storedChunk{data: data, lastUse: s.useCounter}
	s.wakeWaiters(hash)
	return nil
}

// signal wakes those who wait for key. Manifests use it with their version.
func (s *chunkStore) signal(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeWaiters(key)
}

// wake closes the arrival channel of key. The caller holds mu.
func (s *chunkStore) wakeWaiters(key string) {
	if arrival, ok := s.arrivals[key]; ok {
		close(arrival)
		delete(s.arrivals, key)
	}
}

// room tells whether put would succeed, so that nothing is read that cannot be kept.
func (s *chunkStore) hasRoom(hash string, size int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := s.limitBytes - s.heldBytes
	for heldHash, c := range s.chunks {
		if free >= size {
			break
		}
		if r := s.ranks[heldHash]; r < s.ranks[hash] || r == rankOther {
			free += int64(len(c.data))
		}
	}
	return free >= size
}

// victim selects the least recently used chunk of the lowest rank below that of the incoming chunk. The caller holds mu.
func (s *chunkStore) evictionCandidate(incomingRank int) (string, bool) {
	best, found := "", false
	for hash, c := range s.chunks {
		if r := s.ranks[hash]; r >= incomingRank && r > rankOther {
			continue
		}
		if !found || s.ranks[hash] < s.ranks[best] || s.ranks[hash] == s.ranks[best] && c.lastUse < s.chunks[best].lastUse {
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
		alreadyStored := make(chan struct{})
		close(alreadyStored)
		return alreadyStored
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
	ranks := make(map[string]int)
	for _, m := range loaded {
		for _, c := range m.unique {
			ranks[c.Hash] = rankLoaded
		}
	}
	for _, m := range target {
		for _, c := range m.unique {
			ranks[c.Hash] = rankTarget
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranks = ranks
	for key := range s.arrivals {
		s.wakeWaiters(key) // Frees the channels of abandoned chunks; those who wait look again.
	}
}
