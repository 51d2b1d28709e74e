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

// chunkBytes is the size of a chunk in the tests.
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

// Guards against agents that share chunks in baseline mode. Comparisons with the baseline would then be meaningless.
func TestBaselineReadsEverythingFromTheOrigin(t *testing.T) {
	f := newFleet(t, 1, 3, func(_ string, cfg *weights.Config) { cfg.Baseline = true })
	version := f.origin.addVersion(chunkBytes, seedRange(0, 8)...)
	f.setTarget(version)
	f.expectReady(version)
	NewWithT(t).Expect(f.origin.totalReads()).To(Equal(24))
}

// Guards against a rollout that hangs when an agent stops while others wait for its chunks, and against all others then reading
// these chunks from the origin.
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
	g.Expect(f.origin.totalReads()).To(BeNumerically("<=", 64+16), "at most one window of chunks of the stopped agent is read twice")
}

// Guards against all agents reading a chunk from the origin when its region reader accepts links but never replies.
func TestStalledReaderCausesNoStampede(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 1, 8, func(_ string, cfg *weights.Config) {
		cfg.HoldTimeout, cfg.ReplyTimeout = 100*time.Millisecond, 500*time.Millisecond
	})
	stalled := message.Peer{NodeID: "agent-99", DataCentre: "dc-0", Region: "prairie",
		Address: startFakePeer(t, "agent-99", func(*link.Conn, message.Message) {})}
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
	// Each of the 9 agents is the region reader of a chunk with the same probability, so the stalled agent is expected to be that of
	// 5 of the 45 chunks. In a stampede each of these would be read 8 times.
	g.Expect(f.origin.totalReads()).To(BeNumerically("<=", 45+5))
}

// startFakePeer starts a peer that passes each request to handle, and returns its address.
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

// Guards against storing or forwarding corrupt chunks, and against sending requests without end to a peer that corrupts chunks.
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
	// The fake peer has no Manager. Its entry in f.agents refers to that of the first agent, because the methods of fleet call the
	// Manager of every entry.
	f.agents = append(f.agents, &agent{Manager: f.agents[0].Manager,
		peer: message.Peer{NodeID: "agent-99", DataCentre: "dc-0", Region: "prairie", Address: address}})
	f.publishPeers()
	version := f.origin.addVersion(chunkBytes, seedRange(0, 60)...)
	f.setTarget(version)
	f.expectReady(version)
	// Each of the three agents stops after three corrupt chunks, when its other two classes, with a window of one each, may have a
	// request in flight.
	g.Expect(served.Load()).To(And(BeNumerically(">=", 3), BeNumerically("<=", 3*(3+2))))
}

// Guards against a rollout that stops when the origin fails during the transfer although the weight store has the missing chunks.
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

// Guards against waiting for the chunks of an abandoned target, and against reading chunks again that the new target shares with a
// stored version.
func TestTargetChangesDuringTransfer(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 1, 2, nil)
	first := f.origin.addVersion(chunkBytes, seedRange(0, 20)...)
	second := f.origin.addVersion(chunkBytes, seedRange(10, 30)...)
	third := f.origin.addVersion(chunkBytes, seedRange(100, 120)...)
	f.setTarget(first)
	f.expectReady(first)
	// Every read of a chunk of the abandoned version fails. The agents start its transfer, and abandon it, at different times.
	abandoned := f.origin.chunkHashes(third)
	blocked := make(chan struct{}, 1000)
	f.origin.setBeforeRead(func(ctx context.Context, hash string) error {
		if !abandoned[hash] {
			return nil
		}
		blocked <- struct{}{}
		<-ctx.Done()
		return ctx.Err()
	})
	f.setTarget(third)
	g.Eventually(blocked, eventTimeout).Should(Receive())
	f.setTarget(second)
	f.expectReady(second)
	g.Expect(f.origin.totalReads()).To(Equal(30))
}

// Guards against a new agent reading a version from the origin although its peers have it.
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

// Guards against exceeding the bandwidth limit: the transfer must not end earlier than the limit allows.
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
	// The initial burst is 50 ms of traffic. The rest is limited to half the rate, because live requests are in progress.
	earliest := time.Duration((10*chunkBytes - rate/20) * int64(time.Second) / (rate / 2))
	g.Expect(time.Since(start)).To(BeNumerically(">=", earliest))
}

// Guards against serving part of a version to the engine, and against evicting the loaded version when memory is full.
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

// Guards against retrying a rate-limited read before the delay that the source requested has passed.
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
