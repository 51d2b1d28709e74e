package weights

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
)

// Classes of chunks by the role of this agent for the chunk. Each class has its own queue and window, so that chunks that other
// agents wait for are never queued behind chunks that this agent waits for.
const (
	// classRegionReader is the class of the chunks that this agent reads from the origin.
	classRegionReader = iota
	// classDataCentreReader is the class of the chunks of which this agent is only the data-centre reader.
	classDataCentreReader
	// classOther is the class of all other chunks.
	classOther
	// classCount is the number of classes.
	classCount
)

// maxBackoffFactor is the largest multiple of Config.Backoff that is used as a retry delay.
const maxBackoffFactor = 16

// transfer fetches all missing chunks of one version.
type transfer struct {
	manager *Manager
	// linkCtx bounds the lifetime of peer links, which outlive the transfer.
	linkCtx context.Context
	version string
	// firstTransfer is set for the first transfer since the process started. Other agents may have started theirs before.
	firstTransfer bool
	// generation is the membership generation at the start.
	generation uint64

	// mu guards all fields below.
	mu sync.Mutex
	// queues holds the chunks that are still to be fetched, by class.
	queues [classCount][]ChunkRef
	// originWindow is the maximum number of concurrent reads from the origin.
	originWindow int
	// pendingSince is the time at which a peer first reported an object as pending, by object key.
	pendingSince map[string]time.Time
}

// transferVersion fetches the manifest and all missing chunks. It returns early when ctx ends.
func (t *transfer) transferVersion(ctx context.Context) {
	t.awaitPeerView(ctx)
	t.manager.cfg.Log.Info("transfer started", "version", t.version, "peers", t.manager.peerCount())
	manifest := t.manager.manifest(t.version)
	if manifest == nil {
		if t.fetch(ctx, manifestObject(t.manager, t.version)) != fetched {
			return
		}
		manifest = t.manager.manifest(t.version)
	}
	t.manager.updateRanks()
	t.manager.cfg.OnChange()
	for missing := t.manager.store.missing(manifest.unique); len(missing) > 0; missing = t.manager.store.missing(manifest.unique) {
		t.enqueue(missing)
		t.fetchQueued(ctx)
		if ctx.Err() != nil {
			return
		}
	}
	t.manager.mu.Lock()
	t.manager.ready = t.version
	t.manager.mu.Unlock()
	t.manager.cfg.Log.Info("version complete", "version", t.version)
	t.manager.cfg.OnComplete()
}

