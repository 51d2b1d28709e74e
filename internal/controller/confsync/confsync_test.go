package confsync_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/controller/confsync"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// The packages that use a Syncer and a link depend on these interfaces.
var (
	_ admin.Configuration = (*confsync.Syncer)(nil)
	_ confsync.Link       = (*link.Conn)(nil)
)

// start runs syncers until the test's bubble ends.
func start(t *testing.T, syncers ...*confsync.Syncer) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, s := range syncers {
		go func() { _ = s.Run(ctx) }()
	}
	t.Cleanup(func() { cancel(); synctest.Wait() })
}

// bubble runs a test with virtual time.
func bubble(t *testing.T, f func(t *testing.T, g *WithT)) {
	synctest.Test(t, func(t *testing.T) { f(t, NewWithT(t)) })
}

// pass lets virtual time pass and waits until everything that it caused is done.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against a race in which both operators are told that they won.
func TestSubmitRaceHasOneWinner(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		s := newStore()
		a, _ := newSyncer("a", s)
		b, _ := newSyncer("b", s)
		s.beforeWrite = func() {
			_, err := b.Submit(t.Context(), submission(0, "sub-b", "second"))
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err := a.Submit(t.Context(), submission(0, "sub-a", "first"))
		var conflict *config.ConflictError
		g.Expect(errors.As(err, &conflict)).To(BeTrue())
		g.Expect(conflict.Current.SubmissionID).To(Equal("sub-b"))
		g.Expect(s.count(&s.writes)).To(Equal(1))
	})
}

// Guards against a lost answer that is reported as a failure or written twice.
func TestSubmitReadsBackAfterLostAnswer(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		s := newStore()
		s.loseAnswers = 1
		a, holder := newSyncer("a", s)
		got, err := a.Submit(t.Context(), submission(0, "sub-1", "first"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Revision).To(BeEquivalentTo(1))
		g.Expect(holder.Revision()).To(BeEquivalentTo(1))
		g.Expect(s.count(&s.writes)).To(Equal(1))
	})
}

// Guards against "nothing was changed" for a write that took effect, and against another result for a repeated ID.
func TestSubmitIsRepeatable(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		s := newStore()
		a, _ := newSyncer("a", s)
		s.down = true
		_, err := a.Submit(t.Context(), submission(0, "sub-1", "first"))
		g.Expect(errors.Is(err, config.ErrUnavailable)).To(BeTrue())
		s.down = false
		s.loseAnswers = 1
		lossy := &lossyStore{fakeStore: s}
		b, _ := newSyncer("b", lossy)
		_, err = b.Submit(t.Context(), submission(0, "sub-1", "first"))
		g.Expect(errors.Is(err, config.ErrOutcomeUnknown)).To(BeTrue())
		g.Expect(errors.Is(err, config.ErrUnavailable)).To(BeFalse())
		s.down = false
		second, err := a.Submit(t.Context(), submission(1, "sub-2", "second"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second.Revision).To(BeEquivalentTo(2))
		first, err := a.Submit(t.Context(), submission(0, "sub-1", "first"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(first.Revision).To(BeEquivalentTo(1))
		g.Expect(first.Text).To(Equal(text("first")))
		_, err = a.Submit(t.Context(), submission(0, "sub-1", "other"))
		g.Expect(errors.Is(err, config.ErrInvalid)).To(BeTrue())
		g.Expect(a.History(t.Context(), 1)).To(HaveField("Digest", first.Digest))
		_, err = a.History(t.Context(), 9)
		g.Expect(errors.Is(err, config.ErrNoRevision)).To(BeTrue())
	})
}

// Guards against "nothing was changed" for a repeated submission whose first attempt was accepted.
func TestRepeatedSubmissionInAnOutage(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		s := newStore()
		a, _ := newSyncer("a", s)
		_, err := a.Submit(t.Context(), submission(0, "sub-1", "first"))
		g.Expect(err).NotTo(HaveOccurred())
		s.getsDown = true
		b, _ := newSyncer("b", s)
		_, err = b.Submit(t.Context(), submission(0, "sub-1", "first"))
		g.Expect(errors.Is(err, config.ErrOutcomeUnknown)).To(BeTrue())
		g.Expect(errors.Is(err, config.ErrUnavailable)).To(BeFalse())
	})
}

// lossyStore goes down with the first write.
type lossyStore struct{ *fakeStore }

