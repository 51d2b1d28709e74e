package mesh_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/mesh"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/poison"
	"github.com/pimentohead/pimentohead/internal/ratelimit"
	"github.com/pimentohead/pimentohead/internal/refusal"
)

// node is a mesh node on loopback with its state.
type node struct {
	*mesh.Mesh
	id, addr string
	state    *fleet.State
	loads    *loadview.Table
	peerWork *loadview.WorkTable
	poison   *poison.Ledger
	limiter  *ratelimit.Limiter
	refusals *refusal.Table
	traffic  *link.Traffic
	stop     context.CancelFunc
}

// options describe a node. addr is the address that an agent announces, which is that of its upstream, seeds are the link addresses
// that the node dials first, work is what an entry has in progress, and serveWeights answers requests for weights.
type options struct {
	id, dataCentre string
	role           message.Role
	addr           string
	seeds          []string
	work           []message.UpstreamWork
	serveWeights   func(context.Context, *message.WeightsRequest) *message.WeightsReply
	// network replaces the loopback network.
	network *network
	// startWait is the time in which the node waits for links before it reads the store.
	startWait time.Duration
	// readDelay is how long each message may have lain unread.
	readDelay time.Duration
}

// startNode runs a node until the test ends or its stop function is called. Entries listen on a free port.
func startNode(t *testing.T, o options) *node {
	n := &node{id: o.id, state: fleet.NewState(nil), loads: loadview.NewTable(nil), peerWork: loadview.NewWorkTable(nil), addr: o.addr,
		traffic: &link.Traffic{}}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	t.Cleanup(cancel)
	var listener net.Listener
	if o.role == message.RoleEntry {
		l, err := o.listen()
		if err != nil {
			t.Fatal(err)
		}
		listener, n.addr = l, l.Addr().String()
		t.Cleanup(func() { _ = l.Close() })
	}
	cfg := mesh.Config{Self: message.Hello{NodeID: o.id, Role: o.role, DataCentre: o.dataCentre, Region: o.dataCentre, Address: n.addr,
		Incarnation: uint64(time.Now().UnixNano())}, Secret: []byte("sixteen byte key"), Seeds: o.seeds, State: n.state, Loads: n.loads,
		Log: logr.Discard(), ServeWeights: o.serveWeights, Traffic: n.traffic,
		StartWait: o.startWait, ReadDelay: func() time.Duration { return o.readDelay }}
	if o.network != nil {
		cfg.DialContext = o.network.dialer(o.id)
	}
	if o.role == message.RoleEntry {
		n.poison = poison.New(nil)
		n.limiter = ratelimit.New(ratelimit.Config{Self: o.id, Members: func() []string { return n.EntryIDs() }})
		n.refusals = refusal.New(nil)
		cfg.RateLimits, cfg.Refusals = n.limiter, n.refusals
		cfg.PeerWork, cfg.OwnWork, cfg.Poison = n.peerWork, func() []message.UpstreamWork { return o.work }, n.poison
	}
	n.Mesh = mesh.New(cfg)
	if listener != nil {
		go n.Serve(ctx, listener)
	}
	go n.Run(ctx)
	return n
}

