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

// *confsync.Syncer and *link.Conn must implement the interfaces through which other packages use them.
var (
	_ admin.Configuration = (*confsync.Syncer)(nil)
	_ confsync.Link       = (*link.Conn)(nil)
)

// runSyncers runs syncers until the test ends, and waits for their goroutines.
func runSyncers(t *testing.T, syncers ...*confsync.Syncer) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, s := range syncers {
		go func() { _ = s.Run(ctx) }()
	}
	t.Cleanup(func() { cancel(); synctest.Wait() })
}

// withVirtualTime runs f in a synctest bubble, where time is virtual.
func withVirtualTime(t *testing.T, f func(t *testing.T, g *WithT)) {
	synctest.Test(t, func(t *testing.T) { f(t, NewWithT(t)) })
}

// advance advances virtual time by d and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against reporting success to both operators when their submissions for the same base race.
func TestSubmitRaceHasOneWinner(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		a, _ := newSyncer("a", s)
		b, _ := newSyncer("b", s)
		s.beforeWrite = func() {
			_, err := b.Submit(t.Context(), testSubmission(0, "sub-b", "second"))
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err := a.Submit(t.Context(), testSubmission(0, "sub-a", "first"))
		var conflict *config.ConflictError
		g.Expect(errors.As(err, &conflict)).To(BeTrue())
		g.Expect(conflict.Current.SubmissionID).To(Equal("sub-b"))
		g.Expect(s.count(&s.writes)).To(Equal(1))
	})
}

// Guards against a submission that is reported as failed or written twice when the reply to its write is lost.
func TestSubmitReadsBackAfterLostReply(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		s.loseReplies = 1
		a, holder := newSyncer("a", s)
		accepted, err := a.Submit(t.Context(), testSubmission(0, "sub-1", "first"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(accepted.Revision).To(BeEquivalentTo(1))
		g.Expect(holder.Revision()).To(BeEquivalentTo(1))
		g.Expect(s.count(&s.writes)).To(Equal(1))
	})
}

// Guards against reporting "nothing was changed" for a write that took effect, and against a different result when a submission
// ID is repeated.
func TestSubmitIsIdempotent(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		a, _ := newSyncer("a", s)
		s.down = true
		_, err := a.Submit(t.Context(), testSubmission(0, "sub-1", "first"))
		g.Expect(errors.Is(err, config.ErrUnavailable)).To(BeTrue())
		s.down = false
		s.loseReplies = 1
		lossy := &lossyStore{fakeStore: s}
		b, _ := newSyncer("b", lossy)
		_, err = b.Submit(t.Context(), testSubmission(0, "sub-1", "first"))
		g.Expect(errors.Is(err, config.ErrOutcomeUnknown)).To(BeTrue())
		g.Expect(errors.Is(err, config.ErrUnavailable)).To(BeFalse())
		s.down = false
		second, err := a.Submit(t.Context(), testSubmission(1, "sub-2", "second"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second.Revision).To(BeEquivalentTo(2))
		first, err := a.Submit(t.Context(), testSubmission(0, "sub-1", "first"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(first.Revision).To(BeEquivalentTo(1))
		g.Expect(first.Text).To(Equal(testDocument("first")))
		_, err = a.Submit(t.Context(), testSubmission(0, "sub-1", "other"))
		g.Expect(errors.Is(err, config.ErrInvalid)).To(BeTrue())
		g.Expect(a.History(t.Context(), 1)).To(HaveField("Digest", first.Digest))
		_, err = a.History(t.Context(), 9)
		g.Expect(errors.Is(err, config.ErrNoRevision)).To(BeTrue())
	})
}

// Guards against reporting "nothing was changed" for a repeated submission whose first attempt was accepted, when the store
// becomes unavailable.
func TestRepeatedSubmissionDuringStoreOutage(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		a, _ := newSyncer("a", s)
		_, err := a.Submit(t.Context(), testSubmission(0, "sub-1", "first"))
		g.Expect(err).NotTo(HaveOccurred())
		s.getsDown = true
		b, _ := newSyncer("b", s)
		_, err = b.Submit(t.Context(), testSubmission(0, "sub-1", "first"))
		g.Expect(errors.Is(err, config.ErrOutcomeUnknown)).To(BeTrue())
		g.Expect(errors.Is(err, config.ErrUnavailable)).To(BeFalse())
	})
}

// lossyStore becomes unavailable after its first conditional transaction.
type lossyStore struct{ *fakeStore }

func (l *lossyStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	result, err := l.fakeStore.Txn(ctx, txn)
	l.down = len(txn.If) > 0 || l.down
	return result, err
}

