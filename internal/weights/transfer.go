package weights

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Classes of chunks. Each class has its own window, so that chunks for which others wait are never queued behind chunks
// for which this agent waits.
const (
	classRegionReader = iota
	classCentreReader
	classOther
	classCount
)

// maxBackoffFactor bounds the growth of retry delays.
const maxBackoffFactor = 16

// transfer fetches one version.
type transfer struct {
	manager *Manager
	// run bounds the life of peer links, which outlive the transfer.
	linkCtx context.Context
	version string
	// late tells that the agent may have joined during a transfer of the others.
	firstTransfer bool
	// generation is the membership generation at the start.
	generation uint64

	// mu guards all fields below.
	mu     sync.Mutex
	queues [classCount][]ChunkRef
	// sourceWindow is the number of chunks that are read from the origin at once.
	originWindow int
	// pendingSince holds when a peer first reported an object as pending.
	pendingSince map[string]time.Time
}

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

// awaitView waits for the first view of peers, and while views still grow after it.
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

// fill sorts the chunks into the queues of their classes.
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
	for class := range classCount { // Workers may have queued chunks again in the meantime.
		t.queues[class] = append(queues[class], t.queues[class]...)
	}
}

func (t *transfer) classOf(hash string, self message.Peer, peers []message.Peer) int {
	regionReader, centreReader := readersOf(hash, self, peers)
	switch {
	case t.manager.cfg.Baseline || regionReader == self.NodeID:
		return classRegionReader
	case centreReader == self.NodeID:
		return classCentreReader
	default:
		return classOther
	}
}

// runWindows fetches all queued chunks and returns when the queues are empty or ctx ends.
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

// window returns how many chunks of a class are fetched at once.
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

// refill classifies the queued chunks again after a membership change.
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

// work fetches chunks of one class until its queue is empty. A chunk that a peer still fetches goes to the end of its
// queue, so that the windows of two agents that wait for each other's chunks cannot block both.
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

func (t *transfer) requeue(ref ChunkRef) {
	t.manager.mu.Lock()
	self, peers := t.manager.selfPeer(), t.manager.peers
	t.manager.mu.Unlock()
	class := t.classOf(ref.Hash, self, peers)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queues[class] = append(t.queues[class], ref)
}

func (t *transfer) next(class int) (ChunkRef, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.queues[class]) == 0 {
		return ChunkRef{}, false
	}
	return t.dequeue(class), true
}

// take removes the next chunk of a class. Order "rarest" prefers the chunk that most peers ask this agent for, which is the
// part of the fleet's state that one agent can see. The caller holds mu.
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

// sleep waits for a jittered delay of at most d, at least half of it.
func sleepJittered(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d/2 + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
