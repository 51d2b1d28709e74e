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
	var newest uint64

	BeforeAll(func(ctx SpecContext) {
		f = launch(ctx, testbed.Fleet{DataCentres: []testbed.DataCentre{
			{Name: "jylland", Region: "west", Entries: 2, Models: 1}, {Name: "fyn", Region: "west", Entries: 1, Models: 1},
		}})
		newest = 1
	}, NodeTimeout(wait))

	AfterEach(func(ctx SpecContext) {
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{})).To(Succeed())
		f.expectInForce(ctx, newest, f.nodes(""), catchUp)
		f.expectNoReversion()
	}, NodeTimeout(wait))

	// Guards against a change that replaces another one unseen.
	It("accepts one of two racing operators and tells the other what changed", func(ctx SpecContext) {
		results := make([]error, 2)
		var group errgroup.Group
		for i, entry := range []string{"entry-1", "entry-3"} {
			group.Go(func() error {
				_, results[i] = f.SubmitConfigOnBase(ctx, entry, newest, f.text(i+1))
				return nil
			})
		}
		Expect(group.Wait()).To(Succeed())
		lost := results[0]
		if lost == nil {
			lost = results[1]
		}
		Expect(results).To(ContainElement(BeNil()))
		refused := refusal(lost)
		Expect(refused.Status).To(Equal(http.StatusConflict))
		Expect(refused.Detail.Current.Revision).To(Equal(newest + 1))
		Expect(refused.Detail.Difference).NotTo(BeEmpty())
		newest++
	}, NodeTimeout(wait))

	// Guards against an accepted change that is reported as failed, and against a second revision when it is sent again.
	It("reads a submission back when the answer of the store is lost", func(ctx SpecContext) {
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{LoseAnswers: -1})).To(Succeed())
		for range 2 {
			accepted, err := f.SubmitConfigWithID(ctx, "entry-2", newest, "lost-answer", f.text(10))
			Expect(err).NotTo(HaveOccurred())
			Expect(accepted.Revision).To(Equal(newest + 1))
			Expect(accepted.SubmissionID).To(Equal("lost-answer"))
		}
		newest++
	}, NodeTimeout(wait))

	// Guards against an unclear answer, and against the loss of what is in force.
	It("refuses a submission while the store is down and keeps the configuration", func(ctx SpecContext) {
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{Refuse: true})).To(Succeed())
		_, err := f.SubmitConfigOnBase(ctx, "entry-1", newest, f.text(20))
		refused := refusal(err)
		Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Detail.Outcome).To(Equal(admin.OutcomeNotRun))
		f.expectInForce(ctx, newest, f.nodes(""), catchUp)
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{})).To(Succeed())
		newest = f.submit(ctx, "entry-1", newest, 20)
	}, NodeTimeout(wait))

	// Guards against documents that are accepted in part.
	It("refuses invalid and oversized configurations whole", func(ctx SpecContext) {
		valid := f.text(30)
		for text, status := range map[string]int{
			strings.Replace(valid, `floor = 0.1`, `floor = 1.1`, 1):             http.StatusUnprocessableEntity,
			valid + "[[route]]\npath = \"/x\"\npool = \"none\"\n":               http.StatusUnprocessableEntity,
			valid + "unknown = 1\n":                                             http.StatusUnprocessableEntity,
			valid + "#" + strings.Repeat("x", config.MaxDocumentBytes) + "\n":   http.StatusUnprocessableEntity,
			valid + "#" + strings.Repeat("x", 3*config.MaxDocumentBytes) + "\n": http.StatusRequestEntityTooLarge,
		} {
			_, err := f.SubmitConfigOnBase(ctx, "entry-1", newest, text)
			Expect(refusal(err).Status).To(Equal(status))
		}
	}, NodeTimeout(wait))

	// Guards against nodes that trust a store which was set back, and against a change on top of an older revision.
	It("ignores an older value of the store", func(ctx SpecContext) {
		client := store.NewClient(f.UpstreamURL(testbed.StoreName), 100, logr.Discard())
		defer client.Close()
		const key = "/pimentohead/config"
		older, err := client.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		newest = f.submit(ctx, "entry-2", newest, 40)
		f.expectInForce(ctx, newest, f.nodes(""), catchUp)
		current, err := client.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		put := func(value []byte) {
			_, err := client.Txn(ctx, store.Txn{Then: []store.Op{{Put: &store.Put{Key: key, Value: value}}}})
			Expect(err).NotTo(HaveOccurred())
		}
		put(older.Value)
		_, err = f.SubmitConfigOnBase(ctx, "entry-1", newest-1, f.text(41))
		Expect(refusal(err).Status).To(Equal(http.StatusServiceUnavailable))
		f.restart("agent-1")
		Expect(f.AwaitReady(ctx, "agent-1")).To(Succeed())
		f.expectInForce(ctx, newest, f.nodes(""), catchUp)
		put(current.Value)
	}, NodeTimeout(wait))
})

