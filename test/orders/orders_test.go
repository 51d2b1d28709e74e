package orders_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/faultproxy"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

const (
	wait = 40 * time.Second
	// enough is the number of answers that cover every entry, upstream and kind of request several times.
	enough = 60
)

// Guards against orders that run twice, false not-run outcomes, and answers to other orders (P2, P3, P4).
var _ = Describe("Orders", Ordered, func() {
	var bed *testbed.Bed
	number := 0

	BeforeAll(func(ctx SpecContext) {
		var err error
		bed, err = testbed.Launch(ctx, testbed.Fleet{
			DataCentres: []testbed.DataCentre{
				{Name: "saskatoon", Region: "west", Entries: 2, Services: 2},
				{Name: "regina", Region: "west", Entries: 1, Services: 2},
				{Name: "winnipeg", Region: "east", Entries: 1}, // Forwards everything.
			},
			Proxies: true, Config: testbed.ConfigWithTimeout(5 * time.Second), ServiceDuration: 10 * time.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(bed.Close)
	}, NodeTimeout(wait))

	fault := func(ctx context.Context, name string, f fake.Fault) {
		Expect(bed.SetFault(ctx, name, f)).To(Succeed())
	}
	// answers waits for answers of any outcome.
	answers := func(ctx context.Context, load *testbed.Load, n int) {
		Expect(load.AwaitAnswers(ctx, n, func(testbed.Result) bool { return true })).To(Succeed())
	}
	restart := func(ctx context.Context, name string) {
		Expect(bed.Process(name).Start()).To(Succeed())
		if bed.Node(name) != nil {
			Expect(bed.AwaitReady(ctx, name)).To(Succeed())
		}
	}

	// during runs orders with and without key, repeats and lookups while inject makes a fault and removes it.
	during := func(ctx context.Context, inject func(load *testbed.Load)) testbed.Audit {
		number++
		prefix := fmt.Sprintf("case-%d", number)
		load := bed.StartLoad(ctx, testbed.Workload{
			Callers: 32, Pause: 5 * time.Millisecond, RepeatOneIn: 6, Seed: int64(number),
			RequestBuilders: []func(int) testbed.Request{
				testbed.KeyedOrder(prefix), testbed.PlainOrder(prefix), testbed.KeyedOrder(prefix), testbed.StockLookup(prefix),
			},
		})
		answers(ctx, load, enough)
		inject(load)
		// The faults are gone: the fleet must serve again.
		Expect(load.AwaitAnswers(ctx, enough, testbed.SucceededAfter(time.Now()))).To(Succeed(), bed.LogTails)
		told := load.Stop()
		bed.RepeatOrders(ctx, told)
		audit, err := bed.Audit(told)
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("outcomes", audit.Outcomes)
		Expect(audit.Violations()).To(BeEmpty(), bed.LogTails)
		return audit
	}

	It("survive kills of agents", func(ctx SpecContext) {
		during(ctx, func(load *testbed.Load) {
			for _, agent := range []string{"orders-1", "orders-3"} {
				bed.Process(agent).Kill()
				answers(ctx, load, enough)
				restart(ctx, agent)
			}
		})
	}, NodeTimeout(wait))

	It("survive kills of entries", func(ctx SpecContext) {
		during(ctx, func(load *testbed.Load) {
			for _, entry := range []string{"entry-2", "entry-3", "entry-4"} {
				bed.Process(entry).Kill()
				answers(ctx, load, enough)
				restart(ctx, entry)
			}
		})
	}, NodeTimeout(wait))

	It("survive kills of upstreams", func(ctx SpecContext) {
		during(ctx, func(load *testbed.Load) {
			for _, upstream := range []string{"service-1", "service-4"} {
				bed.Process(upstream).Kill()
				answers(ctx, load, enough)
				restart(ctx, upstream)
			}
		})
	}, NodeTimeout(wait))

	It("survive lost answers of the store", func(ctx SpecContext) {
		audit := during(ctx, func(load *testbed.Load) {
			fault(ctx, testbed.StoreName, fake.Fault{LoseAnswers: 40})
			answers(ctx, load, 3*enough)
			fault(ctx, testbed.StoreName, fake.Fault{})
		})
		Expect(audit.Outcomes[testbed.OutcomeOK]).To(BeNumerically(">", enough))
	}, NodeTimeout(wait))

	DescribeTable("survive a store that", func(ctx SpecContext, f fake.Fault) {
		during(ctx, func(load *testbed.Load) {
			fault(ctx, testbed.StoreName, f)
			begin := time.Now()
			// Orders without a key and lookups need no store.
			for _, path := range []string{testbed.OrderPath, testbed.StockPath} {
				Expect(load.AwaitAnswers(ctx, 20, func(t testbed.Result) bool {
					return testbed.SucceededAfter(begin)(t) && t.Request.OrderKey == "" && len(t.Request.Path) >= len(path) &&
						t.Request.Path[:len(path)] == path
				})).To(Succeed())
			}
			Expect(load.AwaitAnswers(ctx, 5, func(t testbed.Result) bool {
				return t.Begin.After(begin) && t.Request.OrderKey != "" && t.Outcome == "not-run"
			})).To(Succeed())
			fault(ctx, testbed.StoreName, fake.Fault{})
		})
	},
		Entry("refuses calls", NodeTimeout(wait), fake.Fault{Down: true}),
		Entry("breaks connections", NodeTimeout(wait), fake.Fault{Refuse: true}),
		Entry("takes longer than a call may take", NodeTimeout(wait), fake.Fault{DelayMillis: 1500}),
	)

	It("survive store calls that take effect after their caller has given up", func(ctx SpecContext) {
		during(ctx, func(load *testbed.Load) {
			for _, agent := range []string{"orders-1", "orders-2", "orders-3", "orders-4"} {
				bed.Proxy(testbed.ProxyName(agent, testbed.StoreName)).Set("hold", faultproxy.Any, faultproxy.Fault{Hold: true})
			}
			begin := time.Now()
			Expect(load.AwaitAnswers(ctx, 5, func(t testbed.Result) bool {
				return t.Begin.After(begin) && t.Request.OrderKey != "" && t.Outcome == "not-run"
			})).To(Succeed())
			for _, agent := range []string{"orders-1", "orders-2", "orders-3", "orders-4"} {
				bed.Proxy(testbed.ProxyName(agent, testbed.StoreName)).Clear("hold")
			}
		})
	}, NodeTimeout(wait))

	It("survive paused agents that wake with old submits in their sockets", func(ctx SpecContext) {
		during(ctx, func(load *testbed.Load) {
			for _, agent := range []string{"orders-2", "orders-4"} {
				bed.Process(agent).Pause()
				begin := time.Now()
				// The links to the paused agent are given up and its requests end.
				Expect(load.AwaitAnswers(ctx, 1, func(t testbed.Result) bool {
					return t.Begin.After(begin.Add(-time.Second)) && t.Outcome == "unknown"
				})).To(Succeed())
				answers(ctx, load, enough)
				bed.Process(agent).Resume()
				answers(ctx, load, enough)
			}
		})
	}, NodeTimeout(wait))

	It("survive a data centre that is cut off", func(ctx SpecContext) {
		during(ctx, func(load *testbed.Load) {
			bed.PartitionDataCentre("regina")
			begin := time.Now()
			Expect(load.AwaitAnswers(ctx, 20, func(t testbed.Result) bool {
				return testbed.SucceededAfter(begin)(t) && t.Request.Entry == "entry-3"
			})).To(Succeed(), "the data centre serves from its own upstreams")
			answers(ctx, load, 2*enough)
			bed.HealDataCentre("regina")
		})
	}, NodeTimeout(wait))

	It("survive silent, broken and slow connections", func(ctx SpecContext) {
		during(ctx, func(load *testbed.Load) {
			for _, entry := range []string{"entry-1", "entry-3"} {
				proxy := bed.Proxy(testbed.LinkProxyName(entry))
				proxy.Set("delay", faultproxy.Any, faultproxy.Fault{Delay: 20 * time.Millisecond})
				proxy.Silence(faultproxy.Any)
				answers(ctx, load, enough)
				proxy.Break(faultproxy.Any)
				answers(ctx, load, enough)
				proxy.Clear("delay")
			}
			bed.Proxy(testbed.ProxyName("orders-1", "service-1")).Break(faultproxy.Any)
			bed.Proxy(testbed.ProxyName("orders-3", "service-3")).Silence(faultproxy.Any)
			answers(ctx, load, enough)
		})
	}, NodeTimeout(wait))
})
