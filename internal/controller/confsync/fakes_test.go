package confsync_test

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/controller/confsync"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// fakeStore is a key-value service in memory. Its fields are set before use or under mu.
type fakeStore struct {
	store.Store
	mu       sync.Mutex
	keys     map[string]store.KV
	revision int64
	// down fails all calls, getsDown only Get.
	down, getsDown bool
	// loseAnswers is the number of coming writes that take effect without an answer.
	loseAnswers int
	// beforeWrite runs before each transaction that writes.
	beforeWrite func()
	// older, when set, is what Get answers.
	older                   *store.KV
	reads, writes, watching int
	// unchanged counts reads that were answered without a value.
	unchanged int
	grants    int
	events    map[chan store.Event]bool
}

func newStore() *fakeStore {
	return &fakeStore{keys: map[string]store.KV{}, events: map[chan store.Event]bool{}}
}

// count reads one of the counters.
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
	if f.older != nil {
		return *f.older, nil
	}
	kv, ok := f.keys[key]
	if !ok {
		return store.KV{}, store.ErrNotFound
	}
	return kv, nil
}

func (f *fakeStore) Txn(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	if isRead(txn) {
		return f.readChanged(txn)
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
	for _, c := range txn.If {
		have := f.keys[c.Key].ModRevision
		if c.Target == store.CompareCreate {
			have = f.keys[c.Key].CreateRevision
		}
		result.Succeeded = result.Succeeded && have == c.Revision
	}
	ops := txn.Then
	if !result.Succeeded {
		ops = txn.Else
	}
	for _, op := range ops {
		result.Results = append(result.Results, f.run(op))
	}
	if len(txn.If) > 0 && result.Succeeded {
		f.writes++
		if f.loseAnswers > 0 {
			f.loseAnswers--
			return store.TxnResult{}, store.ErrAmbiguous
		}
	}
	return result, nil
}

// isRead tells whether a conditional transaction only reads.
func isRead(txn store.Txn) bool { return len(txn.If) > 0 && len(txn.Then) == 0 }

// readChanged answers a read on the condition that the value has changed, with the faults of Get.
func (f *fakeStore) readChanged(txn store.Txn) (store.TxnResult, error) {
	kv, err := f.Get(context.Background(), txn.If[0].Key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return store.TxnResult{Results: []store.OpResult{{}}}, nil
	case err != nil:
		return store.TxnResult{}, err
	case kv.ModRevision == txn.If[0].Revision:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.unchanged++
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
	return store.LeaseID(f.grants), nil
}

// run performs one operation. The caller holds mu.
func (f *fakeStore) run(op store.Op) store.OpResult {
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
	kv := store.KV{Key: op.Put.Key, Value: op.Put.Value, Lease: op.Put.Lease, CreateRevision: f.keys[op.Put.Key].CreateRevision, ModRevision: f.revision}
	if kv.CreateRevision == 0 {
		kv.CreateRevision = f.revision
	}
	f.keys[kv.Key] = kv
	for events := range f.events {
		if kv.Key == "/pimentohead/config" {
			events <- store.Event{KV: kv}
		}
	}
	return store.OpResult{}
}

func (f *fakeStore) Watch(ctx context.Context, _ string, _ int64, deliver func(store.Event)) error {
	events := make(chan store.Event, 100)
	f.mu.Lock()
	f.watching++
	f.events[events] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.watching--
		delete(f.events, events)
		f.mu.Unlock()
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-events:
			deliver(event)
		}
	}
}

// fakeLink records what is sent and passes it to answer.
type fakeLink struct {
	mu     sync.Mutex
	sent   []message.Message
	done   chan struct{}
	fail   bool
	answer func(message.Message)
}

func newLink(answer func(message.Message)) *fakeLink {
	return &fakeLink{done: make(chan struct{}), answer: answer}
}

func (l *fakeLink) Send(_ context.Context, m message.Message) error {
	l.mu.Lock()
	l.sent = append(l.sent, m)
	fail := l.fail
	l.mu.Unlock()
	if fail {
		return errors.New("closed")
	}
	if l.answer != nil {
		l.answer(m)
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

// connect returns a link on which a sends to b, whose answers go to a.
func connect(a, b *confsync.Syncer) *fakeLink {
	var forward, back *fakeLink
	back = newLink(func(m message.Message) { a.HandleReply(forward, m.(*message.ConfigReply)) })
	forward = newLink(func(m message.Message) { b.HandleRequest(back, m.(*message.ConfigRequest)) })
	return forward
}

func text(name string) string {
	return "[fleet]\nname = \"" + name + "\"\n[[priority]]\nname = \"urgent\"\ntarget = \"1s\"\n" +
		"[[pool]]\nname = \"desk\"\nkind = \"service\"\n[[route]]\npath = \"/\"\npool = \"desk\"\npriority = \"urgent\"\n"
}

func envelope(revision uint64, name string) config.Envelope {
	return config.Envelope{Revision: revision, Base: revision - 1, Digest: config.Digest(text(name)), Text: text(name), Time: time.Unix(0, 0).UTC()}
}

func submission(base uint64, id, name string) config.Submission {
	return config.Submission{Base: base, Digest: config.Digest(text(name)), SubmissionID: id, Text: text(name), Author: "ops"}
}

func newSyncer(id string, s store.Store, live ...string) (*confsync.Syncer, *config.Holder) {
	holder := config.NewHolder()
	return confsync.New(confsync.Config{
		NodeID: id, Holder: holder, Store: s, Log: logr.Discard(), LiveEntries: func() []string { return live },
	}), holder
}

func apply(holder *config.Holder, e config.Envelope) {
	active, err := config.NewActive(e)
	if err != nil {
		panic(err)
	}
	if err := holder.Apply(active); err != nil {
		panic(err)
	}
}
