package rollout_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/faultproxy"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

// threeCentres has 3 data centres in 2 regions; dc-1 has the platform and the canary.
var threeCentres = testbed.Fleet{DataCentres: []testbed.DataCentre{
	{Name: "dc-1", Region: "east", Entries: 1, Models: 2},
	{Name: "dc-2", Region: "east", Entries: 1, Models: 2},
	{Name: "dc-3", Region: "west", Entries: 1, Models: 2},
}}

var _ = Describe("A rollout over three data centres and two regions", Ordered, ContinueOnFailure, func() {
	var f *fleet
	var begin time.Time

	BeforeAll(func(ctx SpecContext) {
		f = launch(ctx, threeCentres)
		DeferCleanup(func() { f.Close() })
		f.initial.Version = f.Version
	}, NodeTimeout(wait*2))

	BeforeEach(func() {
		begin = time.Now()
		f.startLoad()
	})

	AfterEach(func(ctx SpecContext) {
		f.endLoad()
		if CurrentSpecReport().Failed() {
			AddReportEntry("logs", f.LogTails())
		}
		f.initial = f.target
	})

	// done waits for the end of the rollout and checks what ran meanwhile.
	done := func(ctx context.Context, info fake.VersionInfo, except ...string) {
		GinkgoHelper()
		f.awaitLive(ctx, info.Version, except...)
		f.expectRanOnly(begin, f.initial.Version, info.Version)
	}

	// Guards against a second read from the origin in a region when nothing fails.
	It("reads one copy for each region from the origin", func(ctx SpecContext) {
		info := f.rollOut(ctx)
		done(ctx, info)
		Expect(f.originBytes(ctx, info.Chunks)).To(Equal(2 * info.Bytes))
	}, NodeTimeout(wait))

	// Guards against waiters that never replace a reader that died with half a chunk.
	It("goes on when readers are killed with chunks half read", func(ctx SpecContext) {
		Expect(f.SetFault(ctx, testbed.OriginName, fake.Fault{Stall: true})).To(Succeed())
		info := f.create(ctx, 0)
		f.submit(ctx, info)
		Eventually(func() int64 { return f.originBytes(ctx, info.Chunks) }).WithContext(ctx).WithTimeout(wait).
			Should(BeNumerically(">", 0))
		f.Process("agent-2").Kill()
		Expect(f.SetFault(ctx, testbed.OriginName, fake.Fault{})).To(Succeed())
		f.awaitLive(ctx, info.Version, "agent-2")
		Expect(f.Process("agent-2").Start()).To(Succeed())
		done(ctx, info)
	}, NodeTimeout(wait))

	// Guards against agents that wait without limit for a peer whose link is open but carries nothing.
	It("goes on while the links to one agent carry nothing", func(ctx SpecContext) {
		info := f.rollOut(ctx)
		f.Proxy(testbed.LinkProxyName("agent-3")).Set("stall", faultproxy.Any, faultproxy.Fault{Hold: true})
		done(ctx, info)
		f.Proxy(testbed.LinkProxyName("agent-3")).Clear("stall")
	}, NodeTimeout(wait))

	// Guards against the use of a connection that stays silent although new ones to the same peer work.
	It("replaces connections that have gone silent", func(ctx SpecContext) {
		info := f.rollOut(ctx)
		for _, agent := range f.Nodes(message.RoleAgent) {
			f.Proxy(testbed.LinkProxyName(agent.ID)).Silence(faultproxy.Any)
		}
		done(ctx, info)
	}, NodeTimeout(wait))

	// Guards against the use or the forwarding of bytes that do not match their hash.
	It("reads corrupted chunks again", func(ctx SpecContext) {
		Expect(f.SetFault(ctx, testbed.OriginName, fake.Fault{CorruptOneIn: 3})).To(Succeed())
		info := f.rollOut(ctx)
		done(ctx, info)
		Expect(f.SetFault(ctx, testbed.OriginName, fake.Fault{})).To(Succeed())
		Expect(f.originBytes(ctx, info.Chunks)).To(BeNumerically(">", 2*info.Bytes), "no chunk was corrupted")
	}, NodeTimeout(wait))

	// Guards against a rollout that waits for the origin while the weight store has the version.
	It("reads the weight store while the origin is down", func(ctx SpecContext) {
		info := f.rollOut(ctx)
		Expect(f.SetFault(ctx, testbed.OriginName, fake.Fault{Refuse: true})).To(Succeed())
		done(ctx, info)
		Expect(f.SetFault(ctx, testbed.OriginName, fake.Fault{})).To(Succeed())
		served, err := f.OriginStats(ctx, testbed.WeightStoreName)
		Expect(err).NotTo(HaveOccurred())
		Expect(served.Bytes).To(BeNumerically(">", 0))
		Expect(served.Bytes).To(BeNumerically("<=", 2*info.Bytes), "stampede on the weight store")
	}, NodeTimeout(wait))

	// Guards against transfers or live requests that depend on the store, and against a rollout that does not go on after it.
	It("transfers while the store is down and swaps when it is back", func(ctx SpecContext) {
		info := f.rollOut(ctx)
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{Refuse: true})).To(Succeed())
		f.awaitReady(ctx, info.Version)
		Expect(f.SetFault(ctx, testbed.StoreName, fake.Fault{})).To(Succeed())
		done(ctx, info)
	}, NodeTimeout(wait))

	// Guards against a transfer of an abandoned version that goes on, and against reading shared chunks again.
	It("abandons the old target and keeps the chunks that the new one shares", func(ctx SpecContext) {
		old := f.rollOut(ctx)
		info := f.create(ctx, chunks/2)
		f.submit(ctx, info)
		done(ctx, info)
		Expect(f.originBytes(ctx, old.Chunks[chunks/2:])).To(BeNumerically("<", 2*old.Bytes/2), "the old transfer went on")
		Expect(f.originBytes(ctx, info.Chunks[:chunks/2])).To(BeNumerically("<", 2*info.Bytes/2+2*8*chunkBytes), "shared chunks were read again")
	}, NodeTimeout(wait))

	// Guards against a data centre that does not catch up, and against others that wait for it.
	It("leaves out a data centre that is cut off, which catches up afterwards", func(ctx SpecContext) {
		info := f.rollOut(ctx)
		f.PartitionDataCentre("dc-3")
		f.awaitLive(ctx, info.Version, "agent-5", "agent-6")
		f.HealDataCentre("dc-3")
		done(ctx, info)
	}, NodeTimeout(wait))
})
