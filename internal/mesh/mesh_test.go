package mesh_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/mesh"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pieces"
)

// node is one member of a mesh on loopback.
type node struct {
	*mesh.Mesh
	id, addr string
	state    *fleet.State
	loads    *loadview.Table
	others   *loadview.WorkTable
	traffic  *link.Traffic
	stop     context.CancelFunc
}

// options describe a node. seeds are link addresses; serve answers requests for weights.
type options struct {
	id, centre string
	role       message.Role
	addr       string
	seeds      []string
	work       []message.UpstreamWork
	serve      func(context.Context, *message.WeightsRequest) *message.WeightsReply
}

func startNode(t *testing.T, o options) *node {
	n := &node{id: o.id, state: fleet.NewState(nil), loads: loadview.NewTable(nil), others: loadview.NewWorkTable(nil), addr: o.addr,
		traffic: &link.Traffic{}}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	t.Cleanup(cancel)
	var listener net.Listener
	if o.role == message.RoleEntry {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener, n.addr = l, l.Addr().String()
		t.Cleanup(func() { _ = l.Close() })
	}
	cfg := mesh.Config{Self: message.Hello{NodeID: o.id, Role: o.role, DataCentre: o.centre, Region: o.centre, Address: n.addr,
		Incarnation: uint64(time.Now().UnixNano())}, Secret: []byte("sixteen byte key"), Seeds: o.seeds, State: n.state, Loads: n.loads,
		Log: logr.Discard(), ServeWeights: o.serve, Traffic: n.traffic}
	if o.role == message.RoleEntry {
		cfg.PeerWork, cfg.OwnWork = n.others, func() []message.UpstreamWork { return o.work }
	}
	n.Mesh = mesh.New(cfg)
	if listener != nil {
		go n.Serve(ctx, listener)
	}
	go n.Run(ctx)
	return n
}

func entryNode(t *testing.T, id, centre string, seeds ...string) *node {
	return startNode(t, options{id: id, centre: centre, role: message.RoleEntry, seeds: seeds})
}

func configVersion(n *node) func() int64 {
	return func() int64 {
		if x := n.state.Snapshot().Index; x != nil {
			return x.Config.Version
		}
		return 0
	}
}

// Guards against nodes that learn nothing because only one of them reaches the store.
func TestFactsReachAllNodes(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	c := entryNode(t, "c", "z2", a.addr)
	agent := startNode(t, options{id: "s", centre: "z2", role: message.RoleAgent, addr: "10.0.0.1:1", seeds: []string{a.addr}})
	g.Eventually(b.LinkedEntryCount, "3s").Should(Equal(2), "b finds c through a")
	g.Eventually(agent.LinkedEntryCount, "3s").Should(BeNumerically(">=", 1))
	a.state.ApplyConfig(&catalog.Config{Version: 3, Routes: []catalog.Route{{Name: "r"}}, Services: []catalog.Service{{Name: "s"}}}, 9)
	a.state.ApplyUpstream(fleet.UpstreamRecord{ID: "u", Revision: 10, Announcement: &catalog.Upstream{ID: "u", Service: "s", DataCentre: "z1"}})
	a.state.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: 2}, Revision: 11, NamedAt: time.Now().Add(-3 * time.Second)})
	a.state.MarkUpToDate(time.Now())
	for _, n := range []*node{b, c, agent} {
		g.Eventually(configVersion(n), "3s").Should(Equal(int64(3)), n.id)
		g.Eventually(func() *catalog.Upstream { return n.state.Snapshot().ByID("u") }, "2s").ShouldNot(BeNil(), n.id)
		v, ok := n.state.Snapshot().NewestVersion("m")
		g.Expect(ok).To(BeTrue())
		g.Expect(time.Since(v.NamedAt)).To(BeNumerically("~", 3500*time.Millisecond, time.Second), "the age goes along")
	}
	g.Expect(agent.state.Snapshot().Index.Config.Routes).To(BeEmpty(), "agents need no routes")
	g.Eventually(func() bool { _, known := c.state.Staleness(); return known }, "2s").Should(BeTrue())
}