func (l *lossyStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	result, err := l.fakeStore.Txn(ctx, txn)
	l.down = len(txn.If) > 0 || l.down
	return result, err
}

// Guards against text in force that is not the approved one.
func TestSubmitRefusesAnotherDigestAndBadText(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		s := newStore()
		a, _ := newSyncer("a", s)
		for _, change := range []func(*config.Submission){
			func(sub *config.Submission) { sub.Text += "#" },
			func(sub *config.Submission) { sub.Text = "x = 1"; sub.Digest = config.Digest(sub.Text) },
			func(sub *config.Submission) { sub.SubmissionID = "a/b" },
		} {
			sub := submission(0, "sub-1", "first")
			change(&sub)
			_, err := a.Submit(t.Context(), sub)
			g.Expect(errors.Is(err, config.ErrInvalid)).To(BeTrue())
		}
		g.Expect(s.keys).To(BeEmpty())
	})
}

// Guards against a reversion caused by an older answer of the store, and against a submission on top of it.
func TestOlderStoreAnswerIsIgnored(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		s := newStore()
		a, holder := newSyncer("a", s)
		apply(holder, envelope(7, "seven"))
		value, _ := config.EncodeEnvelope(envelope(6, "six"))
		s.older = &store.KV{Key: "/pimentohead/config", Value: value, ModRevision: 3}
		start(t, a)
		pass(time.Minute)
		g.Expect(s.count(&s.reads)).To(BeNumerically(">", 5))
		g.Expect(holder.Revision()).To(BeEquivalentTo(7))
		_, err := a.Submit(t.Context(), submission(0, "sub-1", "first"))
		g.Expect(errors.Is(err, config.ErrUnavailable)).To(BeTrue())
	})
}

// Guards against a document that only this node holds under a revision of the store.
func TestStoreOverrulesSameRevision(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		s := newStore()
		a, holder := newSyncer("a", s)
		apply(holder, envelope(1, "local"))
		value, _ := config.EncodeEnvelope(envelope(1, "stored"))
		s.older = &store.KV{Key: "/pimentohead/config", Value: value, ModRevision: 3}
		a.HandleReply(newLink(nil), &message.ConfigReply{Revision: 1, Envelope: mustEncode(envelope(1, "peer"))})
		start(t, a)
		synctest.Wait()
		g.Expect(holder.Current().Config.Fleet.Name).To(Equal("stored"))
	})
}

func mustEncode(e config.Envelope) []byte {
	data, err := config.EncodeEnvelope(e)
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against a store that every entry watches, and against a change that reaches none of them.
func TestTwoEntriesWatchTheStore(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		s := newStore()
		ids := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
		holders := make([]*config.Holder, len(ids))
		for i, id := range ids {
			var syncer *confsync.Syncer
			syncer, holders[i] = newSyncer(id, s, ids...)
			start(t, syncer)
		}
		synctest.Wait()
		g.Expect(s.count(&s.watching)).To(Equal(2))
		operator, _ := newSyncer("operator", s)
		_, err := operator.Submit(t.Context(), submission(0, "sub-1", "first"))
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		informed := 0
		for _, holder := range holders {
			informed += int(holder.Revision())
		}
		g.Expect(informed).To(Equal(2))
		pass(91 * time.Second) // The slow poll reaches entries that no peer informs.
		for _, holder := range holders {
			g.Expect(holder.Revision()).To(BeEquivalentTo(1))
		}
		reads := s.count(&s.reads)
		pass(time.Hour)
		g.Expect(s.count(&s.reads)-reads).To(BeNumerically("<=", 2*721+6*121), "polls an hour")
	})
}

// Guards against polls that carry the whole document, up to 512 KiB every 5 s, and against one that misses a change.
func TestPollCarriesTheDocumentOnlyWhenItHasChanged(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		s := newStore()
		s.keys["/pimentohead/config"] = store.KV{Value: mustEncode(envelope(4, "four")), ModRevision: 9}
		a, holder := newSyncer("a", s)
		start(t, a)
		pass(time.Minute)
		polls := s.count(&s.reads)
		g.Expect(polls).To(BeNumerically(">", 5))
		g.Expect(s.count(&s.unchanged)).To(Equal(polls - 1))
		s.mu.Lock() // The watch of this store does not tell of this change.
		s.keys["/pimentohead/config"] = store.KV{Value: mustEncode(envelope(5, "five")), ModRevision: 10}
		s.mu.Unlock()
		pass(6 * time.Second)
		g.Expect(holder.Revision()).To(BeEquivalentTo(5))
	})
}