// Guards against putting a text in force whose digest differs from the approved one, or that is invalid.
func TestSubmitRefusesWrongDigestAndInvalidText(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		a, _ := newSyncer("a", s)
		for _, modify := range []func(*config.Submission){
			func(sub *config.Submission) { sub.Text += "#" },
			func(sub *config.Submission) { sub.Text = "x = 1"; sub.Digest = config.Digest(sub.Text) },
			func(sub *config.Submission) { sub.SubmissionID = "a/b" },
		} {
			sub := testSubmission(0, "sub-1", "first")
			modify(&sub)
			_, err := a.Submit(t.Context(), sub)
			g.Expect(errors.Is(err, config.ErrInvalid)).To(BeTrue())
		}
		g.Expect(s.keys).To(BeEmpty())
	})
}

// Guards against reverting to an older revision when the store returns a stale value, and against accepting a submission based
// on such a value.
func TestStaleStoreValueIsIgnored(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		a, holder := newSyncer("a", s)
		putInForce(holder, testEnvelope(7, "seven"))
		value, _ := config.EncodeEnvelope(testEnvelope(6, "six"))
		s.fixedValue = &store.KV{Key: "/pimentohead/config", Value: value, ModRevision: 3}
		runSyncers(t, a)
		advance(time.Minute)
		g.Expect(s.count(&s.reads)).To(BeNumerically(">", 5))
		g.Expect(holder.Revision()).To(BeEquivalentTo(7))
		_, err := a.Submit(t.Context(), testSubmission(0, "sub-1", "first"))
		g.Expect(errors.Is(err, config.ErrUnavailable)).To(BeTrue())
	})
}

// Guards against a node that keeps a document of its own or of a peer when the store holds another one under the same revision.
func TestStoreTakesPrecedenceAtSameRevision(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		a, holder := newSyncer("a", s)
		putInForce(holder, testEnvelope(1, "local"))
		value, _ := config.EncodeEnvelope(testEnvelope(1, "stored"))
		s.fixedValue = &store.KV{Key: "/pimentohead/config", Value: value, ModRevision: 3}
		a.HandleReply(newFakeLink(nil), &message.ConfigReply{Revision: 1, Envelope: mustEncodeEnvelope(testEnvelope(1, "peer"))})
		runSyncers(t, a)
		synctest.Wait()
		g.Expect(holder.Current().Config.Fleet.Name).To(Equal("stored"))
	})
}

func mustEncodeEnvelope(e config.Envelope) []byte {
	data, err := config.EncodeEnvelope(e)
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against all entries watching the store, and against a change that no entry receives.
func TestTwoEntriesWatchTheStore(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		ids := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
		holders := make([]*config.Holder, len(ids))
		for i, id := range ids {
			var syncer *confsync.Syncer
			syncer, holders[i] = newSyncer(id, s, ids...)
			runSyncers(t, syncer)
		}
		synctest.Wait()
		g.Expect(s.count(&s.watches)).To(Equal(2))
		operator, _ := newSyncer("operator", s)
		_, err := operator.Submit(t.Context(), testSubmission(0, "sub-1", "first"))
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		updated := 0
		for _, holder := range holders {
			updated += int(holder.Revision())
		}
		g.Expect(updated).To(Equal(2))
		advance(91 * time.Second) // Entries that no peer notifies receive the change by their slow poll.
		for _, holder := range holders {
			g.Expect(holder.Revision()).To(BeEquivalentTo(1))
		}
		// Each of the two watchers polls every 5 s, each of the other six entries at intervals of at least 30 s.
		reads := s.count(&s.reads)
		advance(time.Hour)
		g.Expect(s.count(&s.reads)-reads).To(BeNumerically("<=", 2*721+6*121), "polls an hour")
	})
}

// Guards against polls that transfer the whole document, up to 512 KiB every 5 s, although it is unchanged, and against polls
// that miss a change.
func TestPollTransfersDocumentOnlyWhenChanged(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		s.keys["/pimentohead/config"] = store.KV{Value: mustEncodeEnvelope(testEnvelope(4, "four")), ModRevision: 9}
		a, holder := newSyncer("a", s)
		runSyncers(t, a)
		advance(time.Minute)
		polls := s.count(&s.reads)
		g.Expect(polls).To(BeNumerically(">", 5))
		g.Expect(s.count(&s.unchangedReads)).To(Equal(polls - 1))
		s.mu.Lock() // Writing the map directly delivers no watch event.
		s.keys["/pimentohead/config"] = store.KV{Value: mustEncodeEnvelope(testEnvelope(5, "five")), ModRevision: 10}
		s.mu.Unlock()
		advance(6 * time.Second)
		g.Expect(holder.Revision()).To(BeEquivalentTo(5))
	})
}

// Guards against a flood of retries while the store is unavailable, and against a slow recovery afterwards.
func TestStoreRetriesBackOffDuringOutage(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		s.down = true
		a, holder := newSyncer("a", s)
		runSyncers(t, a)
		advance(time.Minute)
		// With the longest backoff, 2 s, retries are at least 1 s apart. The first ones follow sooner.
		g.Expect(s.count(&s.reads)).To(BeNumerically("<", 75))
		s.mu.Lock()
		s.down = false
		s.keys["/pimentohead/config"] = store.KV{Value: mustEncodeEnvelope(testEnvelope(4, "four")), ModRevision: 9}
		s.mu.Unlock()
		advance(4 * time.Second)
		g.Expect(holder.Revision()).To(BeEquivalentTo(4))
	})
}

