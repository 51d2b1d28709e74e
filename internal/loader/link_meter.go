package loader

import (
	"sync"
	"time"
)

// maxFetchQueueTime bounds the time that chunks in transfer may occupy the link if more than one is fetched at once. Requests to the
// upstream wait on the same link behind the chunks, and so does the end of an attempt whose caller has left.
const maxFetchQueueTime = 150 * time.Millisecond

// minTransferTime is the shortest time that counts as a transfer over the link. A chunk that took less came from the cache of the node,
// or over a link on which one chunk at a time is fast enough.
const minTransferTime = 5 * time.Millisecond

// linkMeter measures how long one chunk occupies the link of the agent. It limits the chunks that are in transfer at once, so that
// requests to the upstream wait at most for one chunk on a slow link. It is safe for concurrent use.
type linkMeter struct {
	mu sync.Mutex
	// chunkTime is the time that the most recent chunk occupied the link, 0 before the first chunk. Transfers shorter than
	// minTransferTime are not counted.
	chunkTime time.Duration
}

// record stores the time in which a chunk was transferred while concurrent chunks, including this one, shared the link.
func (m *linkMeter) record(transfer time.Duration, concurrent int) {
	if transfer < minTransferTime {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.chunkTime = transfer / time.Duration(max(concurrent, 1))
}

// allows reports whether n chunks may be in transfer at once. One always may; more may only once the speed of the link is known.
func (m *linkMeter) allows(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return n <= 1 || m.chunkTime > 0 && time.Duration(n)*m.chunkTime <= maxFetchQueueTime
}
