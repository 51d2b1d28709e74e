package rollout_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/loadgen"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/settings"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

const (
	wait = 20 * time.Second
	// A transfer takes about 1.3 s at transferRate, so that faults can be set while it goes on.
	chunks       = 40
	chunkBytes   = 16 << 10
	transferRate = 512 << 10
	liveRate     = 40.0
	liveTokens   = 8
	liveTimeout  = 10 * time.Second
	// maxLost is the part of the live requests that faults may cost.
	maxLost = 0.05
)

// seeds numbers the versions of all specs.
var seeds atomic.Uint64

// fleet is a bed under live requests.
type fleet struct {
	*testbed.Bed
	// initial is the version at the start of the spec, target the newest that was submitted.
	initial, target fake.VersionInfo
	stop            chan struct{}
	load            sync.WaitGroup
	summary         *loadgen.Summary
}

func launch(ctx context.Context, spec testbed.Fleet) *fleet {
	spec.Proxies = true
	spec.Agent = settings.Agent{PeerBytesPerSecond: transferRate}
	spec.Engine.LoadTime = 300 * time.Millisecond
	bed, err := testbed.Launch(ctx, spec)
	Expect(err).NotTo(HaveOccurred())
	return &fleet{Bed: bed}
}

// startLoad sends live requests to all entries until endLoad.
func (f *fleet) startLoad() {
	f.stop = make(chan struct{})
	var targets []string
	for _, entry := range f.Nodes(message.RoleEntry) {
		targets = append(targets, f.CallerURL(entry.ID))
	}
	prompt := func(n int) string { return fmt.Sprintf("live %d", n) }
	stream := loadgen.Stream{
		Targets: targets, Method: http.MethodPost, Path: testbed.ChatPath, Key: testbed.CallerKey("small-1"), Priority: "urgent",
		Rate: liveRate, Stop: f.stop,
		Body: func(n int) []byte { return testbed.ChatBody(prompt(n), liveTokens, false) },
		Check: func(n int, header http.Header, body []byte) bool {
			text, err := testbed.ChatText(body)
			if err != nil {
				return false
			}
			marks, err := fake.CheckText(text, prompt(n), liveTokens)
			return err == nil && marks[fake.ShortVersion(header.Get("X-Model-Version"))] == liveTokens
		},
	}
	f.load.Go(func() {
		client := loadgen.NewClient(64, liveTimeout)
		defer client.Close()
		f.summary = client.Run(context.Background(), stream, time.Minute, 1)
	})
}

// endLoad stops the live requests. They must have gone on, and each answer must come from one version, namely that of its header.
func (f *fleet) endLoad() {
	close(f.stop)
	f.load.Wait()
	s := f.summary
	AddReportEntry("live", fmt.Sprintf("sent %d ok %d not-run %d failed %d unknown %d broken %d mixed %d, p99 %s",
		s.Sent, s.OK, s.NotRun, s.Failed, s.Unknown, s.Broken, s.Mismatched, s.TotalQuantile(99)))
	Expect(s.Mismatched).To(BeZero(), "answers of mixed versions")
	Expect(float64(s.OK)).To(BeNumerically(">=", float64(s.Sent)*(1-maxLost)), "live requests answered of %d", s.Sent)
}

// expectRanOnly checks the journals: whatever ran since begin ran on one of the versions.
func (f *fleet) expectRanOnly(begin time.Time, versions ...string) {
	journals, err := f.Journals()
	Expect(err).NotTo(HaveOccurred())
	for engine, entries := range journals {
		for _, entry := range entries {
			if entry.Started.After(begin) {
				Expect(versions).To(ContainElement(entry.Version), "%s ran request %s", engine, entry.RequestID)
			}
		}
	}
}

// create makes a version; the first shared chunks are those of the newest target.
func (f *fleet) create(ctx context.Context, shared int) fake.VersionInfo {
	spec := fake.VersionSpec{Model: testbed.ModelName, Seed: 100 + seeds.Add(1), Chunks: chunks, ChunkBytes: chunkBytes}
	if shared > 0 {
		spec.SharedWith, spec.SharedChunks = f.target.Version, shared
	}
	info, err := f.CreateVersion(ctx, spec)
	Expect(err).NotTo(HaveOccurred())
	return info
}

// submit makes a version the target.
func (f *fleet) submit(ctx context.Context, info fake.VersionInfo) {
	f.target = info
	_, err := f.SubmitConfig(ctx, "entry-1", testbed.DefaultConfig(info.Version))
	Expect(err).NotTo(HaveOccurred())
}

// rollOut submits a new version and returns when part of it has arrived at an agent.
func (f *fleet) rollOut(ctx context.Context) fake.VersionInfo {
	info := f.create(ctx, 0)
	f.submit(ctx, info)
	f.awaitMidway(ctx, info)
	return info
}

// awaitMidway waits until the origin has sent a quarter of the version.
func (f *fleet) awaitMidway(ctx context.Context, info fake.VersionInfo) {
	Eventually(func(g Gomega) {
		g.Expect(f.originBytes(ctx, info.Chunks)).To(BeNumerically(">", info.Bytes/4))
	}).WithContext(ctx).WithTimeout(wait).WithPolling(10 * time.Millisecond).Should(Succeed())
}

// originBytes returns the bytes of chunks that the origin has sent.
func (f *fleet) originBytes(ctx context.Context, hashes []string) int64 {
	served, err := f.OriginStats(ctx, testbed.OriginName)
	Expect(err).NotTo(HaveOccurred())
	var sum int64
	for _, hash := range hashes {
		sum += served.Chunks[hash]
	}
	return sum
}

// nodes returns the agents as the entry of their data centre sees them.
func (f *fleet) nodes(ctx context.Context, g Gomega) map[string]admin.NodeStatus {
	out := make(map[string]admin.NodeStatus)
	for _, entry := range f.Nodes(message.RoleEntry) {
		if !f.Process(entry.ID).Running() {
			continue
		}
		status, err := f.Status(ctx, entry.ID)
		g.Expect(err).NotTo(HaveOccurred())
		for _, node := range status.Nodes {
			if node.Role == message.RoleAgent && node.DataCentre == entry.DataCentre {
				out[node.ID] = node
			}
		}
	}
	return out
}

// awaitLive waits until the version serves on all agents but those named.
func (f *fleet) awaitLive(ctx context.Context, version string, except ...string) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		nodes := f.nodes(ctx, g)
		for _, agent := range f.Nodes(message.RoleAgent) {
			if contains(except, agent.ID) {
				continue
			}
			g.Expect(nodes[agent.ID].Version).To(Equal(version), agent.ID)
			g.Expect(nodes[agent.ID].State).To(Equal(message.StateServing), agent.ID)
		}
	}).WithContext(ctx).WithTimeout(wait).WithPolling(20*time.Millisecond).Should(Succeed(), f.LogTails)
}

// awaitReady waits until the version is complete on all agents.
func (f *fleet) awaitReady(ctx context.Context, version string) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		nodes := f.nodes(ctx, g)
		for _, agent := range f.Nodes(message.RoleAgent) {
			g.Expect(nodes[agent.ID].ReadyVersion).To(Equal(version), agent.ID)
		}
	}).WithContext(ctx).WithTimeout(wait).WithPolling(20*time.Millisecond).Should(Succeed(), f.LogTails)
}

func contains(list []string, item string) bool {
	for _, s := range list {
		if s == item {
			return true
		}
	}
	return false
}
