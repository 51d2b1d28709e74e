package rollout_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

const (
	// lateStreamTokens lasts longer than a load of the engine.
	lateStreamTokens = 200
	// takeover is the lease (10 s), the permits of the killed holder (15 s + 2 s) and the election interval (3 s).
	takeover = 45 * time.Second
)

// killedController is the result of the spec that is started first and awaited last, because it takes half a minute.
var killedController = make(chan any, 1)

var _ = BeforeSuite(func() {
	go func() {
		defer func() { killedController <- recover() }()
		killController()
	}()
})

// killController panics with the failure, which is handed to the spec that awaits it. It kills the holder of a rollout after the first swap; the other entry has to finish it.
func killController() {
	g := NewGomega(func(message string, _ ...int) { panic(message) })
	ctx, cancel := context.WithTimeout(context.Background(), 2*takeover)
	defer cancel()
	bed, err := testbed.Launch(ctx, testbed.Fleet{
		DataCentres: []testbed.DataCentre{{Name: "dc-1", Region: "east", Entries: 2, Models: 3}},
		Engine:      testbed.Engine{LoadTime: time.Second},
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer bed.Close()
	info, err := bed.CreateVersion(ctx, fake.VersionSpec{Model: testbed.ModelName, Seed: 99, Chunks: 4, ChunkBytes: chunkBytes})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = bed.SubmitConfig(ctx, "entry-1", testbed.DefaultConfig(info.Version))
	g.Expect(err).NotTo(HaveOccurred())
	rollout := func(entry string) admin.Rollout {
		status, err := bed.Status(ctx, entry)
		if err != nil || len(status.Rollouts) == 0 {
			return admin.Rollout{}
		}
		return status.Rollouts[0]
	}
	holder := ""
	g.Eventually(func() int {
		r := rollout("entry-1")
		if holder = r.Holder; holder == "" {
			return 0 // An entry that is not the holder learns its name at the next step of its own controller.
		}
		return r.Loaded
	}).WithTimeout(wait).Should(BeNumerically(">", 0))
	other := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}[holder]
	epoch := rollout(holder).Epoch
	bed.Process(holder).Kill()
	g.Eventually(func() int { return rollout(other).Loaded }).WithTimeout(takeover).Should(Equal(3), bed.LogTails)
	g.Expect(rollout(other).Epoch).To(BeNumerically(">", epoch))
}

var _ = Describe("The swap of a version", Ordered, ContinueOnFailure, func() {
	var f *fleet
	var begin time.Time

	BeforeAll(func(ctx SpecContext) {
		f = launch(ctx, threeCentres)
		DeferCleanup(func() { f.Close() })
		f.initial.Version = f.Version
		f.target = f.initial
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

	// Guards against an agent that admits requests after its restart although a load of its earlier process is pending.
	It("admits nothing while a load ordered before the agent's restart is pending", func(ctx SpecContext) {
		info := f.create(ctx, 0)
		Expect(f.SetFault(ctx, "engine-1", fake.Fault{HoldLoad: true})).To(Succeed())
		f.submit(ctx, info)
		Eventually(func(g Gomega) {
			status, err := f.EngineStatus(ctx, "engine-1")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status.PendingVersion).To(Equal(info.Version))
		}).WithContext(ctx).WithTimeout(wait).WithPolling(5 * time.Millisecond).Should(Succeed())
		f.Process("agent-1").Kill()
		Expect(f.Process("agent-1").Start()).To(Succeed())
		Eventually(func(g Gomega) {
			node := f.nodes(ctx, g)["agent-1"]
			g.Expect(node.State).To(Equal(message.StateStarting))
			g.Expect(node.Revision).NotTo(BeZero())
		}).WithContext(ctx).WithTimeout(wait).WithPolling(10 * time.Millisecond).Should(Succeed())
		// Two status reads 50 ms apart would settle an engine without a pending load.
		Consistently(func(g Gomega) {
			g.Expect(f.nodes(ctx, g)["agent-1"].State).NotTo(Equal(message.StateServing))
		}).WithContext(ctx).WithTimeout(time.Second).Should(Succeed())
		Expect(f.SetFault(ctx, "engine-1", fake.Fault{})).To(Succeed())
		f.awaitLive(ctx, info.Version)
		f.expectRanOnly(begin, f.initial.Version, info.Version)
	}, NodeTimeout(wait))

	// Guards against an answer of mixed versions when an engine that ignores fencing numbers receives a late load order, whether
	// the load succeeds or fails.
	It("completes no answer that was running when a late load order arrived", func(ctx SpecContext) {
		old, info := f.target, f.create(ctx, 0)
		f.submit(ctx, info)
		f.awaitLive(ctx, info.Version)
		for i, version := range []string{old.Version, strings.Repeat("0", len(old.Version))} {
			body := testbed.ChatBody(fmt.Sprintf("late order %d", i), lateStreamTokens, true)
			answers := f.callAsync(ctx, body)
			engine := ""
			Eventually(func() string {
				engine = f.longRun(body)
				return engine
			}).WithContext(ctx).WithTimeout(wait).WithPolling(5 * time.Millisecond).ShouldNot(BeEmpty())
			source := "http://" + f.Node(strings.Replace(engine, "engine", "agent", 1)).WeightsAddress
			Expect(f.SendLoadOrder(ctx, engine, fake.LoadOrder{Version: version, Source: source})).To(Succeed())
			reply := <-answers
			Expect(strings.TrimSpace(string(reply.Body))).NotTo(HaveSuffix("data: [DONE]"), "a load was pending during this answer")
			f.awaitLive(ctx, info.Version)
		}
	}, NodeTimeout(wait))

	// Guards against a version that goes on to further replicas after the canary failed to load it.
	It("stops at the canary when a version fails to load, and goes back", func(ctx SpecContext) {
		good, bad := f.target, f.create(ctx, 0)
		f.failLoads(ctx, bad.Version, "engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6")
		f.submit(ctx, bad)
		f.awaitStopped(ctx, "entry-1", "dc-1")
		f.awaitReady(ctx, bad.Version)
		// A permit would follow at the next step of the controller, at most 500 ms later.
		Consistently(func() []string { return f.failedLoads(ctx, bad.Version) }).WithContext(ctx).
			WithTimeout(time.Second).Should(HaveLen(1))
		f.submit(ctx, good)
		f.awaitLive(ctx, good.Version)
		f.expectRanOnly(begin, good.Version)
	}, NodeTimeout(wait))

	// Guards against a version that goes on in other data centres after a replica behind the canary failed to load it.
	It("stops in every data centre when a load fails after the canary", func(ctx SpecContext) {
		good, bad := f.target, f.create(ctx, 0)
		f.failLoads(ctx, bad.Version, "engine-3", "engine-4")
		f.Process("agent-6").Kill() // It comes back when the load has failed, so that it is last.
		f.submit(ctx, bad)
		f.awaitStopped(ctx, "entry-3", "dc-3")
		Expect(f.state(ctx, "entry-3", "dc-3").Message).To(MatchRegexp("^agent-[34]: "))
		Expect(f.Process("agent-6").Start()).To(Succeed())
		f.awaitReady(ctx, bad.Version)
		// A permit would follow at the next step of the controller, at most 500 ms later.
		Consistently(func(g Gomega) {
			status, err := f.EngineStatus(ctx, "engine-6")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect([]string{status.LoadedVersion, status.PendingVersion}).To(Equal([]string{good.Version, ""}))
		}).WithContext(ctx).WithTimeout(time.Second).Should(Succeed())
		f.submit(ctx, good)
		f.awaitLive(ctx, good.Version)
		f.expectRanOnly(begin, good.Version, bad.Version)
	}, NodeTimeout(wait))

	// Guards against a rollout that ends with the controller that began it.
	It("goes on under another controller after the first was killed", func(ctx SpecContext) {
		var failure any
		Eventually(killedController).WithContext(ctx).WithTimeout(2 * takeover).Should(Receive(&failure))
		Expect(failure).To(BeNil())
	}, NodeTimeout(2*takeover))
})

// failLoads makes loads of a version fail on some engines.
func (f *fleet) failLoads(ctx context.Context, version string, engines ...string) {
	for _, engine := range engines {
		Expect(f.SetFault(ctx, engine, fake.Fault{FailVersion: version})).To(Succeed())
	}
}

// failedLoads returns the engines that failed to load the version.
func (f *fleet) failedLoads(ctx context.Context, version string) []string {
	var out []string
	for _, agent := range f.Nodes(message.RoleAgent) {
		status, err := f.EngineStatus(ctx, agent.Upstream)
		Expect(err).NotTo(HaveOccurred())
		if status.FailedVersion == version {
			out = append(out, agent.Upstream)
		}
	}
	return out
}

// callAsync sends a streamed chat request; what arrived of its answer is received from the channel.
func (f *fleet) callAsync(ctx context.Context, body []byte) <-chan testbed.Reply {
	answers := make(chan testbed.Reply, 1)
	go func() {
		reply, _ := f.Call(ctx, testbed.Request{
			Entry: "entry-1", Method: http.MethodPost, Path: testbed.ChatPath, Caller: "small-2", Body: body,
		})
		answers <- reply
	}()
	return answers
}

// longRun returns the engine on which the request with the body runs, "" for none.
func (f *fleet) longRun(body []byte) string {
	sum := sha256.Sum256(body)
	journals, err := f.Journals()
	Expect(err).NotTo(HaveOccurred())
	for engine, entries := range journals {
		for _, entry := range entries {
			if entry.BodyHash == hex.EncodeToString(sum[:]) && entry.Finished == nil {
				return engine
			}
		}
	}
	return ""
}

// state returns the rollout of a data centre as an entry reports it.
func (f *fleet) state(ctx context.Context, entry, dataCentre string) admin.Rollout {
	status, err := f.Status(ctx, entry)
	Expect(err).NotTo(HaveOccurred())
	for _, r := range status.Rollouts {
		if r.DataCentre == dataCentre && r.Version == f.target.Version {
			return r
		}
	}
	return admin.Rollout{}
}

func (f *fleet) awaitStopped(ctx context.Context, entry, dataCentre string) {
	GinkgoHelper()
	Eventually(func() admin.RolloutState { return f.state(ctx, entry, dataCentre).State }).
		WithContext(ctx).WithTimeout(wait).Should(Equal(admin.RolloutStopped), f.LogTails)
}
