package weights_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/zeebo/blake3"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/weights"
)

// eventTimeout bounds how long tests wait for an expected event.
const eventTimeout = 20 * time.Second

// linkConfig has timeouts that no passing test reaches, so that a pause of the process closes no link of a live agent.
var linkConfig = link.Config{Secret: []byte("0123456789abcdef"), HeartbeatInterval: 50 * time.Millisecond,
	SilenceTimeout: eventTimeout, HandshakeTimeout: eventTimeout}

// fakeOrigin serves versions from memory and counts reads per chunk.
type fakeOrigin struct {
	mu        sync.Mutex
	manifests map[string][]byte
	chunks    map[string][]byte
	reads     map[string]int
	// beforeRead is called before each chunk read; an error fails the read.
	beforeRead func(ctx context.Context, hash string) error
}

func newFakeOrigin() *fakeOrigin {
	return &fakeOrigin{manifests: map[string][]byte{}, chunks: map[string][]byte{}, reads: map[string]int{}}
}

// addVersion adds a version with one chunk of size bytes per seed and returns its digest. Equal seeds give equal chunks, so that
// versions can share them.
func (o *fakeOrigin) addVersion(size int, seeds ...uint64) string {
	var m weights.Manifest
	for _, seed := range seeds {
		rng, data := rand.New(rand.NewPCG(seed, 1)), make([]byte, size)
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		sum := blake3.Sum256(data)
		hash := hex.EncodeToString(sum[:])
		o.chunks[hash] = data
		m.Chunks = append(m.Chunks, weights.ChunkRef{Hash: hash, Size: int64(size)})
	}
	raw, _ := json.Marshal(m)
	sum := sha256.Sum256(raw)
	version := hex.EncodeToString(sum[:])
	o.manifests[version] = raw
	return version
}

func (o *fakeOrigin) Manifest(_ context.Context, version string) ([]byte, error) {
	return o.manifests[version], nil
}

func (o *fakeOrigin) Chunk(ctx context.Context, hash string, _ int64) ([]byte, error) {
	o.mu.Lock()
	beforeRead := o.beforeRead
	o.mu.Unlock()
	if beforeRead != nil {
		if err := beforeRead(ctx, hash); err != nil {
			return nil, err
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads[hash]++
	return o.chunks[hash], nil
}

// chunkHashes returns the hashes of the chunks of a version.
func (o *fakeOrigin) chunkHashes(version string) map[string]bool {
	var m weights.Manifest
	if err := json.Unmarshal(o.manifests[version], &m); err != nil {
		panic(err) // addVersion encoded it.
	}
	hashes := map[string]bool{}
	for _, chunk := range m.Chunks {
		hashes[chunk.Hash] = true
	}
	return hashes
}

func (o *fakeOrigin) setBeforeRead(f func(context.Context, string) error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.beforeRead = f
}

// totalReads returns the number of successful chunk reads.
func (o *fakeOrigin) totalReads() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, reads := range o.reads {
		n += reads
	}
	return n
}

// agent is a running manager and its entry in the peer views.
type agent struct {
	*weights.Manager
	peer message.Peer
	stop func()
}

// fleet is a set of agents that are linked over the loopback interface.
type fleet struct {
	t      *testing.T
	origin *fakeOrigin
	// configure changes the configuration of an agent before it starts; nil for no change.
	configure func(id string, cfg *weights.Config)
	agents    []*agent
}

// startAgent starts an agent in the given data centre and region. Its ID is numbered by its position in the fleet. A peer
// does not count as stalled because of a pause of the process: other agents would then read its chunks from the origin as well.
func (f *fleet) startAgent(centre, region string) *agent {
	id := fmt.Sprintf("agent-%02d", len(f.agents))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	cfg := weights.Config{
		Self: message.Hello{NodeID: id, Role: message.RoleAgent, DataCentre: centre, Region: region},
		Link: linkConfig, Origin: f.origin, ReplyTimeout: eventTimeout, PendingTimeout: eventTimeout,
		OriginDelay: 20 * time.Millisecond, Backoff: 5 * time.Millisecond,
	}
	if f.configure != nil {
		f.configure(id, &cfg)
	}
	m, err := weights.New(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); m.Run(ctx) }()
	go func() { defer wg.Done(); _ = m.Serve(ctx, listener) }()
	a := &agent{Manager: m, stop: func() { cancel(); wg.Wait() }}
	a.peer = message.Peer{NodeID: id, DataCentre: centre, Region: region, Address: listener.Addr().String()}
	f.agents = append(f.agents, a)
	f.t.Cleanup(a.stop)
	return a
}

// newFleet starts the given number of data centres with perCentre agents each, all in one region, and publishes their view.
func newFleet(t *testing.T, centres, perCentre int, configure func(string, *weights.Config)) *fleet {
	f := &fleet{t: t, origin: newFakeOrigin(), configure: configure}
	for c := range centres {
		for range perCentre {
			f.startAgent(fmt.Sprintf("dc-%d", c), "prairie")
		}
	}
	f.publishPeers()
	return f
}

// publishPeers sets the view of every agent to all agents but those in except.
func (f *fleet) publishPeers(except ...*agent) {
	var peers []message.Peer
	for _, a := range f.agents {
		excluded := false
		for _, exceptAgent := range except {
			excluded = excluded || exceptAgent == a
		}
		if !excluded {
			peers = append(peers, a.peer)
		}
	}
	for _, a := range f.agents {
		a.SetPeers(peers)
	}
}

// setTarget sets the target of every agent.
func (f *fleet) setTarget(version string) {
	for _, a := range f.agents {
		a.SetTarget(version)
	}
}

// expectReady waits until every agent but the one in except has the complete version.
func (f *fleet) expectReady(version string, except ...*agent) {
	f.t.Helper()
	g := NewWithT(f.t)
	for _, a := range f.agents {
		if len(except) > 0 && a == except[0] {
			continue
		}
		g.Eventually(func() string { return a.Status().Ready }, eventTimeout, 2*time.Millisecond).Should(Equal(version),
			func() string { return fmt.Sprintf("%s %+v", a.peer.NodeID, a.Status()) })
	}
}

// seedRange returns the seeds from, from+1, ..., to-1.
func seedRange(from, to uint64) (out []uint64) {
	for s := from; s < to; s++ {
		out = append(out, s)
	}
	return out
}

var errOriginDown = errors.New("origin is down")
