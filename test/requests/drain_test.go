package requests_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

const (
	// maxNewWork is the time until a leaving upstream receives no new work (P5).
	maxNewWork  = 2 * time.Second
	stopTimeout = 20 * time.Second
)

// Guards against new work on leaving upstreams and against requests that a planned stop cuts off (P5, P6).
var _ = Describe("A planned stop", Ordered, func() {
	var bed *testbed.Bed

	BeforeAll(func(ctx SpecContext) {
		var err error
		bed, err = testbed.Launch(ctx, testbed.Fleet{
			DataCentres: []testbed.DataCentre{{Name: "saskatoon", Region: "west", Entries: 2, Models: 2, Services: 2}},
			Engine:      testbed.Engine{TokenTime: 3 * time.Millisecond, MaxBatch: 32}, ShutdownTimeout: 15 * time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(bed.Close)
	}, NodeTimeout(wait))

	start := func(ctx context.Context, prefix string) *testbed.Load {
		load := bed.StartLoad(ctx, testbed.Workload{
			Callers: 16, Pause: 2 * time.Millisecond, ReadyEntriesOnly: true, Seed: 1,
			RequestBuilders: append(kinds(prefix), testbed.Chat(prefix+"-long", 250, true), testbed.PlainOrder(prefix), testbed.KeyedOrder(prefix)),
		})
		Expect(load.AwaitAnswers(ctx, enough, anyTold)).To(Succeed())
		return load
	}
	expectNoneCut := func(load *testbed.Load) {
		audit := verify(bed, load)
		Expect(audit.Outcomes).To(HaveLen(1), "%v\n%s", audit.Outcomes, bed.LogTails())
		Expect(audit.Outcomes).To(HaveKey(testbed.OutcomeOK))
	}
	// lastStart returns when the last request on an upstream began.
	lastStart := func(upstream string) time.Time {
		journal, err := bed.Journal(upstream)
		Expect(err).NotTo(HaveOccurred())
		var last time.Time
		for _, e := range journal {
			if e.Started.After(last) {
				last = e.Started
			}
		}
		return last
	}

	It("of all agents and entries in turn cuts off no request", func(ctx SpecContext) {
		load := start(ctx, "turn")
		for _, role := range []message.Role{message.RoleAgent, message.RoleEntry} {
			for _, n := range bed.Nodes(role) {
				begin := time.Now()
				Expect(bed.Process(n.ID).Stop(stopTimeout)).To(Succeed(), bed.LogTails)
				if n.Upstream != "" {
					Expect(lastStart(n.Upstream)).To(BeTemporally("<", begin.Add(maxNewWork)), n.Upstream)
				}
				Expect(bed.Process(n.ID).Start()).To(Succeed())
				Expect(bed.AwaitReady(ctx, n.ID)).To(Succeed())
				// Every entry must know the agent again before the next one stops.
				Eventually(func(g Gomega) {
					for _, e := range bed.Nodes(message.RoleEntry) {
						g.Expect(serving(ctx, bed, e.ID)).To(Equal(len(bed.Nodes(message.RoleAgent))), e.ID)
					}
				}).WithContext(ctx).WithTimeout(wait).Should(Succeed())
				Expect(load.AwaitAnswers(ctx, enough, testbed.SucceededAfter(time.Now()))).To(Succeed())
			}
		}
		expectNoneCut(load)
	}, NodeTimeout(2*wait))

	It("of an upstream by configuration or instance list lets no new work reach it after 2 s", func(ctx SpecContext) {
		load := start(ctx, "leave")
		base := testbed.DefaultConfig(bed.Version)
		leave := func(agent string, leave func()) {
			begin := time.Now()
			leave()
			// Work that arrives later than the bound shows only when the load goes on for longer.
			Expect(load.AwaitAnswers(ctx, enough, testbed.SucceededAfter(begin.Add(maxNewWork)))).To(Succeed())
			Expect(lastStart(bed.Node(agent).Upstream)).To(BeTemporally("<", begin.Add(maxNewWork)))
		}
		leave("agent-1", func() {
			_, err := bed.SubmitConfig(ctx, "entry-1", strings.Replace(base, "[[model]]", "[[drain]]\nagent = \"agent-1\"\n[[model]]", 1))
			Expect(err).NotTo(HaveOccurred())
		})
		leave("orders-2", func() { Expect(bed.SetInstances(ctx, map[string]bool{"orders-2": true})).To(Succeed()) })
		expectNoneCut(load)
	}, NodeTimeout(wait))
})

// serving counts the agents that an entry knows as serving.
func serving(ctx context.Context, bed *testbed.Bed, entry string) int {
	status, err := bed.Status(ctx, entry)
	if err != nil {
		return 0
	}
	n := 0
	for _, node := range status.Nodes {
		if node.Role == message.RoleAgent && node.State == message.StateServing {
			n++
		}
	}
	return n
}
