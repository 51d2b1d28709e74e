package weights_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/origin"
	"github.com/pimentohead/pimentohead/internal/weights"
)

const chunkBytes = 32 << 10

// Guards against more than one origin read per chunk and region, in every chunk order.
func TestEachChunkIsReadFromTheOriginOnce(t *testing.T) {
	for _, order := range []string{weights.OrderRendezvous, weights.OrderRarest, weights.OrderInOrder} {
		t.Run(order, func(t *testing.T) {
			f := newFleet(t, 3, 4, func(_ string, cfg *weights.Config) { cfg.ChunkOrder = order })
			version := f.origin.addVersion(chunkBytes, seedRange(0, 48)...)
			f.setTarget(version)
			f.expectReady(version)
			NewWithT(t).Expect(f.origin.totalReads()).To(Equal(48))
		})
	}
}

// Guards against the baseline sharing chunks between agents, which would make the comparison meaningless.
func TestBaselineReadsEverythingFromTheOrigin(t *testing.T) {
	f := newFleet(t, 1, 3, func(_ string, cfg *weights.Config) { cfg.Baseline = true })
	version := f.origin.addVersion(chunkBytes, seedRange(0, 8)...)
	f.setTarget(version)
	f.expectReady(version)
	NewWithT(t).Expect(f.origin.totalReads()).To(Equal(24))
}

// Guards against a rollout that hangs, or stampedes to the origin, when an agent dies while others wait for it.
func TestReaderStopsDuringTransfer(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 2, 4, nil)
	version := f.origin.addVersion(chunkBytes, seedRange(0, 64)...)
	reads := make(chan struct{}, 1000)
	release := make(chan struct{})
	f.origin.setBeforeRead(func(ctx context.Context, _ string) error {
		reads <- struct{}{}
		select {
		case <-release:
		case <-ctx.Done():
			return ctx.Err()
		}
		return nil
	})
	f.setTarget(version)
	g.Eventually(reads, eventTimeout).Should(Receive())
	f.agents[0].stop()
	f.publishPeers(f.agents[0])
	close(release)
	f.expectReady(version, f.agents[0])
	g.Expect(f.origin.totalReads()).To(BeNumerically("<=", 64+16), "a window of the dead agent may be read twice")
}

// Guards against a stampede on the origin when a reader's link is open but answers nothing.
func TestStalledReaderCausesNoStampede(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 1, 8, nil)
	stalled := message.Peer{NodeID: "agent-99", DataCentre: "dc-0", Region: "prairie", Address: startFakePeer(t, "agent-99", func(*link.Conn, message.Message) {})}
	for _, a := range f.agents {
		peers := []message.Peer{stalled}
		for _, b := range f.agents {
			peers = append(peers, b.peer)
		}
		a.SetPeers(peers)
	}
	version := f.origin.addVersion(chunkBytes, seedRange(0, 45)...)
	f.setTarget(version)
	f.expectReady(version)
	// 9 agents hold each chunk's rank with equal chance. A stampede would read the stalled agent's chunks 8 times.
	g.Expect(f.origin.totalReads()).To(BeNumerically("<=", 45+5))
}

// acceptPeer runs a stand-in for a peer that handles requests with handle.
func startFakePeer(t *testing.T, id string, handle link.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = listener.Close() })
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				self := message.Hello{NodeID: id, Role: message.RoleAgent}
				if conn, err := link.Accept(nc, self, linkConfig, func() message.Heartbeat { return message.Heartbeat{} }); err == nil {
					_ = conn.Serve(ctx, handle)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against corrupt chunks being stored or forwarded, and against asking a corrupting peer for ever.
func TestCorruptPeerIsAvoidedAfterThreeChunks(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 1, 3, func(_ string, cfg *weights.Config) { cfg.Window = 1 })
	var served atomic.Int64
	address := startFakePeer(t, "agent-99", func(c *link.Conn, m message.Message) {
		switch r := m.(type) {
		case *message.ManifestRequest:
			_ = c.Send(context.Background(), &message.ManifestReply{ID: r.ID, NotFound: true})
		case *message.ChunkRequest:
			served.Add(1)
			_ = c.Send(context.Background(), &message.ChunkReply{ID: r.ID, Data: make([]byte, chunkBytes)})
		}
	})
	f.agents = append(f.agents, &agent{Manager: f.agents[0].Manager, peer: message.Peer{NodeID: "agent-99", DataCentre: "dc-0", Region: "prairie", Address: address}})
	f.publishPeers()
	version := f.origin.addVersion(chunkBytes, seedRange(0, 60)...)
	f.setTarget(version)
	f.expectReady(version)
	// Three agents count to three each; two further windows of each may have a request on the way at that time.
	g.Expect(served.Load()).To(And(BeNumerically(">=", 3), BeNumerically("<=", 3*(3+2))))
}

