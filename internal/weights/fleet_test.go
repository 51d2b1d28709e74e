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

const patience = 20 * time.Second

var linkConfig = link.Config{Secret: []byte("0123456789abcdef"), HeartbeatInterval: 50 * time.Millisecond, SilenceTimeout: 500 * time.Millisecond}

// fakeOrigin serves versions from memory and counts reads per chunk.
type fakeOrigin struct {
	mu        sync.Mutex
	manifests map[string][]byte
	chunks    map[string][]byte
	reads     map[string]int
	// before is called for each chunk read; an error fails the read.
	before func(ctx context.Context, hash string) error
}

func newOrigin() *fakeOrigin {
	return &fakeOrigin{manifests: map[string][]byte{}, chunks: map[string][]byte{}, reads: map[string]int{}}
}

// add creates a version; equal seeds give equal chunks, so that versions can share them.
func (o *fakeOrigin) add(size int, seeds ...uint64) string {
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
	before := o.before
	o.mu.Unlock()
	if before != nil {
		if err := before(ctx, hash); err != nil {
			return nil, err
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads[hash]++
	return o.chunks[hash], nil
}

func (o *fakeOrigin) setBefore(f func(context.Context, string) error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.before = f
}

func (o *fakeOrigin) total() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, reads := range o.reads {
		n += reads
	}
	return n
}

type agent struct {
	*weights.Manager
	peer message.Peer
	stop func()
}

// fleet is a set of agents on loopback.
type fleet struct {
	t      *testing.T
	origin *fakeOrigin
	tune   func(id string, cfg *weights.Config)
	agents []*agent
}

// start adds an agent. IDs are numbered; data centres and regions follow from the arguments.
func (f *fleet) start(centre, region string) *agent {
	id := fmt.Sprintf("agent-%02d", len(f.agents))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	cfg := weights.Config{
		Self: message.Hello{NodeID: id, Role: message.RoleAgent, DataCentre: centre, Region: region},
		Link: linkConfig, Origin: f.origin, Wait: 100 * time.Millisecond, ReplyTimeout: 500 * time.Millisecond,
		PendingLimit: patience, OriginDelay: 20 * time.Millisecond, Backoff: 5 * time.Millisecond,
	}
	if f.tune != nil {
		f.tune(id, &cfg)
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

func newFleet(t *testing.T, centres, perCentre int, tune func(string, *weights.Config)) *fleet {
	f := &fleet{t: t, origin: newOrigin(), tune: tune}
	for c := range centres {
		for range perCentre {
			f.start(fmt.Sprintf("dc-%d", c), "prairie")
		}
	}
	f.publish()
	return f
}

// publish gives all agents the view of the given agents, or of all.
func (f *fleet) publish(without ...*agent) {
	var peers []message.Peer
	for _, a := range f.agents {
		gone := false
		for _, w := range without {
			gone = gone || w == a
		}
		if !gone {
			peers = append(peers, a.peer)
		}
	}
	for _, a := range f.agents {
		a.SetPeers(peers)
	}
}

func (f *fleet) target(version string) {
	for _, a := range f.agents {
		a.SetTarget(version)
	}
}

func (f *fleet) expectReady(version string, without ...*agent) {
	f.t.Helper()
	g := NewWithT(f.t)
	for _, a := range f.agents {
		if len(without) > 0 && a == without[0] {
			continue
		}
		g.Eventually(func() string { return a.Status().Ready }, patience, 2*time.Millisecond).Should(Equal(version), func() string { return fmt.Sprintf("%s %+v", a.peer.NodeID, a.Status()) })
	}
}

func seeds(from, to uint64) (out []uint64) {
	for s := from; s < to; s++ {
		out = append(out, s)
	}
	return out
}

var errDown = errors.New("origin is down")