var _ = Describe("Nodes", Ordered, func() {
	var f fleet
	var newest uint64

	BeforeAll(func(ctx SpecContext) {
		f = launch(ctx, threeCentres())
		newest = 1
	}, NodeTimeout(wait))

	AfterEach(func() { f.expectNoReversion() })

	// Guards against a started node that waits for the store although its peers hold the configuration.
	It("get the newest revision from peers when they start while the store is down", func(ctx SpecContext) {
		newest = f.submit(ctx, "entry-1", newest, 50)
		f.expectInForce(ctx, newest, f.nodes(""), catchUp)
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{Refuse: true})).To(Succeed())
		for _, node := range []string{"entry-1", "entry-3", "agent-2", "entry-5", "agent-4"} {
			f.restart(node)
		}
		f.expectInForce(ctx, newest, f.nodes(""), catchUp)
		Expect(f.AwaitReady(ctx, "entry-1")).To(Succeed())
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{})).To(Succeed())
	}, NodeTimeout(wait))

	// Guards against a node that was paused during changes and keeps or passes on what it had.
	It("catch up after a pause", func(ctx SpecContext) {
		for _, node := range []string{"entry-2", "agent-3"} {
			f.Process(node).Pause()
		}
		for i := range 3 {
			newest = f.submit(ctx, "entry-1", newest, 60+i)
		}
		for _, node := range []string{"entry-2", "agent-3"} {
			f.Process(node).Resume()
		}
		f.expectInForce(ctx, newest, f.nodes(""), catchUp)
	}, NodeTimeout(wait))

	// Guards against a data centre that stops serving when it is cut off, or that is late after the heal.
	DescribeTable("of a data centre that is cut off go on serving and catch up", func(ctx SpecContext, fromStore, fromCentres bool) {
		heal := f.cut("fyn", fromStore, fromCentres)
		defer heal()
		newest = f.submit(ctx, "entry-1", newest, 70+int(newest))
		f.expectInForce(ctx, newest, f.nodes("jylland"), catchUp)
		begin := time.Now()
		for time.Since(begin) < 4*time.Second { // Longer than the silence timeout of links.
			reply, err := f.Call(ctx, testbed.Request{
				Entry: "entry-4", Method: http.MethodPost, Path: testbed.ChatPath, Caller: "small-1", Body: testbed.ChatBody("cut", 5, false),
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Status).To(Equal(http.StatusOK), "%s", reply.Body)
			time.Sleep(100 * time.Millisecond)
		}
		heal()
		f.expectInForce(ctx, newest, f.nodes(""), catchUp)
	},
		Entry("from the store", true, false, NodeTimeout(wait)),
		Entry("from other data centres", false, true, NodeTimeout(wait)),
		Entry("from both", true, true, NodeTimeout(wait)),
	)

	// Guards against a node without a configuration that reports itself as ready.
	It("say that they have no configuration when nobody has one", func(ctx SpecContext) {
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{Refuse: true})).To(Succeed())
		all := f.nodes("")
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
			}).WithTimeout(catchUp).WithPolling(poll).Should(ContainSubstring("no configuration"), node)
		}
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{})).To(Succeed())
		f.expectInForce(ctx, newest, all, catchUp)
	}, NodeTimeout(wait))
})