// Guards against more than one outstanding request, and against a node that keeps waiting for a peer that does not reply.
func TestFetchTriesAnotherPeerAfterTimeout(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		agent, holder := newSyncer("agent", nil)
		runSyncers(t, agent)
		var silentLinks []*fakeLink
		requestsSent := func() (n int) {
			for _, l := range silentLinks {
				n += l.count()
			}
			return n
		}
		for range 20 {
			silentLinks = append(silentLinks, newFakeLink(nil))
			agent.HandleHeartbeat(silentLinks[len(silentLinks)-1], 5)
		}
		synctest.Wait()
		g.Expect(requestsSent()).To(Equal(1))
		for range 9 { // Repeated heartbeats cause no additional requests.
			agent.HandleHeartbeat(silentLinks[0], 5)
			advance(100 * time.Millisecond)
		}
		g.Expect(requestsSent()).To(Equal(2))
		for _, l := range silentLinks {
			close(l.done)
		}
		entry, entryHolder := newSyncer("entry", newFakeStore())
		putInForce(entryHolder, testEnvelope(5, "five"))
		runSyncers(t, entry)
		agent.HandleHeartbeat(connectLinks(agent, entry), 5)
		advance(600 * time.Millisecond)
		g.Expect(holder.Revision()).To(BeEquivalentTo(5))
	})
}

// Guards against sending full documents where a delta is possible, and against requesting deltas again and again after one could
// not be applied.
func TestFetchUsesDeltaAndFallsBackToFull(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		var announced atomic.Int32
		holder := config.NewHolder()
		entry := confsync.New(confsync.Config{NodeID: "e", Holder: holder, Store: newFakeStore(), Announce: func() { announced.Add(1) }})
		agent, agentHolder := newSyncer("agent", nil)
		runSyncers(t, entry, agent)
		var replyForms []string
		corrupt := false
		forward := newFakeLink(nil)
		backward := newFakeLink(func(m message.Message) {
			r := *m.(*message.ConfigReply)
			replyForms = append(replyForms, fmt.Sprintf("delta=%t full=%t", r.Delta != nil, r.Envelope != nil))
			if corrupt && r.Delta != nil {
				r.Delta = r.Delta[:len(r.Delta)-9]
			}
			agent.HandleReply(forward, &r)
		})
		forward.onSend = func(m message.Message) { entry.HandleRequest(backward, m.(*message.ConfigRequest)) }
		for i := range 3 {
			corrupt = i == 2
			_, err := entry.Submit(t.Context(), testSubmission(uint64(i), fmt.Sprint("sub-", i), fmt.Sprint("fleet-", i)))
			g.Expect(err).NotTo(HaveOccurred())
			agent.HandleHeartbeat(forward, uint64(i+1))
			advance(time.Second)
			g.Expect(agentHolder.Revision()).To(BeEquivalentTo(i + 1))
		}
		g.Expect(replyForms).To(Equal([]string{
			"delta=false full=true", "delta=true full=false", "delta=true full=false", "delta=false full=true",
		}))
		g.Expect(announced.Load()).To(BeEquivalentTo(3))
	})
}

// Guards against fetching a document of a newer release, which this node cannot use, with every heartbeat.
func TestUnusableRevisionIsNotFetchedRepeatedly(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		agent, holder := newSyncer("agent", nil)
		runSyncers(t, agent)
		newer := config.Envelope{Revision: 5, Text: "future = 1", Digest: config.Digest("future = 1")}
		var link *fakeLink
		link = newFakeLink(func(message.Message) {
			agent.HandleReply(link, &message.ConfigReply{Revision: 5, Envelope: mustEncodeEnvelope(newer)})
		})
		for range 60 {
			agent.HandleHeartbeat(link, 5)
			advance(time.Second)
		}
		// One request at the start and one after each unusableRetryDelay, 30 s.
		g.Expect(link.count()).To(BeNumerically("<=", 3))
		g.Expect(holder.Current()).To(BeNil())
	})
}

// Guards against a revision that a peer reports and that is not fetched, because a reply that the peer had sent before puts it back: the
// configuration came a report later.
func TestReplyDoesNotReplaceALaterReport(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		agent, _ := newSyncer("agent", nil)
		link := newFakeLink(nil)
		agent.HandleHeartbeat(link, 1)
		agent.HandleReply(link, &message.ConfigReply{})
		agent.HandleHeartbeat(link, 2)
		runSyncers(t, agent)
		advance(time.Second)
		g.Expect(link.count()).To(BeNumerically(">", 1), "requests, the first of them before the reply was handled")
	})
}
