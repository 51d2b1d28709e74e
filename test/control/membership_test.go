package control_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/telemetry"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

// agentState returns the state of an agent as an entry reports it, empty when the entry does not know the agent.
func (f fleet) agentState(ctx SpecContext, entry, agent string) message.State {
	status, err := f.Status(ctx, entry)
	if err != nil {
		return ""
	}
	for _, node := range status.Nodes {
		if node.ID == agent {
			return node.State
		}
	}
	return ""
}

var _ = Describe("Membership", Ordered, func() {
	var f fleet

	BeforeAll(func(ctx SpecContext) {
		f = launch(ctx, testbed.Fleet{Proxies: true, DataCentres: []testbed.DataCentre{
			{Name: "jylland", Region: "west", Entries: 2, Models: 2}, {Name: "fyn", Region: "west", Entries: 1},
		}})
	}, NodeTimeout(specTimeout))

	// expectServed sends a chat request to entry-1 and checks that it succeeds.
	expectServed := func(ctx SpecContext) {
		reply, err := f.Call(ctx, testbed.Request{
			Entry: "entry-1", Method: http.MethodPost, Path: testbed.ChatPath, Caller: "small-1",
			Body: testbed.ChatBody("served", 5, false),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusOK), "%s", reply.Body)
	}

	// Guards against routing requests to an agent that has stopped responding, and against leaving it out after it has recovered.
	It("drops a frozen agent from routing and takes it back", func(ctx SpecContext) {
		f.Process("agent-1").Pause()
		Eventually(func() message.State { return f.agentState(ctx, "entry-1", "agent-1") }).
			WithTimeout(catchUpTimeout).WithPolling(pollInterval).Should(BeEmpty())
		for range 10 {
			expectServed(ctx)
		}
		f.Process("agent-1").Resume()
		Eventually(func() message.State { return f.agentState(ctx, "entry-1", "agent-1") }).
			WithTimeout(catchUpTimeout).WithPolling(pollInterval).Should(Equal(message.StateServing))
	}, NodeTimeout(specTimeout))

	// Guards against a connection that is open but carries no data: it must not keep the agent in routing, nor keep it out once a new
	// connection works.
	It("replaces the silent connections of an agent", func(ctx SpecContext) {
		proxy := f.Proxy(testbed.LinkProxyName("entry-1"))
		old := proxy.Connections(testbed.FromNode("agent-2"))
		Expect(old).To(Equal(1))
		proxy.Silence(testbed.FromNode("agent-2"))
		for range 10 {
			expectServed(ctx)
		}
		Eventually(func() message.State { return f.agentState(ctx, "entry-1", "agent-2") }).
			WithTimeout(2 * catchUpTimeout).WithPolling(pollInterval).Should(Equal(message.StateServing))
	}, NodeTimeout(specTimeout))

	// Guards against a restarted agent that has to wait until the connection of its earlier process has timed out.
	It("prefers the higher incarnation to an old connection", func(ctx SpecContext) {
		before := f.linksOpened("agent-1")
		f.Proxy(testbed.LinkProxyName("entry-1")).Silence(testbed.FromNode("agent-1"))
		f.restart("agent-1")
		// The limit is below the silence timeout of 3 s, after which the old connection is closed in any case.
		Eventually(func() bool { return f.linksOpened("agent-1") > before }).
			WithTimeout(2 * time.Second).WithPolling(pollInterval).Should(BeTrue())
		Eventually(func() message.State { return f.agentState(ctx, "entry-1", "agent-1") }).
			WithTimeout(catchUpTimeout).WithPolling(pollInterval).Should(Equal(message.StateServing))
		expectServed(ctx)
	}, NodeTimeout(specTimeout))
})

// linksOpened returns the number of links to a node that entry-1 has opened according to its log.
func (f fleet) linksOpened(node string) int {
	opened := 0
	for line := range strings.Lines(f.Process("entry-1").Log()) {
		var event struct {
			Message string `json:"msg"`
			Peer    string `json:"peer"`
		}
		if json.Unmarshal([]byte(line), &event) == nil && event.Message == "link opened" && event.Peer == node {
			opened++
		}
	}
	return opened
}