// listen opens the listener of an entry.
func (o options) listen() (net.Listener, error) {
	if o.network != nil {
		return o.network.listen(o.id), nil
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

func entryNode(t *testing.T, id, dataCentre string, seeds ...string) *node {
	return startNode(t, options{id: id, dataCentre: dataCentre, role: message.RoleEntry, seeds: seeds})
}

// configVersion returns a function that returns the version of the configuration in force at a node, or 0.
func configVersion(n *node) func() int64 {
	return func() int64 {
		if index := n.state.Snapshot().Index; index != nil {
			return index.Config.Version
		}
		return 0
	}
}

// Guards against nodes that lack the records of the catalog when only one node reaches the store.
func TestRecordsReachAllNodes(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	c := entryNode(t, "c", "z2", a.addr)
	agent := startNode(t, options{id: "s", dataCentre: "z2", role: message.RoleAgent, addr: "10.0.0.1:1", seeds: []string{a.addr}})
	g.Eventually(b.LinkedEntryCount, "3s").Should(Equal(2), "b finds c through a")
	g.Eventually(agent.LinkedEntryCount, "3s").Should(BeNumerically(">=", 1))
	a.state.ApplyConfig(&catalog.Config{Version: 3, Routes: []catalog.Route{{Name: "r"}}, Services: []catalog.Service{{Name: "s"}}}, 9)
	a.state.ApplyUpstream(fleet.UpstreamRecord{ID: "u", Revision: 10,
		Announcement: &catalog.Upstream{ID: "u", Service: "s", DataCentre: "z1"}})
	a.state.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: 2}, Revision: 11,
		NamedAt: time.Now().Add(-3 * time.Second)})
	a.state.MarkUpToDate(time.Now())
	for _, n := range []*node{b, c, agent} {
		g.Eventually(configVersion(n), "3s").Should(Equal(int64(3)), n.id)
		g.Eventually(func() *catalog.Upstream { return n.state.Snapshot().ByID("u") }, "2s").ShouldNot(BeNil(), n.id)
		// The version may arrive in a later message than the upstream.
		g.Eventually(func() bool { _, ok := n.state.Snapshot().NewestVersion("m"); return ok }, "2s").Should(BeTrue(), n.id)
		v, _ := n.state.Snapshot().NewestVersion("m")
		g.Expect(v.Version).To(Equal(int64(2)), n.id)
		g.Expect(time.Since(v.NamedAt)).To(BeNumerically("~", 3500*time.Millisecond, time.Second), "the age is carried over")
	}
	g.Expect(agent.state.Snapshot().Index.Config.Routes).To(BeEmpty(), "agents need no routes")
	g.Eventually(func() bool { _, known := c.state.Staleness(); return known }, "2s").Should(BeTrue())
}

// Guards against a burst of large configurations that saturates the links of a data centre and delays weights and loads: each
// entry must receive a configuration once, not from each of the other entries.
func TestEachEntryReceivesAConfigurationOnce(t *testing.T) {
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
	const versions = 5
	var largest int
	for version := int64(1); version <= versions; version++ {
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
	const overhead = 1.5 // Heartbeats and staleness messages.
	g.Expect(float64(sent() - before)).To(BeNumerically("<", overhead*versions*float64((len(nodes)-1)*largest)))
}

// Guards against every entry of a data centre watching the store, and against none doing so once the watching entry is gone.
func TestOneEntryPerDataCentreWatchesTheStore(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	g.Eventually(a.LinkedEntryCount, "3s").Should(Equal(1))
	a.state.MarkUpToDate(time.Now())
	b.state.MarkUpToDate(time.Now())
	watching := func() (n int) {
		for _, entry := range []*node{a, b} {
			if entry.ShouldWatchStore() {
				n++
			}
		}
		return n
	}
	g.Expect(watching()).To(Equal(1))
	g.Eventually(watching, "3s").Should(Equal(2), "no entry is up to date any more")
	standby, watcher := a, b
	if a.ShouldWatchStore() {
		standby, watcher = b, a
	}
	standby.state.MarkUpToDate(time.Now())
	watcher.stop()
	g.Eventually(standby.ShouldWatchStore, "3s").Should(BeTrue())
}

// Guards against upstreams that seem idle because the requests of other entries are not counted.
func TestEntriesShareWorkInProgress(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, options{id: "a", dataCentre: "z1", role: message.RoleEntry,
		work: []message.UpstreamWork{{ID: "u", Running: 3, Waiting: 2, WaitingTokens: 900}}})
	b := entryNode(t, "b", "z1", a.addr)
	g.Eventually(func() message.UpstreamWork { return b.peerWork.Total("u") }, "3s").
		Should(Equal(message.UpstreamWork{ID: "u", Running: 3, Waiting: 2, WaitingTokens: 900}))
}

