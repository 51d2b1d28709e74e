package control_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

var _ = Describe("Submissions", Ordered, func() {
	var f fleet
	var newestRevision uint64

	BeforeAll(func(ctx SpecContext) {
		f = launch(ctx, testbed.Fleet{DataCentres: []testbed.DataCentre{
			{Name: "jylland", Region: "west", Entries: 2, Models: 1}, {Name: "fyn", Region: "west", Entries: 1, Models: 1},
		}})
		newestRevision = 1
	}, NodeTimeout(specTimeout))

	AfterEach(func(ctx SpecContext) {
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{})).To(Succeed())
		f.expectInForce(ctx, newestRevision, f.nodeIDs(""), catchUpTimeout)
		f.expectNoReversion()
	}, NodeTimeout(specTimeout))

	// Guards against a submission that overwrites a concurrent one which its author has not seen.
	It("are accepted from one of two concurrent operators; the other receives the difference", func(ctx SpecContext) {
		results := make([]error, 2)
		var group errgroup.Group
		for i, entry := range []string{"entry-1", "entry-3"} {
			group.Go(func() error {
				_, results[i] = f.SubmitConfigOnBase(ctx, entry, newestRevision, f.configText(i+1))
				return nil
			})
		}
		Expect(group.Wait()).To(Succeed())
		rejected := results[0]
		if rejected == nil {
			rejected = results[1]
		}
		Expect(results).To(ContainElement(BeNil()))
		submitErr := submitError(rejected)
		Expect(submitErr.Status).To(Equal(http.StatusConflict))
		Expect(submitErr.Detail.Current.Revision).To(Equal(newestRevision + 1))
		Expect(submitErr.Detail.Difference).NotTo(BeEmpty())
		newestRevision++
	}, NodeTimeout(specTimeout))

	// Guards against reporting an accepted change as failed when the reply of the store is lost, and against a second revision when the
	// operator retries.
	It("are read back when the response of the store is lost", func(ctx SpecContext) {
		// A negative number loses the responses to all writes.
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{LoseAnswers: -1})).To(Succeed())
		for range 2 {
			accepted, err := f.SubmitConfigWithID(ctx, "entry-2", newestRevision, "lost-answer", f.configText(10))
			Expect(err).NotTo(HaveOccurred())
			Expect(accepted.Revision).To(Equal(newestRevision + 1))
			Expect(accepted.SubmissionID).To(Equal("lost-answer"))
		}
		newestRevision++
	}, NodeTimeout(specTimeout))

	// Guards against an ambiguous response while the store is down, and against the loss of the configuration in force.
	It("are refused while the store is down and leave the configuration in force", func(ctx SpecContext) {
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{Refuse: true})).To(Succeed())
		_, err := f.SubmitConfigOnBase(ctx, "entry-1", newestRevision, f.configText(20))
		submitErr := submitError(err)
		Expect(submitErr.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(submitErr.Detail.Outcome).To(Equal(admin.OutcomeNotRun))
		f.expectInForce(ctx, newestRevision, f.nodeIDs(""), catchUpTimeout)
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{})).To(Succeed())
		newestRevision = f.submit(ctx, "entry-1", newestRevision, 20)
	}, NodeTimeout(specTimeout))

	// Guards against accepting parts of an invalid document.
	It("are refused completely when they are invalid or oversized", func(ctx SpecContext) {
		valid := f.configText(30)
		for text, status := range map[string]int{
			strings.Replace(valid, `floor = 0.1`, `floor = 1.1`, 1):           http.StatusUnprocessableEntity,
			valid + "[[route]]\npath = \"/x\"\npool = \"none\"\n":             http.StatusUnprocessableEntity,
			valid + "unknown = 1\n":                                           http.StatusUnprocessableEntity,
			valid + "#" + strings.Repeat("x", config.MaxDocumentBytes) + "\n": http.StatusUnprocessableEntity,
			// Exceeds the size limit of the request body, which is above that of the document.
			valid + "#" + strings.Repeat("x", 3*config.MaxDocumentBytes) + "\n": http.StatusRequestEntityTooLarge,
		} {
			_, err := f.SubmitConfigOnBase(ctx, "entry-1", newestRevision, text)
			Expect(submitError(err).Status).To(Equal(status))
		}
	}, NodeTimeout(specTimeout))

	// Guards against nodes that apply an older configuration when the store was restored to an earlier state, and against submissions
	// that are based on it.
	It("are refused, and nodes keep their revision, while the store contains an older one", func(ctx SpecContext) {
		client := store.NewClient(f.UpstreamURL(testbed.StoreName), 100, logr.Discard()) // At most 100 calls per second.
		defer client.Close()
		const key = "/pimentohead/config"
		olderValue, err := client.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		newestRevision = f.submit(ctx, "entry-2", newestRevision, 40)
		f.expectInForce(ctx, newestRevision, f.nodeIDs(""), catchUpTimeout)
		currentValue, err := client.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		put := func(value []byte) {
			_, err := client.Txn(ctx, store.Txn{Then: []store.Op{{Put: &store.Put{Key: key, Value: value}}}})
			Expect(err).NotTo(HaveOccurred())
		}
		put(olderValue.Value)
		_, err = f.SubmitConfigOnBase(ctx, "entry-1", newestRevision-1, f.configText(41))
		Expect(submitError(err).Status).To(Equal(http.StatusServiceUnavailable))
		f.restart("agent-1")
		Expect(f.AwaitReady(ctx, "agent-1")).To(Succeed())
		f.expectInForce(ctx, newestRevision, f.nodeIDs(""), catchUpTimeout)
		put(currentValue.Value)
	}, NodeTimeout(specTimeout))
})

