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
	classes
)

// maxBackoffFactor bounds the growth of retry delays.
const maxBackoffFactor = 16

// transfer fetches one version.
type transfer struct {
	m *Manager
	// run bounds the life of peer links, which outlive the transfer.
	run     context.Context
	version string
	// late tells that the agent may have joined during a transfer of the others.
	late bool
	// generation is the membership generation at the start.
	generation uint64

	// mu guards all fields below.
	mu    sync.Mutex
	queue [classes][]ChunkRef
	// sourceWindow is the number of chunks that are read from the origin at once.
	sourceWindow int
	// pendingSince holds when a peer first reported an object as pending.
	pendingSince map[string]time.Time
}

func (t *transfer) transferVersion(ctx context.Context) {
	t.awaitView(ctx)
	t.m.cfg.Log.Info("transfer started", "version", t.version, "peers", t.m.peerCount())
	manifest := t.m.manifest(t.version)
	if manifest == nil {
		if t.fetch(ctx, manifestObject(t.m, t.version)) != fetched {
			return
		}
		manifest = t.m.manifest(t.version)
	}
	t.m.updateRanks()
	t.m.cfg.OnChange()
	for missing := t.m.store.missing(manifest.unique); len(missing) > 0; missing = t.m.store.missing(manifest.unique) {
		t.fill(missing)
		t.runWindows(ctx)
		if ctx.Err() != nil {
			return
		}
	}
	t.m.mu.Lock()
	t.m.ready = t.version
	t.m.mu.Unlock()
	t.m.cfg.Log.Info("version complete", "version", t.version)
	t.m.cfg.OnComplete()
}

// awaitView waits for the first view of peers, and while views still grow after it.
func (t *transfer) awaitView(ctx context.Context) {
	timer := time.NewTimer(t.m.cfg.ViewWait)
	defer timer.Stop()
	select {
	case <-t.m.viewed:
	case <-timer.C:
	case <-ctx.Done():
	}
	for left := t.m.unsettled(); left > 0 && ctx.Err() == nil; left = t.m.unsettled() {
		timer.Reset(left)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// fill sorts the chunks into the queues of their classes.
func (t *transfer) fill(refs []ChunkRef) {
	t.m.mu.Lock()
	self, peers := t.m.selfPeer(), t.m.peers
	t.m.mu.Unlock()
	if t.m.cfg.ChunkOrder != OrderInOrder {
		refs = pipelineOrder(refs, self, peers)
	}
	var queue [classes][]ChunkRef
	for _, ref := range refs {
		class := t.classOf(ref.Hash, self, peers)
		queue[class] = append(queue[class], ref)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sourceWindow = max(t.sourceWindow, t.m.sourceWindow(len(queue[classRegionReader])))
	for class := range classes { // Workers may have queued chunks again in the meantime.
		t.queue[class] = append(queue[class], t.queue[class]...)
	}
}

func (t *transfer) classOf(hash string, self message.Peer, peers []message.Peer) int {
	region, centre := topOf(hash, self, peers)
	switch {
	case t.m.cfg.Baseline || region == self.NodeID:
		return classRegionReader
	case centre == self.NodeID:
		return classCentreReader
	default:
		return classOther
	}
}

// runWindows fetches all queued chunks and returns when the queues are empty or ctx ends.
func (t *transfer) runWindows(ctx context.Context) {
	finished := make(chan int, classes*t.m.cfg.Window)
	var running [classes]int
	topUp := func() {
		if ctx.Err() != nil {
			return
		}
		for class := range classes {
			for ; running[class] < min(t.window(class), t.queued(class)); running[class]++ {
				go func() {
					t.work(ctx, class)
					finished <- class
				}()
			}
		}
	}
	for topUp(); running != [classes]int{}; topUp() {
		select {
		case class := <-finished:
			running[class]--
		case <-t.m.views:
			t.refill()
		}
	}
}

// window returns how many chunks of a class are fetched at once.
func (t *transfer) window(class int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if class == classRegionReader {
		return t.sourceWindow
	}
	return t.m.cfg.Window
}

func (t *transfer) queued(class int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.queue[class])
}

// refill classifies the queued chunks again after a membership change.
func (t *transfer) refill() {
	t.mu.Lock()
	var refs []ChunkRef
	for class := range classes {
		refs = append(refs, t.queue[class]...)
		t.queue[class] = nil
	}
	t.mu.Unlock()
	t.fill(refs)
}

// work fetches chunks of one class until its queue is empty. A chunk that a peer still fetches goes to the end of its
// queue, so that the windows of two agents that wait for each other's chunks cannot block both.
func (t *transfer) work(ctx context.Context, class int) {
	for ctx.Err() == nil {
		ref, ok := t.next(class)
		if !ok {
			return
		}
		switch t.fetch(ctx, chunkObject(t.m, ref)) {
		case fetched:
			t.m.cfg.OnChange()
		case pending:
			t.requeue(ref)
		}
	}
}

func (t *transfer) requeue(ref ChunkRef) {
	t.m.mu.Lock()
	self, peers := t.m.selfPeer(), t.m.peers
	t.m.mu.Unlock()
	class := t.classOf(ref.Hash, self, peers)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queue[class] = append(t.queue[class], ref)
}

func (t *transfer) next(class int) (ChunkRef, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.queue[class]) == 0 {
		return ChunkRef{}, false
	}
	return t.take(class), true
}

// take removes the next chunk of a class. Order "rarest" prefers the chunk that most peers ask this agent for, which is the
// part of the fleet's state that one agent can see. The caller holds mu.
func (t *transfer) take(class int) ChunkRef {
	queue := t.queue[class]
	pick := 0
	if t.m.cfg.ChunkOrder == OrderRarest {
		t.m.mu.Lock()
		for i, ref := range queue {
			if t.m.demand[ref.Hash] > t.m.demand[queue[pick].Hash] {
				pick = i
			}
		}
		t.m.mu.Unlock()
	}
	ref := queue[pick]
	t.queue[class] = append(queue[:pick:pick], queue[pick+1:]...)
	return ref
}

// sleep waits for a jittered delay of at most d, at least half of it.
func sleep(ctx context.Context, d time.Duration) {
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