// Guards against a storm of large configurations that fills the links of a data centre, so that weights and loads wait behind it: each
// entry has to get a configuration once, not from each of the others.
func TestEachEntryGetsAConfigurationOnce(t *testing.T) {
	g := NewWithT(t)
	nodes := []*node{entryNode(t, "a", "z1")}
	for _, id := range []string{"b", "c", "d", "e", "f"} {
		nodes = append(nodes, entryNode(t, id, "z1", nodes[0].addr))
	}
	for _, n := range nodes {
		g.Eventually(n.LinkedEntryCount, "3s").Should(Equal(len(nodes)-1), n.id)
	}
	sent := func() (sum uint64) {
		for _, n := range nodes {
			sum += n.traffic.ControlSent.Load()
		}
		return sum
	}
	before := sent()
	const storm = 5
	var largest int
	for version := int64(1); version <= storm; version++ {
		c := &catalog.Config{Version: version}
		for i := range 1330 {
			c.Routes = append(c.Routes, catalog.Route{Name: fmt.Sprintf("route-%d-%d", version, i), Prefix: fmt.Sprintf("/%d/", i*7919)})
		}
		packed, err := message.PackConfig(c)
		g.Expect(err).NotTo(HaveOccurred())
		largest = max(largest, len(packed))
		nodes[0].state.ApplyConfig(c, version)
		for _, n := range nodes {
			g.Eventually(configVersion(n), "3s").Should(Equal(version), n.id)
		}
	}
	const slack = 1.5 // heartbeats and statements of freshness
	g.Expect(float64(sent() - before)).To(BeNumerically("<", slack*storm*float64((len(nodes)-1)*largest)))
}

// Guards against all entries of a data centre watching the store, and against none when the one that does is gone.
func TestOneEntryOfADataCentreWatches(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	g.Eventually(a.LinkedEntryCount, "3s").Should(Equal(1))
	a.state.MarkUpToDate(time.Now())
	b.state.MarkUpToDate(time.Now())
	watching := func() (n int) {
		for _, x := range []*node{a, b} {
			if x.ShouldWatchStore() {
				n++
			}
		}
		return n
	}
	g.Expect(watching()).To(Equal(1))
	g.Eventually(watching, "3s").Should(Equal(2), "nobody is current any more")
	last, first := a, b
	if a.ShouldWatchStore() {
		last, first = b, a
	}
	last.state.MarkUpToDate(time.Now())
	first.stop()
	g.Eventually(last.ShouldWatchStore, "3s").Should(BeTrue())
}

// Guards against work of other entries that is not counted.
func TestEntriesShareTheirWork(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, options{id: "a", centre: "z1", role: message.RoleEntry, work: []message.UpstreamWork{{ID: "u", Running: 3, Waiting: 2, Tokens: 900}}})
	b := entryNode(t, "b", "z1", a.addr)
	g.Eventually(func() message.UpstreamWork { return b.others.At("u") }, "3s").Should(Equal(message.UpstreamWork{ID: "u", Running: 3, Waiting: 2, Tokens: 900}))
}