// Guards against a rollout that stops when the origin fails midway although the weight store has the rest.
func TestWeightStoreReplacesFailedOrigin(t *testing.T) {
	g := NewWithT(t)
	backup := newFakeOrigin()
	f := newFleet(t, 2, 2, func(_ string, cfg *weights.Config) { cfg.WeightStore = backup })
	version := f.origin.addVersion(chunkBytes, seedRange(0, 40)...)
	backup.addVersion(chunkBytes, seedRange(0, 40)...)
	var allowed atomic.Int64
	f.origin.setBeforeRead(func(context.Context, string) error {
		if allowed.Add(1) > 10 {
			return errOriginDown
		}
		return nil
	})
	f.setTarget(version)
	f.expectReady(version)
	g.Expect(f.origin.totalReads()).To(Equal(10))
	g.Expect(backup.totalReads()).To(Equal(30))
}

// Guards against waiting for an abandoned version, and against reading shared chunks again.
func TestTargetChangesDuringTransfer(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 1, 2, nil)
	first := f.origin.addVersion(chunkBytes, seedRange(0, 20)...)
	second := f.origin.addVersion(chunkBytes, seedRange(10, 30)...)
	third := f.origin.addVersion(chunkBytes, seedRange(100, 120)...)
	f.setTarget(first)
	f.expectReady(first)
	blocked := make(chan struct{}, 1000)
	f.origin.setBeforeRead(func(ctx context.Context, _ string) error {
		blocked <- struct{}{}
		<-ctx.Done()
		return ctx.Err()
	})
	f.setTarget(third)
	g.Eventually(blocked, eventTimeout).Should(Receive())
	f.origin.setBeforeRead(nil)
	f.setTarget(second)
	f.expectReady(second)
	g.Expect(f.origin.totalReads()).To(Equal(30))
}

// Guards against reading a version again from the origin when an agent joins after the others hold it.
func TestJoiningAgentReadsFromPeers(t *testing.T) {
	f := newFleet(t, 1, 3, nil)
	version := f.origin.addVersion(chunkBytes, seedRange(0, 30)...)
	f.setTarget(version)
	f.expectReady(version)
	for _, a := range f.agents {
		a.peer.Versions = []string{version}
	}
	f.startAgent("dc-0", "prairie")
	f.publishPeers()
	f.setTarget(version)
	f.expectReady(version)
	NewWithT(t).Expect(f.origin.totalReads()).To(Equal(30))
}

// Guards against exceeding the bandwidth bound: the transfer may not end before the bound allows it.
func TestTransferStaysWithinBandwidthLimit(t *testing.T) {
	g := NewWithT(t)
	const rate = 1 << 20
	f := newFleet(t, 1, 1, func(_ string, cfg *weights.Config) {
		cfg.BytesPerSecond = rate
		cfg.MinRateFraction = 0.5
		cfg.InFlight = func() int { return 1000 }
	})
	version := f.origin.addVersion(chunkBytes, seedRange(0, 10)...)
	start := time.Now()
	f.setTarget(version)
	f.expectReady(version)
	// The burst is 50 ms of traffic; the rest passes at half the rate, because live requests are in progress.
	earliest := time.Duration((10*chunkBytes - rate/20) * int64(time.Second) / (rate / 2))
	g.Expect(time.Since(start)).To(BeNumerically(">=", earliest))
}

// Guards against an engine that reads part of a version, and against losing the loaded version to the memory bound.
func TestEngineReadsOnlyCompleteVersions(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 1, 1, func(_ string, cfg *weights.Config) { cfg.MemoryBytes = 9 * chunkBytes })
	first, second := f.origin.addVersion(chunkBytes, seedRange(0, 4)...), f.origin.addVersion(chunkBytes, seedRange(4, 8)...)
	third, tooLarge := f.origin.addVersion(chunkBytes, seedRange(8, 12)...), f.origin.addVersion(chunkBytes, seedRange(20, 30)...)
	a := f.agents[0]
	server := httptest.NewServer(a.Handler())
	defer server.Close()
	get := func(path string) int {
		response, err := http.Get(server.URL + path)
		g.Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		return response.StatusCode
	}
	for _, version := range []string{first, second, third} {
		a.SetTarget(version)
		f.expectReady(version)
		a.SetLoaded(first, "")
	}
	g.Expect(a.Holds(first)).To(BeTrue())
	g.Expect(a.Holds(second)).To(BeFalse())
	g.Expect(get("/versions/" + third + "/manifest")).To(Equal(http.StatusOK))
	a.SetTarget(tooLarge)
	g.Eventually(func() string { return a.Status().LastError }, eventTimeout).Should(ContainSubstring("memory bound"))
	g.Expect(get("/versions/" + tooLarge + "/manifest")).To(Equal(http.StatusNotFound))
}

// Guards against a source that limits requests being asked again before the time that it named.
func TestSourceRetryAfterIsHonoured(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 1, 1, nil)
	version := f.origin.addVersion(chunkBytes, seedRange(0, 1)...)
	const delay = 400 * time.Millisecond
	tries := make(chan time.Time, 10)
	f.origin.setBeforeRead(func(context.Context, string) error {
		tries <- time.Now()
		if len(tries) == 1 {
			return &origin.RateLimitedError{RetryAfter: delay}
		}
		return nil
	})
	f.setTarget(version)
	f.expectReady(version)
	first, second := <-tries, <-tries
	g.Expect(second.Sub(first)).To(BeNumerically(">=", delay))
}
