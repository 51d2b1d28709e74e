package requests_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/faultproxy"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

const (
	wait = 40 * time.Second
	// enough is the number of answers that cover every entry, upstream and kind of request several times.
	enough = 60
)

func anyTold(testbed.Result) bool { return true }

// kinds returns builders of idempotent requests: streams, whole answers and lookups.
func kinds(prefix string) []func(int) testbed.Request {
	return []func(int) testbed.Request{
		testbed.Chat(prefix, 20, true), testbed.Chat(prefix, 10, false), testbed.StockLookup(prefix),
	}
}

// verify stops the load and compares what callers were told with the journals.
func verify(bed *testbed.Bed, load *testbed.Load) testbed.Audit {
	audit, err := bed.Audit(load.Stop())
	Expect(err).NotTo(HaveOccurred())
	AddReportEntry("outcomes", audit.Outcomes)
	Expect(audit.Violations()).To(BeEmpty(), bed.LogTails)
	return audit
}

// Guards against answers that are incomplete without an error, belong to another request, or follow a false not-run, while
// connections fail in every way (P2, P3).
var _ = Describe("Idempotent requests", Ordered, func() {
	var bed *testbed.Bed
	number := 0

	BeforeAll(func(ctx SpecContext) {
		var err error
		bed, err = testbed.Launch(ctx, testbed.Fleet{
			DataCentres: []testbed.DataCentre{
				{Name: "saskatoon", Region: "west", Entries: 2, Models: 2, Services: 1},
				{Name: "regina", Region: "west", Entries: 1}, // Forwards everything.
			},
			Proxies: true, Config: testbed.ConfigWithTimeout(5 * time.Second),
			Engine: testbed.Engine{TokenTime: 3 * time.Millisecond, MaxBatch: 16},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(bed.Close)
	}, NodeTimeout(wait))

	during := func(ctx context.Context, inject func(load *testbed.Load)) testbed.Audit {
		number++
		load := bed.StartLoad(ctx, testbed.Workload{
			Callers: 16, Pause: 5 * time.Millisecond, Seed: int64(number), RequestBuilders: kinds(fmt.Sprintf("case-%d", number)),
		})
		Expect(load.AwaitAnswers(ctx, enough, anyTold)).To(Succeed())
		inject(load)
		Expect(load.AwaitAnswers(ctx, enough, testbed.SucceededAfter(time.Now()))).To(Succeed(), bed.LogTails)
		return verify(bed, load)
	}
	links := func(apply func(*faultproxy.Proxy)) {
		for _, entry := range []string{"entry-1", "entry-2", "entry-3"} {
			apply(bed.Proxy(testbed.LinkProxyName(entry)))
		}
	}

	It("are answered whole or end in an error while links break and are slow", func(ctx SpecContext) {
		audit := during(ctx, func(load *testbed.Load) {
			links(func(p *faultproxy.Proxy) {
				p.Set("delay", faultproxy.Any, faultproxy.Fault{Delay: 15 * time.Millisecond})
			})
			for range 4 {
				links(func(p *faultproxy.Proxy) { p.Break(faultproxy.Any) })
				Expect(load.AwaitAnswers(ctx, enough, anyTold)).To(Succeed())
			}
			links(func(p *faultproxy.Proxy) { p.Clear("delay") })
		})
		Expect(audit.Outcomes[testbed.OutcomeBroken]).To(BeNumerically(">", 0), "a stream must have been cut")
	}, NodeTimeout(wait))

	It("are served on new links while open ones are silent", func(ctx SpecContext) {
		during(ctx, func(load *testbed.Load) {
			links(func(p *faultproxy.Proxy) { p.Silence(faultproxy.Any) })
			Expect(load.AwaitAnswers(ctx, enough, anyTold)).To(Succeed())
		})
	}, NodeTimeout(wait))

	It("are served on new connections to an upstream while open ones are silent", func(ctx SpecContext) {
		during(ctx, func(load *testbed.Load) {
			for _, name := range []string{testbed.ProxyName("agent-1", "engine-1"), testbed.ProxyName("orders-1", "service-1")} {
				bed.Proxy(name).Silence(faultproxy.Any)
			}
			// A health check takes up to 1 s; the next request must find a working connection.
			begin := time.Now().Add(3 * time.Second)
			Expect(load.AwaitAnswers(ctx, enough, func(t testbed.Result) bool { return t.Begin.After(begin) })).To(Succeed())
			for _, t := range load.All() {
				if t.Begin.After(begin) {
					Expect(t.Outcome).To(Equal(testbed.OutcomeOK), "%+v", t.Request)
				}
			}
		})
	}, NodeTimeout(wait))

	It("outlive kills of agents and engines", func(ctx SpecContext) {
		audit := during(ctx, func(load *testbed.Load) {
			for _, name := range []string{"agent-1", "engine-2"} {
				bed.Process(name).Kill()
				Expect(load.AwaitAnswers(ctx, enough, anyTold)).To(Succeed())
				Expect(bed.Process(name).Start()).To(Succeed())
				Expect(load.AwaitAnswers(ctx, enough, anyTold)).To(Succeed())
			}
			Expect(bed.AwaitReady(ctx, "agent-1")).To(Succeed())
			Eventually(func() string { return loaded(ctx, bed, "agent-2") }).WithContext(ctx).WithTimeout(wait).Should(Equal("serving"))
		})
		retried := 0
		journals, err := bed.Journals()
		Expect(err).NotTo(HaveOccurred())
		for _, entries := range journals {
			for _, e := range entries {
				if e.Attempt != "1" {
					retried++
				}
			}
		}
		Expect(retried).To(BeNumerically(">", 0), "idempotent requests must be retried")
		Expect(audit.Outcomes[testbed.OutcomeOK]).To(BeNumerically(">", enough))
	}, NodeTimeout(wait))

	It("are refused as not-run in an overload only when they did not run", func(ctx SpecContext) {
		load := bed.StartLoad(ctx, testbed.Workload{
			Callers: 1500, Seed: 9, RequestBuilders: []func(int) testbed.Request{testbed.Chat("overload", 20, false)},
		})
		Expect(load.AwaitAnswers(ctx, 5, func(t testbed.Result) bool { return t.Outcome == "not-run" })).To(Succeed())
		verify(bed, load)
	}, NodeTimeout(wait))
})

// loaded returns the state that entry-1 knows of an agent.
func loaded(ctx context.Context, bed *testbed.Bed, agent string) string {
	status, err := bed.Status(ctx, "entry-1")
	Expect(err).NotTo(HaveOccurred())
	for _, n := range status.Nodes {
		if n.ID == agent {
			return strings.ToLower(string(n.State))
		}
	}
	return ""
}