// Guards against entries that know nothing of another data centre because only its speakers talk, and only to some.
func TestLoadsReachEntriesOfOtherDataCentres(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	all := []*node{a}
	for _, id := range []string{"b", "c", "d"} {
		all = append(all, entryNode(t, id, "z1", a.addr))
	}
	var far []*node
	for _, id := range []string{"x", "y", "z"} {
		far = append(far, entryNode(t, id, "z2", a.addr))
	}
	agent := startNode(t, options{id: "s", centre: "z1", role: message.RoleAgent, addr: "10.0.0.1:1", seeds: []string{a.addr}})
	for _, n := range append(append([]*node(nil), all...), far...) {
		n.state.ApplyUpstream(fleet.UpstreamRecord{ID: "u", Revision: 1, Announcement: &catalog.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", DataCentre: "z1"}})
	}
	g.Eventually(agent.LinkedEntryCount, "3s").Should(Equal(4))
	for _, n := range far {
		g.Eventually(func() int {
			agent.ReportLoad(message.UpstreamLoad{Address: "10.0.0.1:1", Active: 7})
			load, _, _ := n.loads.Get("10.0.0.1:1")
			return load.Active
		}, "4s", "100ms").Should(Equal(7), n.id)
	}
}

// Guards against several copies out of the origin: in each data centre one entry leads for a chunk, and only the leader of the
// origin's data centre reads the origin.
func TestWeightsHaveOneLeader(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	c := entryNode(t, "c", "z2", a.addr)
	g.Eventually(func() int { return a.LinkedEntryCount() + b.LinkedEntryCount() + c.LinkedEntryCount() }, "3s").Should(Equal(6))
	for chunk := range 20 {
		readers := 0
		for _, n := range []*node{a, b} {
			if !asksFor(n.WeightPeers("z1", "m", 2, chunk)) {
				readers++
			}
		}
		g.Expect(readers).To(Equal(1), "chunk %d", chunk)
		g.Expect(asksFor(c.WeightPeers("z1", "m", 2, chunk))).To(BeTrue(), "another data centre reads from the origin's")
	}
}

// asksFor tells whether another node would read a chunk for the one that asks.
func asksFor(sources []pieces.Source) bool {
	for _, s := range sources {
		if !s.HeldOnly {
			return true
		}
	}
	return false
}

// Guards against a request for weights that waits for a node that is gone, or that hides its error.
func TestFetchWeights(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, options{id: "a", centre: "z1", role: message.RoleEntry, serve: func(ctx context.Context, q *message.WeightsRequest) *message.WeightsReply {
		switch q.Chunk {
		case 0:
			return &message.WeightsReply{Data: []byte("weights")}
		case 1:
			return &message.WeightsReply{Error: "none"}
		default:
			<-ctx.Done()
			return &message.WeightsReply{Error: "too late"}
		}
	}})
	b := entryNode(t, "b", "z1", a.addr)
	g.Eventually(b.LinkedEntryCount, "3s").Should(Equal(1))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, err := b.FetchWeights(ctx, pieces.Source{NodeID: "a"}, "m", 1, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(reply.Data)).To(Equal("weights"))
	_, err = b.FetchWeights(ctx, pieces.Source{NodeID: "a"}, "m", 1, 1)
	g.Expect(err).To(MatchError(mesh.ErrWeightsUnavailable))
	_, err = b.FetchWeights(ctx, pieces.Source{NodeID: "nobody"}, "m", 1, 0)
	g.Expect(err).To(MatchError(mesh.ErrWeightsUnavailable))
	go func() { time.Sleep(100 * time.Millisecond); a.stop() }()
	started := time.Now()
	_, err = b.FetchWeights(ctx, pieces.Source{NodeID: "a"}, "m", 1, 2)
	g.Expect(err).To(MatchError(mesh.ErrWeightsUnavailable))
	g.Expect(time.Since(started)).To(BeNumerically("<", 3*time.Second))
}

// Pattern: after a loss of power agents start before entries. They are linked within a third of a second of the entry's start, as
// loading weights waits for that. Trace: an agent that had doubled its pauses found the entry 0.5 s after it was up.
func TestIsolatedAgentFindsLateEntrySoon(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	seed := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	agent := startNode(t, options{id: "s", centre: "z1", role: message.RoleAgent, addr: "10.0.0.1:1", seeds: []string{seed}})
	time.Sleep(2500 * time.Millisecond)
	entry := mesh.New(mesh.Config{Self: message.Hello{NodeID: "a", Role: message.RoleEntry, DataCentre: "z1", Address: seed, Incarnation: 1},
		Secret: []byte("sixteen byte key"), State: fleet.NewState(nil), Loads: loadview.NewTable(nil), Log: logr.Discard(),
		OwnWork: func() []message.UpstreamWork { return nil }})
	l, err = net.Listen("tcp", seed)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go entry.Serve(ctx, l)
	g.Eventually(agent.LinkedEntryCount, "450ms", "10ms").Should(Equal(1))
}