// awaitPeerView waits for the first view of peers, at most FirstViewTimeout, and then until the view has settled.
func (t *transfer) awaitPeerView(ctx context.Context) {
	timer := time.NewTimer(t.manager.cfg.FirstViewTimeout)
	defer timer.Stop()
	select {
	case <-t.manager.firstViewReceived:
	case <-timer.C:
	case <-ctx.Done():
	}
	for delay := t.manager.viewSettleDelay(); delay > 0 && ctx.Err() == nil; delay = t.manager.viewSettleDelay() {
		timer.Reset(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// enqueue orders the chunks and adds them to the front of the queues of their classes.
func (t *transfer) enqueue(refs []ChunkRef) {
	t.manager.mu.Lock()
	self, peers := t.manager.selfPeer(), t.manager.peers
	t.manager.mu.Unlock()
	if t.manager.cfg.ChunkOrder != OrderInOrder {
		refs = pipelineOrder(refs, self, peers)
	}
	var queues [classCount][]ChunkRef
	for _, ref := range refs {
		class := t.classOf(ref.Hash, self, peers)
		queues[class] = append(queues[class], ref)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.originWindow = max(t.originWindow, t.manager.originWindow(len(queues[classRegionReader])))
	for class := range classCount { // Workers may have requeued chunks in the meantime.
		t.queues[class] = append(queues[class], t.queues[class]...)
	}
}

// classOf returns the class of a chunk.
func (t *transfer) classOf(hash string, self message.Peer, peers []message.Peer) int {
	regionReader, dataCentreReader := readersOf(hash, self, peers)
	switch {
	case t.manager.cfg.Baseline || regionReader == self.NodeID:
		return classRegionReader
	case dataCentreReader == self.NodeID:
		return classDataCentreReader
	default:
		return classOther
	}
}

// fetchQueued fetches all queued chunks and returns when the queues are empty or ctx ends. It starts as many workers per class as
// its window and queue allow, and classifies the queued chunks again when the membership changes.
func (t *transfer) fetchQueued(ctx context.Context) {
	finished := make(chan int, classCount*t.manager.cfg.Window)
	var running [classCount]int
	startWorkers := func() {
		if ctx.Err() != nil {
			return
		}
		for class := range classCount {
			for ; running[class] < min(t.windowSize(class), t.queueLength(class)); running[class]++ {
				go func() {
					t.runWorker(ctx, class)
					finished <- class
				}()
			}
		}
	}
	for startWorkers(); running != [classCount]int{}; startWorkers() {
		select {
		case class := <-finished:
			running[class]--
		case <-t.manager.peersChanged:
			t.reclassify()
		}
	}
}

// windowSize returns the maximum number of concurrent fetches of a class.
func (t *transfer) windowSize(class int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if class == classRegionReader {
		return t.originWindow
	}
	return t.manager.cfg.Window
}

func (t *transfer) queueLength(class int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.queues[class])
}

// reclassify orders and classifies the queued chunks again after a membership change.
func (t *transfer) reclassify() {
	t.mu.Lock()
	var refs []ChunkRef
	for class := range classCount {
		refs = append(refs, t.queues[class]...)
		t.queues[class] = nil
	}
	t.mu.Unlock()
	t.enqueue(refs)
}

// runWorker fetches chunks of one class until its queue is empty. A chunk that a peer is still fetching is moved to the end of the
// queue. Otherwise two agents that wait for each other's chunks could block each other with full windows.
func (t *transfer) runWorker(ctx context.Context, class int) {
	for ctx.Err() == nil {
		ref, ok := t.next(class)
		if !ok {
			return
		}
		switch t.fetch(ctx, chunkObject(t.manager, ref)) {
		case fetched:
			t.manager.cfg.OnChange()
		case pending:
			t.requeue(ref)
		}
	}
}

// requeue appends the chunk to the queue of the class that it has under the current view of peers.
func (t *transfer) requeue(ref ChunkRef) {
	t.manager.mu.Lock()
	self, peers := t.manager.selfPeer(), t.manager.peers
	t.manager.mu.Unlock()
	class := t.classOf(ref.Hash, self, peers)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queues[class] = append(t.queues[class], ref)
}

// next removes and returns the next chunk of a class, and false when its queue is empty.
func (t *transfer) next(class int) (ChunkRef, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.queues[class]) == 0 {
		return ChunkRef{}, false
	}
	return t.dequeue(class), true
}

// dequeue removes and returns the next chunk of a class, whose queue must not be empty. OrderRarest prefers the chunk that most
// peers are requesting from this agent, because an agent cannot see which chunks are rare in the whole fleet. The caller holds mu.
func (t *transfer) dequeue(class int) ChunkRef {
	queue := t.queues[class]
	selected := 0
	if t.manager.cfg.ChunkOrder == OrderRarest {
		t.manager.mu.Lock()
		for i, ref := range queue {
			if t.manager.peerDemand[ref.Hash] > t.manager.peerDemand[queue[selected].Hash] {
				selected = i
			}
		}
		t.manager.mu.Unlock()
	}
	ref := queue[selected]
	t.queues[class] = append(queue[:selected:selected], queue[selected+1:]...)
	return ref
}

// sleepJittered waits for a random time between half of d and d, or until ctx ends.
func sleepJittered(ctx context.Context, d time.Duration) {
	if d > 0 {
		pause.For(ctx, d/2+rand.N(d/2+1))
	}
}