// Guards against a stampede on a store in an outage, and against a slow return after it.
func TestOutageBacksOff(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		s := newStore()
		s.down = true
		a, holder := newSyncer("a", s)
		start(t, a)
		pass(time.Minute)
		g.Expect(s.count(&s.reads)).To(BeNumerically("<", 75))
		s.mu.Lock()
		s.down = false
		s.keys["/pimentohead/config"] = store.KV{Value: mustEncode(envelope(4, "four")), ModRevision: 9}
		s.mu.Unlock()
		pass(4 * time.Second)
		g.Expect(holder.Revision()).To(BeEquivalentTo(4))
	})
}

// Guards against more than one outstanding request, and against a node that waits for one silent peer.
func TestFetchAsksAnotherPeerWhenNoReplyComes(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		agent, holder := newSyncer("agent", nil)
		start(t, agent)
		var silent []*fakeLink
		total := func() (n int) {
			for _, l := range silent {
				n += l.count()
			}
			return n
		}
		for range 20 {
			silent = append(silent, newLink(nil))
			agent.HandleHeartbeat(silent[len(silent)-1], 5)
		}
		synctest.Wait()
		g.Expect(total()).To(Equal(1))
		for range 9 { // Repeated heartbeats do not add requests.
			agent.HandleHeartbeat(silent[0], 5)
			pass(100 * time.Millisecond)
		}
		g.Expect(total()).To(Equal(2))
		for _, l := range silent {
			close(l.done)
		}
		entry, entryHolder := newSyncer("entry", newStore())
		apply(entryHolder, envelope(5, "five"))
		start(t, entry)
		agent.HandleHeartbeat(connect(agent, entry), 5)
		pass(600 * time.Millisecond)
		g.Expect(holder.Revision()).To(BeEquivalentTo(5))
	})
}

// Guards against full documents where a delta is possible, and against a delta that a node cannot use for ever.
func TestFetchUsesDeltaAndFallsBackToFull(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		var announced atomic.Int32
		holder := config.NewHolder()
		entry := confsync.New(confsync.Config{NodeID: "e", Holder: holder, Store: newStore(), Announce: func() { announced.Add(1) }})
		agent, agentHolder := newSyncer("agent", nil)
		start(t, entry, agent)
		var forms []string
		corrupt := false
		forward := newLink(nil)
		back := newLink(func(m message.Message) {
			r := *m.(*message.ConfigReply)
			forms = append(forms, fmt.Sprintf("delta=%t full=%t", r.Delta != nil, r.Envelope != nil))
			if corrupt && r.Delta != nil {
				r.Delta = r.Delta[:len(r.Delta)-9]
			}
			agent.HandleReply(forward, &r)
		})
		forward.answer = func(m message.Message) { entry.HandleRequest(back, m.(*message.ConfigRequest)) }
		for i := range 3 {
			corrupt = i == 2
			_, err := entry.Submit(t.Context(), submission(uint64(i), fmt.Sprint("sub-", i), fmt.Sprint("fleet-", i)))
			g.Expect(err).NotTo(HaveOccurred())
			agent.HandleHeartbeat(forward, uint64(i+1))
			pass(time.Second)
			g.Expect(agentHolder.Revision()).To(BeEquivalentTo(i + 1))
		}
		g.Expect(forms).To(Equal([]string{
			"delta=false full=true", "delta=true full=false", "delta=true full=false", "delta=false full=true",
		}))
		g.Expect(announced.Load()).To(BeEquivalentTo(3))
	})
}

// Guards against a document of a newer release that is fetched with every heartbeat.
func TestUnusableRevisionIsNotFetchedInALoop(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		agent, holder := newSyncer("agent", nil)
		start(t, agent)
		newer := config.Envelope{Revision: 5, Text: "future = 1", Digest: config.Digest("future = 1")}
		var link *fakeLink
		link = newLink(func(message.Message) {
			agent.HandleReply(link, &message.ConfigReply{Revision: 5, Envelope: mustEncode(newer)})
		})
		for range 60 {
			agent.HandleHeartbeat(link, 5)
			pass(time.Second)
		}
		g.Expect(link.count()).To(BeNumerically("<=", 3))
		g.Expect(holder.Current()).To(BeNil())
	})
}
