package store_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// Guards against a lease that one process renews or revokes although the restored store has granted its ID to another process.
func TestLeaseIDIsNotGrantedAgainAfterRestoration(t *testing.T) {
	g := NewWithT(t)
	service, client, url := startStore(t)
	earlier := service.Copy()
	lost, err := client.Grant(t.Context(), time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	service.Restore(earlier)
	other := store.NewClient(url, unlimitedCallRate, logr.Discard())
	defer other.Close()
	granted, err := other.Grant(t.Context(), time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(granted).NotTo(Equal(lost))
	_, err = client.KeepAlive(t.Context(), lost)
	g.Expect(errors.Is(err, store.ErrLeaseNotFound)).To(BeTrue())
	_, err = other.KeepAlive(t.Context(), granted)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a watch that skips changes: after a restoration, its start revision lies in the future.
func TestWatchFromLostRevisionFails(t *testing.T) {
	g := NewWithT(t)
	service, client, _ := startStore(t)
	earlier := service.Copy()
	result, err := client.Txn(t.Context(), createTxn("k", "a"))
	g.Expect(err).NotTo(HaveOccurred())
	service.Restore(earlier)
	failed := make(chan error, 1)
	go func() { failed <- client.Watch(t.Context(), "k", result.Revision+1, func(store.Event) {}) }()
	var watchErr error
	g.Eventually(failed, "10s").Should(Receive(&watchErr))
	g.Expect(errors.Is(watchErr, store.ErrCompacted)).To(BeTrue())
}

// Guards against a restoration that is not noticed, and against one that is counted twice or seen in ordinary responses.
func TestRestorationIsCountedOnce(t *testing.T) {
	g := NewWithT(t)
	service, client, _ := startStore(t)
	_, err := client.Txn(t.Context(), createTxn("first", "a"))
	g.Expect(err).NotTo(HaveOccurred())
	earlier := service.Copy()
	_, err = client.Txn(t.Context(), createTxn("second", "a"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(client.Restorations()).To(BeZero())
	service.Restore(earlier)
	for range 2 {
		_, err = client.Get(t.Context(), "first")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(client.Restorations()).To(Equal(uint64(1)))
	}
	_, err = client.Txn(t.Context(), createTxn("third", "a"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(client.Restorations()).To(Equal(uint64(1)))
}