// Guards against loads that do not reach every entry of another data centre: only the remote senders send them there, and each
// only to its linked entries.
func TestLoadsReachEntriesOfOtherDataCentres(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	local := []*node{a}
	for _, id := range []string{"b", "c", "d"} {
		local = append(local, entryNode(t, id, "z1", a.addr))
	}
	var remote []*node
	for _, id := range []string{"x", "y", "z"} {
		remote = append(remote, entryNode(t, id, "z2", a.addr))
	}
	agent := startNode(t, options{id: "s", dataCentre: "z1", role: message.RoleAgent, addr: "10.0.0.1:1", seeds: []string{a.addr}})
	for _, n := range append(append([]*node(nil), local...), remote...) {
		n.state.ApplyUpstream(fleet.UpstreamRecord{ID: "u", Revision: 1,
			Announcement: &catalog.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", DataCentre: "z1"}})
	}
	g.Eventually(agent.LinkedEntryCount, "3s").Should(Equal(4))
	for _, n := range remote {
		g.Eventually(func() int {
			agent.ReportLoad(message.UpstreamLoad{Address: "10.0.0.1:1", Active: 7})
			load, _, _ := n.loads.Get("10.0.0.1:1")
			return load.Active
		}, "4s", "100ms").Should(Equal(7), n.id)
		load, _, _ := n.loads.Get("10.0.0.1:1")
		g.Expect(load.Seq).NotTo(BeZero(), "reports are numbered")
	}
}

// Guards against several reads of a chunk from the origin: one entry per data centre leads for a chunk, and only the leader in
// the origin's data centre reads the origin.
func TestEachChunkHasOneLeaderPerDataCentre(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	c := entryNode(t, "c", "z2", a.addr)
	g.Eventually(func() int { return a.LinkedEntryCount() + b.LinkedEntryCount() + c.LinkedEntryCount() }, "3s").Should(Equal(6))
	for chunk := range 20 {
		originReaders := 0
		for _, n := range []*node{a, b} {
			if !hasReadingSource(n.WeightPeers("z1", "m", 2, chunk)) {
				originReaders++
			}
		}
		g.Expect(originReaders).To(Equal(1), "chunk %d", chunk)
		g.Expect(hasReadingSource(c.WeightPeers("z1", "m", 2, chunk))).To(BeTrue(),
			"another data centre reads from entries of the origin's data centre")
	}
}

// hasReadingSource reports whether a source may read the chunk on request, rather than return only what it holds.
func hasReadingSource(sources []chunkcache.Source) bool {
	for _, s := range sources {
		if !s.HeldOnly {
			return true
		}
	}
	return false
}

// Guards against requests for weights that wait for a node after its link is lost, and against errors of the node that are not
// returned.
func TestFetchWeights(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, options{id: "a", dataCentre: "z1", role: message.RoleEntry,
		serveWeights: func(ctx context.Context, req *message.WeightsRequest) *message.WeightsReply {
			switch req.Chunk {
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
	reply, err := b.FetchWeights(ctx, chunkcache.Source{NodeID: "a"}, "m", 1, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(reply.Data)).To(Equal("weights"))
	_, err = b.FetchWeights(ctx, chunkcache.Source{NodeID: "a"}, "m", 1, 1)
	g.Expect(err).To(MatchError(mesh.ErrWeightsUnavailable))
	_, err = b.FetchWeights(ctx, chunkcache.Source{NodeID: "nobody"}, "m", 1, 0)
	g.Expect(err).To(MatchError(mesh.ErrWeightsUnavailable))
	go func() { time.Sleep(100 * time.Millisecond); a.stop() }()
	started := time.Now()
	_, err = b.FetchWeights(ctx, chunkcache.Source{NodeID: "a"}, "m", 1, 2)
	g.Expect(err).To(MatchError(mesh.ErrWeightsUnavailable))
	g.Expect(time.Since(started)).To(BeNumerically("<", 3*time.Second))
}

// Guards against weights that load late after a power loss, when agents start before entries: an agent that had doubled its
// backoff linked to an entry only 0.5 s after the entry was up. An agent without links must link within 450 ms.
func TestAgentWithoutLinksRetriesOften(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	seed := l.Addr().String()
	agent := startNode(t, options{id: "s", dataCentre: "z1", role: message.RoleAgent, addr: "10.0.0.1:1", seeds: []string{seed}})
	// Until the entry is up, every connection is closed before the handshake. The listener stays open, because the system could give
	// its port to another process.
	g.Expect(l.(*net.TCPListener).SetDeadline(time.Now().Add(2500 * time.Millisecond))).To(Succeed())
	for {
		nc, err := l.Accept()
		if err != nil {
			g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
			break
		}
		g.Expect(nc.Close()).To(Succeed())
	}
	g.Expect(l.(*net.TCPListener).SetDeadline(time.Time{})).To(Succeed())
	g.Expect(agent.LinkedEntryCount()).To(BeZero())
	entry := mesh.New(mesh.Config{
		Self:   message.Hello{NodeID: "a", Role: message.RoleEntry, DataCentre: "z1", Address: seed, Incarnation: 1},
		Secret: []byte("sixteen byte key"), State: fleet.NewState(nil), Loads: loadview.NewTable(nil), Log: logr.Discard(),
		OwnWork: func() []message.UpstreamWork { return nil }})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go entry.Serve(ctx, l)
	g.Eventually(agent.LinkedEntryCount, "450ms", "10ms").Should(Equal(1))
}

// Guards against an entry that stood still while a version was named and takes the time at which it reads of that for the time of the naming, and
// against its assumption replacing what the others know.
func TestVersionReadAfterAStallIsAssumedToBeOlder(t *testing.T) {
	g := NewWithT(t)
	const delay = 900 * time.Millisecond
	a := entryNode(t, "a", "z1")
	b := startNode(t, options{id: "b", dataCentre: "z1", role: message.RoleEntry, seeds: []string{a.addr}, readDelay: delay})
	g.Eventually(b.LinkedEntryCount, "3s").Should(Equal(1))
	named := time.Now()
	a.state.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: 2}, Revision: 11, NamedAt: named})
	g.Eventually(func() bool { _, ok := b.state.Snapshot().NewestVersion("m"); return ok }, "2s").Should(BeTrue())
	v, _ := b.state.Snapshot().NewestVersion("m")
	g.Expect(v.NamedAt).To(BeTemporally("<=", named.Add(-delay/2)))
	g.Expect(v.AgeAssumed).To(BeTrue())
	time.Sleep(300 * time.Millisecond) // b tells a.
	v, _ = a.state.Snapshot().NewestVersion("m")
	g.Expect(v.NamedAt).To(BeTemporally("==", named))
	g.Expect(v.AgeAssumed).To(BeFalse())
}

// Guards against entries that have all restarted and assume an age for a version although agents know when it was named.
func TestAgentTellsEntriesTheAgeOfAVersion(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	g.Eventually(b.LinkedEntryCount, "3s").Should(Equal(1))
	record := fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: 2}, Revision: 11}
	age := func(n *node) func() time.Duration {
		return func() time.Duration {
			v, _ := n.state.Snapshot().NewestVersion("m")
			return time.Since(v.NamedAt).Round(time.Second)
		}
	}
	assumed := record
	assumed.NamedAt, assumed.AgeAssumed = time.Now().Add(-20*time.Second), true
	a.state.ApplyVersion(assumed)
	g.Eventually(age(b), "2s").Should(BeNumerically("~", 20*time.Second, 2*time.Second))
	agent := startNode(t, options{id: "s", dataCentre: "z1", role: message.RoleAgent, addr: "10.0.0.1:1"})
	known := record
	known.NamedAt = time.Now().Add(-5 * time.Second)
	agent.state.ApplyVersion(known)
	agent.AddMembers([]message.Member{{NodeID: "a", Role: message.RoleEntry, DataCentre: "z1", Region: "z1", Address: a.addr}})
	for _, n := range []*node{a, b} {
		g.Eventually(age(n), "3s").Should(BeNumerically("~", 5*time.Second, 2*time.Second), n.id)
		v, _ := n.state.Snapshot().NewestVersion("m")
		g.Expect(v.AgeAssumed).To(BeFalse(), n.id)
	}
	g.Expect(age(agent)()).To(BeNumerically("~", 5*time.Second, 2*time.Second))
}
