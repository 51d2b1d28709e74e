package directpath

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/platform/standin"
)

// lateStore is a store that gives no answer to some transactions and carries them out later.
type lateStore struct {
	Store
	// hold is the number of transactions that get no answer.
	hold int
	held []store.Txn
}

func (s *lateStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if s.hold == 0 {
		return s.Store.Txn(ctx, txn)
	}
	s.hold--
	s.held = append(s.held, txn)
	return store.TxnResult{}, errors.Mark(errors.New("no answer"), store.ErrAmbiguous)
}

// carryOut carries out the transactions that got no answer, if their conditions still hold.
func (s *lateStore) carryOut(g *WithT) {
	for _, txn := range s.held {
		_, err := s.Store.Txn(context.Background(), txn)
		g.Expect(err).NotTo(HaveOccurred())
	}
	s.held = nil
}

// announcementFixture is a store with a function that starts processes of one entry.
type announcementFixture struct {
	*standin.Store
	address string
	// started is the time at which the first process started.
	started time.Time
}

const announcedID = "edge"

func newAnnouncementFixture(t *testing.T) *announcementFixture {
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return &announcementFixture{Store: s, address: strings.TrimPrefix(server.URL, "http://"), started: time.Now().Add(-time.Minute)}
}

// process returns the registry of a process of the entry, which started some time after the first one, and its store.
func (f *announcementFixture) process(after time.Duration) (*registry, *lateStore) {
	r := newRegistry(announcedID, f.address)
	r.self.Address, r.self.Incarnation = "10.0.0.1:7700", uint64(f.started.Add(after).UnixNano())
	late := &lateStore{Store: r.store}
	r.store, r.log = late, logr.Discard()
	return r, late
}

// putWithoutAnswer announces a process whose write gets no answer and is carried out with carryOut.
func putWithoutAnswer(t *testing.T, g *WithT, r *registry, late *lateStore) {
	t.Helper()
	late.hold = 1
	_, err := r.putAnnouncement(t.Context())
	g.Expect(errors.Is(err, store.ErrAmbiguous)).To(BeTrue(), "%v", err)
}

// incarnation returns the incarnation that is announced in the store, 0 if none is.
func (f *announcementFixture) incarnation(g *WithT, r *registry) uint64 {
	kv, err := r.store.Get(context.Background(), entriesPrefix+announcedID)
	if errors.Is(err, store.ErrNotFound) {
		return 0
	}
	g.Expect(err).NotTo(HaveOccurred())
	var m message.Member
	g.Expect(json.Unmarshal(kv.Value, &m)).To(Succeed())
	return m.Incarnation
}

// lease returns the lease of the announcement, 0 if it has none.
func (f *announcementFixture) lease() store.LeaseID {
	return store.LeaseID(f.LeaseOf(entriesPrefix + announcedID))
}

// Guards against an entry that other nodes do not find because a write of its previous process is carried out after its own: the announcement
// then names the previous process and ends with its lease, which nobody renews.
func TestLateWriteOfThePreviousProcess(t *testing.T) {
	g := NewWithT(t)
	f := newAnnouncementFixture(t)
	previous, late := f.process(0)
	putWithoutAnswer(t, g, previous, late)
	r, _ := f.process(time.Second)
	current, err := r.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred())

	late.carryOut(g)

	g.Expect(f.incarnation(g, r)).To(Equal(r.self.Incarnation))
	g.Expect(f.lease()).To(Equal(current.id))
	_, err = r.store.KeepAlive(t.Context(), current.id)
	g.Expect(err).NotTo(HaveOccurred())
	for id := store.LeaseID(1); id < current.id; id++ { // The leases of the previous process end.
		g.Expect(r.store.Revoke(t.Context(), id)).To(Succeed())
	}
	g.Expect(f.Keys(entriesPrefix)).To(HaveLen(1))
}

// Guards against an announcement that vanishes although its entry renews the lease of its last write, because the first write, under another
// lease, is carried out after it.
func TestLateFirstWriteOfTheSameProcess(t *testing.T) {
	g := NewWithT(t)
	f := newAnnouncementFixture(t)
	r, late := f.process(0)
	putWithoutAnswer(t, g, r, late)
	current, err := r.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred())

	late.carryOut(g)

	g.Expect(f.lease()).To(Equal(current.id))
	g.Expect(r.removeAnnouncement(t.Context(), current)).To(Succeed())
	g.Expect(f.Keys(entriesPrefix)).To(BeEmpty(), "the revision is that of the last write")
}

// Guards against an entry that writes again although its write was carried out without an answer, or that does not know the revision of that
// write and so cannot remove its announcement.
func TestWriteWithoutAnswerThatWasCarriedOut(t *testing.T) {
	g := NewWithT(t)
	f := newAnnouncementFixture(t)
	r, late := f.process(0)
	putWithoutAnswer(t, g, r, late)
	late.carryOut(g)
	before := f.Calls()
	current, err := r.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Calls()-before).To(BeNumerically("<=", 2), "a write that is refused, and a read")
	g.Expect(f.lease()).To(Equal(current.id))
	g.Expect(r.removeAnnouncement(t.Context(), current)).To(Succeed())
	g.Expect(f.Keys(entriesPrefix)).To(BeEmpty())
}

