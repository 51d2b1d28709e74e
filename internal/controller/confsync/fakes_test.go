package confsync_test

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/controller/confsync"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// fakeStore is a key-value service in memory. Its fields must be set before use or while holding mu.
type fakeStore struct {
	store.Store
	mu       sync.Mutex
	keys     map[string]store.KV
	revision int64
	// down makes all calls but Watch fail; getsDown makes only Get and conditional reads fail.
	down, getsDown bool
	// loseReplies is the number of conditional writes, from the next one on, that take effect but return store.ErrAmbiguous.
	loseReplies int
	// beforeWrite runs once, before the next conditional transaction that writes.
	beforeWrite func()
	// fixedValue, if set, is the value that Get and conditional reads return.
	fixedValue *store.KV
	// reads counts calls of Get and conditional reads, writes counts conditional writes that took effect, and watches is the
	// number of open watches.
	reads, writes, watches int
	// unchangedReads counts conditional reads that returned no value because the value had not changed.
	unchangedReads int
	// grants counts the leases that were granted.
	grants int
	// loseGrants makes Grant create a lease but return store.ErrAmbiguous.
	loseGrants bool
	// restorations counts the calls of restore.
	restorations uint64
	// watchEvents holds the event channel of each open watch.
	watchEvents map[chan store.Event]bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{keys: map[string]store.KV{}, watchEvents: map[chan store.Event]bool{}}
}

// count returns the value of one of the counters.
func (f *fakeStore) count(counter *int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *counter
}

func (f *fakeStore) Get(_ context.Context, key string) (store.KV, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down || f.getsDown {
		return store.KV{}, store.ErrUnavailable
	}
	if f.fixedValue != nil {
		return *f.fixedValue, nil
	}
	kv, ok := f.keys[key]
	if !ok {
		return store.KV{}, store.ErrNotFound
	}
	return kv, nil
}

func (f *fakeStore) Txn(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	if isConditionalRead(txn) {
		return f.readIfChanged(txn)
	}
	if len(txn.If) > 0 && f.beforeWrite != nil {
		hook := f.beforeWrite
		f.beforeWrite = nil
		hook()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.TxnResult{}, store.ErrUnavailable
	}
	result := store.TxnResult{Succeeded: true}
	for _, compare := range txn.If {
		revision := f.keys[compare.Key].ModRevision
		if compare.Target == store.CompareCreate {
			revision = f.keys[compare.Key].CreateRevision
		}
		result.Succeeded = result.Succeeded && revision == compare.Revision
	}
	ops := txn.Then
	if !result.Succeeded {
		ops = txn.Else
	}
	for _, op := range ops {
		result.Results = append(result.Results, f.execute(op))
	}
	result.Revision = f.revision
	if len(txn.If) > 0 && result.Succeeded {
		f.writes++
		if f.loseReplies > 0 {
			f.loseReplies--
			return store.TxnResult{}, store.ErrAmbiguous
		}
	}
	return result, nil
}

// isConditionalRead reports whether a transaction has a condition and only reads.
func isConditionalRead(txn store.Txn) bool { return len(txn.If) > 0 && len(txn.Then) == 0 }

// readIfChanged runs a conditional read, which returns the value only if it has changed. It fails whenever Get fails.
func (f *fakeStore) readIfChanged(txn store.Txn) (store.TxnResult, error) {
	kv, err := f.Get(context.Background(), txn.If[0].Key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return store.TxnResult{Results: []store.OpResult{{}}}, nil
	case err != nil:
		return store.TxnResult{}, err
	case kv.ModRevision == txn.If[0].Revision:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.unchangedReads++
		return store.TxnResult{Succeeded: true}, nil
	default:
		return store.TxnResult{Results: []store.OpResult{{KVs: []store.KV{kv}}}}, nil
	}
}

func (f *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, store.ErrUnavailable
	}
	f.grants++
	if f.loseGrants {
		return 0, store.ErrAmbiguous
	}
	return store.LeaseID(f.grants), nil
}

// execute performs one operation. The caller holds mu.
func (f *fakeStore) execute(op store.Op) store.OpResult {
	if op.Delete != nil {
		delete(f.keys, op.Delete.Key)
		return store.OpResult{}
	}
	if op.Put == nil {
		kv, ok := f.keys[op.Get.Key]
		if !ok {
			return store.OpResult{}
		}
		return store.OpResult{KVs: []store.KV{kv}}
	}
	f.revision++
	kv := store.KV{Key: op.Put.Key, Value: op.Put.Value, Lease: op.Put.Lease, CreateRevision: f.keys[op.Put.Key].CreateRevision,
		ModRevision: f.revision}
	if kv.CreateRevision == 0 {
		kv.CreateRevision = f.revision
	}
	f.keys[kv.Key] = kv
	for events := range f.watchEvents {
		if kv.Key == "/pimentohead/config" {
			events <- store.Event{KV: kv}
		}
	}
	return store.OpResult{}
}