var _ = Describe("Store", func() {
	// Guards against a burst of calls when the store returns: the store rejects calls above its limit for all clients.
	It("receives no more calls than the entries' limit allows when it returns", func(ctx SpecContext) {
		const callsPerSecond, entries = 5, 6
		f := launch(ctx, testbed.Fleet{StoreCallsPerSecond: callsPerSecond, DataCentres: []testbed.DataCentre{
			{Name: "jylland", Region: "west", Entries: 2}, {Name: "sjaelland", Region: "west", Entries: 2},
			{Name: "fyn", Region: "west", Entries: 2},
		}})
		// The metric also counts the calls that the store refuses.
		totalCalls := func() float64 {
			total := 0.0
			for _, n := range f.Nodes(message.RoleEntry) {
				metrics, err := f.Metrics(ctx, n.ID)
				Expect(err).NotTo(HaveOccurred())
				total += metrics[telemetry.MetricStoreCalls]
			}
			return total
		}
		// The store is down for outage seconds and then up for after seconds. totalCalls is sampled perSecond times per second.
		const sample, perSecond, outage, after = 200 * time.Millisecond, 5, 4, 3
		counts, highest := []float64{totalCalls()}, 0.0
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{Refuse: true})).To(Succeed())
		for i := range (outage + after) * perSecond {
			if i == outage*perSecond { // By now the backoff delays have reached their maximum.
				Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{})).To(Succeed())
			}
			time.Sleep(sample)
			counts = append(counts, totalCalls())
			highest = max(highest, counts[len(counts)-1]-counts[max(0, len(counts)-1-perSecond)])
		}
		stats, err := f.StoreStats(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(stats.Limited).To(BeZero())
		AddReportEntry("calls in the busiest second", highest)
		// Each client may accumulate the calls of half a second as a burst.
		Expect(highest).To(BeNumerically("<=", entries*callsPerSecond*1.5))
		Expect(f.submit(ctx, "entry-1", 1, 1)).To(Equal(uint64(2)))
		f.expectInForce(ctx, 2, f.nodeIDs(""), catchUpTimeout)
	}, NodeTimeout(2*specTimeout))
})

var _ = Describe("Rollout lease", func() {
	// Guards against swap permits from a lease holder whose lease has expired while its process was paused.
	It("is not used to grant swap permits by a holder that was paused while it expired", func(ctx SpecContext) {
		f := launch(ctx, testbed.Fleet{DataCentres: []testbed.DataCentre{{Name: "jylland", Region: "west", Entries: 2, Models: 2}}})
		client := store.NewClient(f.UpstreamURL(testbed.StoreName), 100, logr.Discard()) // At most 100 calls per second.
		defer client.Close()
		// holder returns the ID and the epoch of the holder of the lease, zero values when they cannot be read.
		holder := func() (string, int64) {
			kv, err := client.Get(ctx, "/pimentohead/rollout/jylland")
			var claim struct {
				Holder string `json:"holder"`
			}
			if err != nil || json.Unmarshal(kv.Value, &claim) != nil {
				return "", 0
			}
			return claim.Holder, kv.ModRevision
		}
		var first string
		var epoch int64
		Eventually(func() string { first, epoch = holder(); return first }).
			WithTimeout(catchUpTimeout * 2).WithPolling(pollInterval).ShouldNot(BeEmpty())
		other := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}[first]
		f.Process(first).Pause()
		// The lease of 10 s expires and the other entry acquires it. It grants no permit before those of the first holder have expired.
		Eventually(func() string { id, _ := holder(); return id }).WithTimeout(specTimeout).WithPolling(pollInterval).Should(Equal(other))
		_, next := holder()
		Expect(next).To(BeNumerically(">", epoch))
		info, err := f.CreateVersion(ctx, fake.VersionSpec{Model: testbed.ModelName, Seed: 2, Chunks: 4, ChunkBytes: 64 << 10})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.SubmitConfigOnBase(ctx, other, 1, testbed.DefaultConfig(info.Version))
		Expect(err).NotTo(HaveOccurred())
		readyAgents := func() int {
			status, err := f.Status(ctx, other)
			Expect(err).NotTo(HaveOccurred())
			n := 0
			for _, node := range status.Nodes {
				if node.ReadyVersion == info.Version {
					n++
				}
			}
			return n
		}
		Eventually(readyAgents).WithTimeout(catchUpTimeout).WithPolling(pollInterval).Should(Equal(2))
		// While the store is down, the first holder cannot detect that it has lost its lease.
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{Refuse: true})).To(Succeed())
		f.Process(first).Resume()
		f.expectInForce(ctx, 2, f.nodeIDs(""), catchUpTimeout)
		// The first holder now knows two ready agents and a new target version. Its controller runs every 500 ms.
		Consistently(func() int {
			status, err := f.Status(ctx, other)
			Expect(err).NotTo(HaveOccurred())
			n := 0
			for _, node := range status.Nodes {
				if node.Role == message.RoleAgent && (node.State != message.StateServing || node.Version == info.Version) {
					n++
				}
			}
			return n
		}).WithTimeout(3 * time.Second).WithPolling(pollInterval).Should(BeZero())
	}, NodeTimeout(2*specTimeout))
})
