package directpath

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/mesh"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/poison"
	"github.com/pimentohead/pimentohead/platform/standin"
)

// ledgerWithStoredVerdict returns a ledger with a verdict that was read from the store in its first era.
func ledgerWithStoredVerdict() *poison.Ledger {
	ledger := poison.New(nil)
	readVerdict(ledger, logr.Discard(), store.KV{Key: verdictsPrefix + "x", Value: []byte(`{"subjects":["deadly"]}`), ModRevision: 1, Era: 1})
	return ledger
}

// runVerdictWriter runs the verdict writer of an entry until the test ends.
func runVerdictWriter(t *testing.T, r *registry, ledger *poison.Ledger) {
	writer := &verdictWriter{store: r.store, state: r.state, mesh: r.mesh.(*mesh.Mesh), ledger: ledger, log: logr.Discard()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); writer.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// Guards against verdicts on requests that crash upstreams which are gone with the last entry that knows them, because a restore of the store
// has lost them and no entry stores them again.
func TestVerdictIsStoredAgainAfterARestore(t *testing.T) {
	g := NewWithT(t)
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	r := newRegistry("a", strings.TrimPrefix(server.URL, "http://"))
	r.state.ObserveEra(1)
	runVerdictWriter(t, r, ledgerWithStoredVerdict())
	g.Consistently(func() []string { return s.Keys(verdictsPrefix) }, "1500ms").Should(BeEmpty(), "the verdict counts as stored")
	s.Restore(s.Copy())
	r.state.ObserveEra(2)
	g.Eventually(func() []string { return s.Keys(verdictsPrefix) }, "5s").Should(HaveLen(1))
}

// Guards against a verdict that stays lost after a restore of the store because the entry that has to store it again has restarted since: other
// entries report the verdict to it as one that is stored.
func TestRestartedEntryStoresALostVerdictAgain(t *testing.T) {
	g := NewWithT(t)
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	known := ledgerWithStoredVerdict()
	s.Restore(s.Copy())
	r, ledger := newRegistry("restarted", strings.TrimPrefix(server.URL, "http://")), poison.New(nil)
	r.state.ObserveEra(2)
	runVerdictWriter(t, r, ledger)
	time.Sleep(verdictCheckInterval + 200*time.Millisecond)
	ledger.Merge(known.Export())
	g.Eventually(func() []string { return s.Keys(verdictsPrefix) }, "3s").Should(HaveLen(1))
	before := s.Calls()
	time.Sleep(verdictCheckInterval + 200*time.Millisecond)
	g.Expect(s.Calls()).To(Equal(before), "it is stored once")
}

// Guards against a verdict that is changed or lost because the store carries out its first write, which got no answer, after the second one.
func TestLateWriteOfAVerdictChangesNothing(t *testing.T) {
	g := NewWithT(t)
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	r := newRegistry("a", strings.TrimPrefix(server.URL, "http://"))
	late := &lateStore{Store: r.store, hold: 1}
	writer := &verdictWriter{store: late, state: r.state, ledger: poison.New(nil), log: logr.Discard()}
	verdict := poison.Verdict{Subjects: []string{"deadly"}}
	g.Expect(errors.Is(writer.put(t.Context(), verdict), store.ErrAmbiguous)).To(BeTrue())
	g.Expect(writer.put(t.Context(), verdict)).To(Succeed())
	keys := s.Keys(verdictsPrefix)
	g.Expect(keys).To(HaveLen(1))
	before, err := r.store.Get(t.Context(), keys[0])
	g.Expect(err).NotTo(HaveOccurred())

	late.carryOut(g)

	after, err := r.store.Get(t.Context(), keys[0])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after.Value).To(Equal(before.Value))
	ttl, err := r.store.KeepAlive(t.Context(), after.Lease)
	g.Expect(err).NotTo(HaveOccurred(), "the lease of the first write runs")
	g.Expect(ttl).To(BeNumerically(">", 0))
}
