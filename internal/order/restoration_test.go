package order_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/order"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// Guards against an order that runs again although it ran and its response was recorded after the store was restored from a copy older
// than its claim.
func TestResponseIsRecordedAfterTheStoreLostTheClaim(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	first, second := startLedger(t, s), startLedger(t, s)
	earlier := s.copy()
	run := begin(g, first, "k")
	s.restore(earlier)
	first.Finish(run.Claim, &order.Response{Status: 201, Body: []byte("placed")})
	g.Expect(first.Flush(ctx)).To(Succeed())
	g.Expect(begin(g, second, "k").Verdict).To(Equal(order.Replay))
}

// Guards against an order that runs again at another agent because the restored store has lost its claim: the ledger that made the claim
// puts it back, also while it has nothing to commit.
func TestClaimsLostByTheStoreArePutBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFakeStore()
		first := startLedger(t, s)
		earlier := s.copy()
		held := begin(g, first, "held")
		for _, key := range []string{"recorded", "unknown"} {
			run := begin(g, first, key)
			var response *order.Response
			if key == "recorded" {
				response = &order.Response{Status: 201}
			}
			first.Finish(run.Claim, response)
		}
		g.Expect(first.Flush(ctx)).To(Succeed())
		s.restore(earlier)
		time.Sleep(3 * time.Second)
		second := startLedger(t, s)
		for _, key := range []string{"held", "recorded", "unknown"} {
			g.Expect(begin(g, second, key).Verdict).To(Equal(order.Unknown), key)
		}
		first.Finish(held.Claim, &order.Response{Status: 201})
		g.Expect(first.Flush(ctx)).To(Succeed())
		g.Expect(begin(g, second, "held").Verdict).To(Equal(order.Replay))
	})
}

// Guards against an order that runs again because its key is repeated before the ledger has put back its claims.
func TestRepeatRightAfterARestorationIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFakeStore()
		first := startLedger(t, s)
		earlier := s.copy()
		first.Finish(begin(g, first, "k").Claim, &order.Response{Status: 201})
		g.Expect(first.Flush(ctx)).To(Succeed())
		s.restore(earlier)
		g.Expect(begin(g, first, "k").Verdict).To(Equal(order.Unknown))
		g.Expect(first.Flush(ctx)).To(Succeed())
		g.Expect(begin(g, startLedger(t, s), "k").Verdict).To(Equal(order.Unknown))

		s.restore(s.copy())
		_, err := first.Begin(ctx, "caller", "new", bodyDigest)
		g.Expect(errors.Is(err, order.ErrUnavailable)).To(BeTrue())
		g.Expect(first.Flush(ctx)).To(Succeed())
		g.Expect(begin(g, first, "new").Verdict).To(Equal(order.Run))
	})
}

// Guards against a ledger that does not notice a restoration through the client that the processes use.
func TestRestorationIsNoticedThroughTheClient(t *testing.T) {
	g := NewWithT(t)
	service := fake.NewStore(fake.StoreConfig{})
	server := httptest.NewServer(service)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	newLedger := func() *order.Ledger { return startLedger(t, store.NewClient(server.URL, 1000, logr.Discard())) }
	first := newLedger()
	earlier := service.Copy()
	for _, key := range []string{"k", "k2"} {
		run := begin(g, first, key)
		g.Expect(run.Verdict).To(Equal(order.Run))
		first.Finish(run.Claim, &order.Response{Status: 201})
	}
	g.Expect(first.Flush(ctx)).To(Succeed())
	service.Restore(earlier)
	bounded, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	g.Eventually(func() (order.Verdict, error) {
		result, err := first.Begin(bounded, "caller", "k", bodyDigest)
		return result.Verdict, err
	}, "10s").Should(Equal(order.Unknown))
	reader := store.NewClient(server.URL, 1000, logr.Discard())
	all := store.Txn{Then: []store.Op{{Get: &store.Get{Key: "/pimentohead/order/", Prefix: true}}}}
	g.Eventually(func() (int, error) {
		result, err := reader.Txn(bounded, all)
		if err != nil {
			return 0, err
		}
		return len(result.Results[0].KVs), nil
	}, "10s").Should(Equal(2), "both claims are in the store again")
	result, err := newLedger().Begin(bounded, "caller", "k2", bodyDigest)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Verdict).To(Equal(order.Unknown))
}