func (f *fakeStore) Watch(ctx context.Context, _ string, _ int64, deliver func(store.Event)) error {
	events := make(chan store.Event, 100)
	f.mu.Lock()
	f.watches++
	f.watchEvents[events] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.watches--
		delete(f.watchEvents, events)
		f.mu.Unlock()
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event, open := <-events:
			if !open {
				return store.ErrUnavailable
			}
			deliver(event)
		}
	}
}

// storeCopy is the content of a fakeStore at one time.
type storeCopy struct {
	keys     map[string]store.KV
	revision int64
}

// copy returns a copy of the content, for restore.
func (f *fakeStore) copy() storeCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return storeCopy{keys: maps.Clone(f.keys), revision: f.revision}
}

// restore replaces the content by an earlier copy, so that revisions are given out again, and ends all watches.
func (f *fakeStore) restore(c storeCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys, f.revision = maps.Clone(c.keys), c.revision
	f.restorations++
	for events := range f.watchEvents {
		close(events)
	}
	clear(f.watchEvents)
}

// Restorations implements store.RestorationCounter.
func (f *fakeStore) Restorations() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restorations
}

// storedConfig returns the configuration that the store holds.
func (f *fakeStore) storedConfig(g *WithT) config.Envelope {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, err := config.DecodeEnvelope(f.keys["/pimentohead/config"].Value)
	g.Expect(err).NotTo(HaveOccurred())
	return e
}

// fakeLink records the messages that are sent on it and passes them to onSend.
type fakeLink struct {
	mu        sync.Mutex
	sent      []message.Message
	done      chan struct{}
	sendFails bool
	onSend    func(message.Message)
}

func newFakeLink(onSend func(message.Message)) *fakeLink {
	return &fakeLink{done: make(chan struct{}), onSend: onSend}
}

func (l *fakeLink) Send(_ context.Context, m message.Message) error {
	l.mu.Lock()
	l.sent = append(l.sent, m)
	sendFails := l.sendFails
	l.mu.Unlock()
	if sendFails {
		return errors.New("closed")
	}
	if l.onSend != nil {
		l.onSend(m)
	}
	return nil
}

func (l *fakeLink) Peer() message.Hello   { return message.Hello{NodeID: "peer"} }
func (l *fakeLink) Done() <-chan struct{} { return l.done }

func (l *fakeLink) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sent)
}

// connectLinks returns a link on which a sends requests to b. The replies of b are passed to a.
func connectLinks(a, b *confsync.Syncer) *fakeLink {
	var forward, backward *fakeLink
	backward = newFakeLink(func(m message.Message) { a.HandleReply(forward, m.(*message.ConfigReply)) })
	forward = newFakeLink(func(m message.Message) { b.HandleRequest(backward, m.(*message.ConfigRequest)) })
	return forward
}

// testDocument returns a valid configuration text whose fleet has the given name.
func testDocument(name string) string {
	return "[fleet]\nname = \"" + name + "\"\n[[priority]]\nname = \"urgent\"\ntarget = \"1s\"\n" +
		"[[pool]]\nname = \"desk\"\nkind = \"service\"\n[[route]]\npath = \"/\"\npool = \"desk\"\npriority = \"urgent\"\n"
}

// testEnvelope returns an envelope with testDocument(name).
func testEnvelope(revision uint64, name string) config.Envelope {
	return config.Envelope{Revision: revision, Base: revision - 1, Digest: config.Digest(testDocument(name)), Text: testDocument(name),
		Time: time.Unix(0, 0).UTC()}
}

// testSubmission returns a submission of testDocument(name).
func testSubmission(base uint64, id, name string) config.Submission {
	return config.Submission{Base: base, Digest: config.Digest(testDocument(name)), SubmissionID: id, Text: testDocument(name),
		Author: "ops"}
}

// newSyncer returns a syncer and its holder. live lists the live entries of its data centre.
func newSyncer(id string, s store.Store, live ...string) (*confsync.Syncer, *config.Holder) {
	holder := config.NewHolder()
	return confsync.New(confsync.Config{
		NodeID: id, Holder: holder, Store: s, Log: logr.Discard(), LiveEntries: func() []string { return live },
	}), holder
}

// putInForce puts e in force on a holder.
func putInForce(holder *config.Holder, e config.Envelope) {
	active, err := config.NewActive(e)
	if err != nil {
		panic(err)
	}
	if err := holder.Apply(active); err != nil {
		panic(err)
	}
}