// Guards against announcements that take more calls than a grant and a write, and after a conflict a read and another write: all entries together
// may then exceed the limits of the store.
func TestCallsOfAnAnnouncement(t *testing.T) {
	g := NewWithT(t)
	f := newAnnouncementFixture(t)
	calls := func(r *registry) int {
		before := f.Calls()
		current, err := r.putAnnouncement(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(f.lease()).To(Equal(current.id))
		made := f.Calls() - before
		g.Expect(f.incarnation(g, r)).To(Equal(r.self.Incarnation))
		return made
	}
	empty := f.Copy()
	first, _ := f.process(0)
	g.Expect(calls(first)).To(Equal(2))
	restarted, _ := f.process(time.Second)
	g.Expect(calls(restarted)).To(Equal(4), "the key of the process that crashed is still there")
	f.Restore(f.Copy())
	restarted.state.ObserveEra(2)
	g.Expect(calls(restarted)).To(BeNumerically("<=", 3), "the first grant may only tell the era")
	f.Restore(empty)
	restarted.state.ObserveEra(3)
	g.Expect(calls(restarted)).To(BeNumerically("<=", 4), "the copy does not have the key, and the first grant may only tell the era")
}

// Guards against more than two grants, three writes and a read when the restored copy has the announcement of the previous process: the first grant
// only tells the era, and both writes without a read conflict.
func TestCallsAfterARestoreOfThePreviousAnnouncement(t *testing.T) {
	g := NewWithT(t)
	f := newAnnouncementFixture(t)
	previous, _ := f.process(0)
	_, err := previous.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	copied := f.Copy()
	r, _ := f.process(time.Second)
	_, err = r.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	f.Restore(copied)
	r.state.ObserveEra(2)
	before := f.Calls()
	_, err = r.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Calls() - before).To(BeNumerically("<=", 6))
	g.Expect(f.incarnation(g, r)).To(Equal(r.self.Incarnation))
}

// Guards against an entry that is not found because a process that still drains replaces the announcement of its successor.
func TestProcessThatDrainsDoesNotReplaceItsSuccessor(t *testing.T) {
	g := NewWithT(t)
	f := newAnnouncementFixture(t)
	draining, _ := f.process(0)
	current, err := draining.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	successor, _ := f.process(time.Second)
	_, err = successor.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	f.Restore(f.Copy())
	draining.state.ObserveEra(2)
	_, err = draining.putAnnouncement(t.Context())
	g.Expect(errors.Is(err, errSuperseded)).To(BeTrue(), "%v", err)
	g.Expect(draining.removeAnnouncement(t.Context(), current)).To(Succeed())
	g.Expect(f.incarnation(g, successor)).To(Equal(successor.self.Incarnation))
}

// Guards against an entry that stays without an announcement after its lease has ended, because it writes on the condition that the key, which
// has ended with the lease, is unchanged.
func TestAnnouncementAfterTheEndOfItsLease(t *testing.T) {
	g := NewWithT(t)
	f := newAnnouncementFixture(t)
	r, _ := f.process(0)
	current, err := r.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.store.Revoke(t.Context(), current.id)).To(Succeed())
	current, err = r.renewAnnouncement(t.Context(), current)
	g.Expect(errors.Is(err, store.ErrLeaseNotFound)).To(BeTrue(), "%v", err)
	g.Expect(current).To(BeZero())
	before := f.Calls()
	current, err = r.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Calls() - before).To(Equal(2))
	g.Expect(f.lease()).To(Equal(current.id))
}

// Guards against an entry that is not announced because the clock of its machine was set back before it started, so that its previous process
// seems to be a later one.
func TestProcessThatStartsReplacesItsPredecessorWhateverTheClock(t *testing.T) {
	g := NewWithT(t)
	f := newAnnouncementFixture(t)
	previous, _ := f.process(time.Minute)
	_, err := previous.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	copied := f.Copy()
	r, _ := f.process(0)
	current, err := r.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.incarnation(g, r)).To(Equal(r.self.Incarnation))
	g.Expect(f.lease()).To(Equal(current.id))
	f.Restore(copied)
	r.state.ObserveEra(2)
	_, err = r.putAnnouncement(t.Context())
	g.Expect(err).NotTo(HaveOccurred(), "the copy has the announcement of the previous process")
	g.Expect(f.incarnation(g, r)).To(Equal(r.self.Incarnation))
}

// Guards against an entry that takes itself for the first process and uses the whole retry budget, which the one before it may have spent, and
// against a first process that uses a part only: it repeated no request that a server declined in its first seconds.
func TestProcessKnowsWhetherItHasAPredecessor(t *testing.T) {
	g := NewWithT(t)
	f := newAnnouncementFixture(t)
	for i, want := range []int{1, 0} {
		r, _ := f.process(time.Duration(i) * time.Second)
		first := 0
		r.onFirst = func() { first++ }
		for range 2 { // The second time, the key holds the announcement of this process.
			_, err := r.putAnnouncement(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(first).To(Equal(want))
	}
}
