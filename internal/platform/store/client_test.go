package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/faultproxy"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// unlimitedCallRate is a call budget per second that no test exhausts.
const unlimitedCallRate = 10000

// startStore starts a fake of the service, and returns it with a client and its URL.
func startStore(t *testing.T) (*fake.Store, *store.Client, string) {
	t.Helper()
	service := fake.NewStore(fake.StoreConfig{})
	server := httptest.NewServer(service)
	client := store.NewClient(server.URL, unlimitedCallRate, logr.Discard())
	t.Cleanup(func() { client.Close(); server.CloseClientConnections(); server.Close() })
	return service, client, server.URL
}

// createTxn returns a transaction that creates a key, or reads it if it exists.
func createTxn(key, value string) store.Txn {
	return store.Txn{
		If:   []store.Compare{{Key: key, Target: store.CompareCreate}},
		Then: []store.Op{{Put: &store.Put{Key: key, Value: []byte(value)}}},
		Else: []store.Op{{Get: &store.Get{Key: key}}},
	}
}

// Guards against two compare-and-swap writes on the same revision that both succeed.
func TestCompareAndSwapHasOneWinner(t *testing.T) {
	g := NewWithT(t)
	_, client, _ := startStore(t)
	first, err := client.Txn(t.Context(), createTxn("k", "a"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Succeeded).To(BeTrue())
	second, err := client.Txn(t.Context(), createTxn("k", "b"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Succeeded).To(BeFalse())
	g.Expect(second.Results[0].KVs[0].Value).To(Equal([]byte("a")))

	kv, err := client.Get(t.Context(), "k")
	g.Expect(err).NotTo(HaveOccurred())
	swap := store.Txn{
		If:   []store.Compare{{Key: "k", Target: store.CompareMod, Revision: kv.ModRevision}},
		Then: []store.Op{{Put: &store.Put{Key: "k", Value: []byte("c")}}},
	}
	for _, want := range []bool{true, false} {
		result, err := client.Txn(t.Context(), swap)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Succeeded).To(Equal(want))
	}
	_, err = client.Get(t.Context(), "absent")
	g.Expect(errors.Is(err, store.ErrNotFound)).To(BeTrue())
}

// Guards against a batch of nested transactions in which one whose condition fails makes the others fail too.
func TestNestedTransactionsSucceedIndependently(t *testing.T) {
	g := NewWithT(t)
	_, client, _ := startStore(t)
	_, err := client.Txn(t.Context(), createTxn("p/1", "old"))
	g.Expect(err).NotTo(HaveOccurred())
	one, two := createTxn("p/1", "new"), createTxn("p/2", "new")
	result, err := client.Txn(t.Context(), store.Txn{Then: []store.Op{{Txn: &one}, {Txn: &two}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Results[0].Txn.Succeeded).To(BeFalse())
	g.Expect(result.Results[0].Txn.Results[0].KVs[0].Value).To(Equal([]byte("old")))
	g.Expect(result.Results[1].Txn.Succeeded).To(BeTrue())
	list, err := client.Txn(t.Context(), store.Txn{Then: []store.Op{{Get: &store.Get{Key: "p/", Prefix: true}}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list.Results[0].KVs).To(HaveLen(2))

	// The service refuses a key that is put twice in one transaction.
	_, err = client.Txn(t.Context(), store.Txn{Then: []store.Op{{Txn: &two}, {Txn: &two}}})
	g.Expect(errors.Is(err, store.ErrRejected)).To(BeTrue())
	huge := store.Put{Key: "h", Value: make([]byte, store.MaxValueBytes+1)}
	_, err = client.Txn(t.Context(), store.Txn{Then: []store.Op{{Put: &huge}}})
	g.Expect(errors.Is(err, store.ErrTooLarge)).To(BeTrue())
}

// Guards against keys that outlive their lease, and against a watch that does not deliver their deletion.
func TestLeaseExpiryDeletesKeysAndNotifiesWatch(t *testing.T) {
	g := NewWithT(t)
	_, client, _ := startStore(t)
	lease, err := client.Grant(t.Context(), time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	put := store.Txn{Then: []store.Op{{Put: &store.Put{Key: "held", Value: []byte("x"), Lease: lease}}}}
	result, err := client.Txn(t.Context(), put)
	g.Expect(err).NotTo(HaveOccurred())
	ttl, err := client.KeepAlive(t.Context(), lease)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ttl).To(Equal(time.Second))

	events := make(chan store.Event, 4)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- client.Watch(ctx, "held", result.Revision, func(e store.Event) { events <- e }) }()
	g.Eventually(events).WithTimeout(10 * time.Second).Should(Receive(HaveField("Deleted", false)))
	g.Eventually(events).WithTimeout(10 * time.Second).Should(Receive(HaveField("Deleted", true)))
	cancel()
	g.Eventually(ended).WithTimeout(10 * time.Second).Should(Receive(MatchError(context.Canceled)))

	_, err = client.KeepAlive(t.Context(), lease)
	g.Expect(errors.Is(err, store.ErrLeaseNotFound)).To(BeTrue())
	_, err = client.Txn(t.Context(), put)
	g.Expect(errors.Is(err, store.ErrLeaseNotFound)).To(BeTrue())
	g.Expect(errors.Is(client.Revoke(t.Context(), lease), store.ErrLeaseNotFound)).To(BeTrue())
}

// Guards against a write whose response was lost being reported as without effect, and against a rejected call being reported as ambiguous.
func TestLostResponseIsAmbiguousAndRejectionIsNot(t *testing.T) {
	g := NewWithT(t)
	service, client, url := startStore(t)
	service.SetFault(fake.Fault{LoseAnswers: 1})
	_, err := client.Txn(t.Context(), createTxn("k", "a"))
	g.Expect(errors.Is(err, store.ErrAmbiguous)).To(BeTrue())
	g.Expect(errors.Is(err, store.ErrUnavailable)).To(BeFalse())
	kv, err := client.Get(t.Context(), "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(kv.Value).To(Equal([]byte("a")))

	// The call times out once the service has received it: a call that times out earlier has no effect and is not ambiguous.
	service.SetFault(fake.Fault{DelayMillis: time.Hour.Milliseconds()})
	timeoutCtx, expire := context.WithCancelCause(t.Context())
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		expire(context.DeadlineExceeded)
		service.ServeHTTP(w, r)
	}))
	defer slow.Close()
	_, err = store.NewClient(slow.URL, unlimitedCallRate, logr.Discard()).Txn(timeoutCtx, createTxn("k2", "a"))
	g.Expect(errors.Is(err, store.ErrAmbiguous)).To(BeTrue())

	service.SetFault(fake.Fault{Down: true})
	_, err = client.Txn(t.Context(), createTxn("k3", "a"))
	g.Expect(errors.Is(err, store.ErrUnavailable)).To(BeTrue())
	service.SetFault(fake.Fault{Refuse: true})
	_, err = client.Get(t.Context(), "k")
	g.Expect(errors.Is(err, store.ErrUnavailable)).To(BeTrue())

	unreachable := httptest.NewServer(nil)
	unreachable.Close()
	g.Expect(unreachable.URL).NotTo(Equal(url))
	_, err = store.NewClient(unreachable.URL, unlimitedCallRate, logr.Discard()).Txn(t.Context(), createTxn("k", "a"))
	g.Expect(errors.Is(err, store.ErrUnavailable)).To(BeTrue())
	g.Expect(errors.Is(err, store.ErrAmbiguous)).To(BeFalse())
}

// Guards against a process that exceeds its call budget, and against a call that the service rejects for its rate being reported as
// anything but unavailable.
func TestExhaustedBudgetFailsWithoutCall(t *testing.T) {
	g := NewWithT(t)
	_, _, url := startStore(t)
	client := store.NewClient(url, 0.01, logr.Discard())
	defer client.Close()
	_, err := client.Txn(t.Context(), createTxn("k", "a"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Get(t.Context(), "k")
	g.Expect(errors.Is(err, store.ErrBudgetExhausted)).To(BeTrue())
	g.Expect(errors.Is(err, store.ErrUnavailable)).To(BeTrue())
	g.Expect(client.Calls()).To(Equal(uint64(1)))

	rateLimited := httptest.NewServer(fake.NewStore(fake.StoreConfig{ReadsPerSecond: 0.01}))
	defer rateLimited.Close()
	limitedClient := store.NewClient(rateLimited.URL, unlimitedCallRate, logr.Discard())
	defer limitedClient.Close()
	_, err = limitedClient.Get(t.Context(), "k")
	g.Expect(errors.Is(err, store.ErrNotFound)).To(BeTrue())
	_, err = limitedClient.Get(t.Context(), "k")
	g.Expect(errors.Is(err, store.ErrUnavailable)).To(BeTrue())
}

// Guards against a watch that silently misses changes because its start revision has been compacted.
func TestWatchReportsCompaction(t *testing.T) {
	g := NewWithT(t)
	_, client, url := startStore(t)
	_, err := client.Txn(t.Context(), createTxn("k", "a"))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.Post(url+"/fake/compact", "application/json", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	err = client.Watch(t.Context(), "k", 1, func(store.Event) {})
	g.Expect(errors.Is(err, store.ErrCompacted)).To(BeTrue())
}

// Guards against a watch that waits for ever on a dead connection.
func TestWatchSurvivesDeadConnection(t *testing.T) {
	g := NewWithT(t)
	_, direct, url := startStore(t)
	proxy, err := faultproxy.New("127.0.0.1:0", strings.TrimPrefix(url, "http://"), faultproxy.Source{})
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	client := store.NewClient("http://"+proxy.Address(), unlimitedCallRate, logr.Discard())
	events := make(chan store.Event, 4)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- client.Watch(ctx, "k", 1, func(e store.Event) { events <- e }) }()
	_, err = direct.Txn(t.Context(), createTxn("k", "a"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(events).WithTimeout(20 * time.Second).Should(Receive())
	proxy.Silence(faultproxy.Any)
	_, err = direct.Txn(t.Context(), store.Txn{Then: []store.Op{{Put: &store.Put{Key: "k", Value: []byte("b")}}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(events).WithTimeout(20 * time.Second).Should(Receive(HaveField("KV.Value", []byte("b"))))
	cancel()
	g.Eventually(ended).WithTimeout(20 * time.Second).Should(Receive())
	g.Expect(events).To(BeEmpty())
}
