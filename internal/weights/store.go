package weights

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Retention ranks. A chunk of rankOther may be evicted for any chunk, and a chunk of another rank only for one of a higher rank.
const (
	rankOther = iota
	// rankLoaded is the rank of the version that the engine serves.
	rankLoaded
	// rankTarget is the rank of the target and of the version that the engine is loading.
	rankTarget
)

// storedChunk is a chunk in memory.
type storedChunk struct {
	data []byte
	// lastUse is the value of chunkStore.useCounter at the last use.
	lastUse uint64
}

// chunkStore stores verified chunks in memory. A chunk that belongs to several versions is stored once.
//
// Invariant: heldBytes <= limitBytes, and heldBytes is the sum of the sizes of chunks.
type chunkStore struct {
	// mu guards all fields below.
	mu         sync.Mutex
	limitBytes int64
	heldBytes  int64
	// useCounter counts uses of chunks and orders them by recency.
	useCounter uint64
	// chunks holds the chunks by hash.
	chunks map[string]*storedChunk
	// ranks holds the retention ranks by chunk hash; a missing hash has rankOther.
	ranks map[string]int
	// arrivals holds a channel per awaited chunk hash or manifest version. It is closed when the object is stored or the ranks
	// change.
	arrivals map[string]chan struct{}
}

func newChunkStore(limitBytes int64) *chunkStore {
	return &chunkStore{
		limitBytes: limitBytes, chunks: make(map[string]*storedChunk), ranks: make(map[string]int),
		arrivals: make(map[string]chan struct{}),
	}
}

// get returns a chunk and marks it as used. The caller must not change the data.
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

// has reports whether a chunk is stored. Unlike get it does not mark the chunk as used.
func (s *chunkStore) has(hash string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.chunks[hash]
	return ok
}

// missing returns the references whose chunks are not stored.
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

// put stores a verified chunk and evicts others if necessary. It returns ErrMemoryBound when no chunk that may be evicted is left.
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

// signal wakes the goroutines that wait for key. It is called for manifests, with the version as key.
func (s *chunkStore) signal(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeWaiters(key)
}

// wakeWaiters closes the arrival channel of key. The caller holds mu.
func (s *chunkStore) wakeWaiters(key string) {
	if arrival, ok := s.arrivals[key]; ok {
		close(arrival)
		delete(s.arrivals, key)
	}
}

// hasRoom reports whether put would succeed, so that nothing is fetched that cannot be stored.
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

// evictionCandidate returns the hash of the least recently used chunk of the lowest rank that may be evicted for a chunk of
// incomingRank, and false when there is none. The caller holds mu.
func (s *chunkStore) evictionCandidate(incomingRank int) (string, bool) {
	candidate, found := "", false
	for hash, c := range s.chunks {
		if r := s.ranks[hash]; r >= incomingRank && r > rankOther {
			continue
		}
		if !found || s.ranks[hash] < s.ranks[candidate] || s.ranks[hash] == s.ranks[candidate] && c.lastUse < s.chunks[candidate].lastUse {
			candidate, found = hash, true
		}
	}
	return candidate, found
}

// arrival returns a channel that is closed when the chunk, or the manifest with this version, is stored, or when the ranks change.
func (s *chunkStore) arrival(key string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.chunks[key]; ok {
		alreadyStored := make(chan struct{})
		close(alreadyStored)
		return alreadyStored
	}
	c, ok := s.arrivals[key]
	if !ok {
		c = make(chan struct{})
		s.arrivals[key] = c
	}
	return c
}

// setRanks replaces the retention ranks and wakes all waiting goroutines.
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
		s.wakeWaiters(key) // Frees the channels of abandoned chunks. Goroutines that still wait for theirs call arrival again.
	}
}