var _ = Describe("Nodes", Ordered, func() {
	var f fleet
	var newestRevision uint64

	BeforeAll(func(ctx SpecContext) {
		f = launch(ctx, threeDataCentres())
		newestRevision = 1
	}, NodeTimeout(specTimeout))

	AfterEach(func() { f.expectNoReversion() })

	// Guards against a node that waits for the store at its start although its peers have the configuration.
	It("get the newest revision from peers when they start while the store is down", func(ctx SpecContext) {
		newestRevision = f.submit(ctx, "entry-1", newestRevision, 50)
		f.expectInForce(ctx, newestRevision, f.nodeIDs(""), catchUpTimeout)
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{Refuse: true})).To(Succeed())
		for _, node := range []string{"entry-1", "entry-3", "agent-2", "entry-5", "agent-4"} {
			f.restart(node)
		}
		f.expectInForce(ctx, newestRevision, f.nodeIDs(""), catchUpTimeout)
		Expect(f.AwaitReady(ctx, "entry-1")).To(Succeed())
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{})).To(Succeed())
	}, NodeTimeout(specTimeout))

	// Guards against a node that was paused during changes and afterwards keeps its old revision or sends it to peers.
	It("catch up after a pause", func(ctx SpecContext) {
		for _, node := range []string{"entry-2", "agent-3"} {
			f.Process(node).Pause()
		}
		for i := range 3 {
			newestRevision = f.submit(ctx, "entry-1", newestRevision, 60+i)
		}
		for _, node := range []string{"entry-2", "agent-3"} {
			f.Process(node).Resume()
		}
		f.expectInForce(ctx, newestRevision, f.nodeIDs(""), catchUpTimeout)
	}, NodeTimeout(specTimeout))

	// Guards against a data centre that stops serving during a partition, or that does not catch up in time after it.
	DescribeTable("go on serving and catch up when their data centre is cut off", func(ctx SpecContext, fromStore, fromDataCentres bool) {
		heal := f.cutConnections("fyn", fromStore, fromDataCentres)
		defer heal()
		newestRevision = f.submit(ctx, "entry-1", newestRevision, 70+int(newestRevision))
		f.expectInForce(ctx, newestRevision, f.nodeIDs("jylland"), catchUpTimeout)
		start := time.Now()
		for time.Since(start) < 4*time.Second { // Longer than the silence timeout of links (3 s).
			reply, err := f.Call(ctx, testbed.Request{
				Entry: "entry-4", Method: http.MethodPost, Path: testbed.ChatPath, Caller: "small-1",
				Body: testbed.ChatBody("cut", 5, false),
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Status).To(Equal(http.StatusOK), "%s", reply.Body)
			time.Sleep(100 * time.Millisecond)
		}
		heal()
		f.expectInForce(ctx, newestRevision, f.nodeIDs(""), catchUpTimeout)
	},
		Entry("from the store", true, false, NodeTimeout(specTimeout)),
		Entry("from other data centres", false, true, NodeTimeout(specTimeout)),
		Entry("from both", true, true, NodeTimeout(specTimeout)),
	)

	// Guards against a node without a configuration that reports itself as ready.
	It("report that they have no configuration when no node has one", func(ctx SpecContext) {
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{Refuse: true})).To(Succeed())
		all := f.nodeIDs("")
		for _, node := range all {
			f.Process(node).Kill()
		}
		for _, node := range all {
			Expect(f.Process(node).Start()).To(Succeed())
		}
		for _, node := range all {
			Eventually(func() (string, error) {
				status, text, err := f.Readiness(ctx, node)
				if status == http.StatusOK {
					return "ready", err
				}
				return text, err
			}).WithTimeout(catchUpTimeout).WithPolling(pollInterval).Should(ContainSubstring("no configuration"), node)
		}
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{})).To(Succeed())
		f.expectInForce(ctx, newestRevision, all, catchUpTimeout)
	}, NodeTimeout(specTimeout))
})
