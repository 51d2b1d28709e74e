package replica_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/zeebo/blake3"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/controller/rollout"
	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/membership"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/replica"
	"github.com/pimentohead/pimentohead/internal/settings"
	"github.com/pimentohead/pimentohead/internal/swap"
)

const waitTimeout = 20 * time.Second

// fakeOrigin serves versions from memory and counts chunk reads.
type fakeOrigin struct {
	mu     sync.Mutex
	bodies map[string][]byte
	reads  int
}

// add creates a version of the given number of chunks and returns the hash of its manifest, which names the version.
func (o *fakeOrigin) add(name string, chunks int) string {
	type chunkRef struct {
		Hash string `json:"hash"`
		Size int    `json:"size"`
	}
	var refs []chunkRef
	for i := range chunks {
		data := []byte(fmt.Sprintf("chunk %d of %s", i, name))
		sum := blake3.Sum256(data)
		refs = append(refs, chunkRef{hex.EncodeToString(sum[:]), len(data)})
		o.bodies[hex.EncodeToString(sum[:])] = data
	}
	raw, _ := json.Marshal(map[string]any{"model": "hemline", "chunks": refs})
	sum := sha256.Sum256(raw)
	o.bodies[hex.EncodeToString(sum[:])] = raw
	return hex.EncodeToString(sum[:])
}

func (o *fakeOrigin) Manifest(_ context.Context, version string) ([]byte, error) {
	return o.bodies[version], nil
}

func (o *fakeOrigin) Chunk(_ context.Context, hash string, _ int64) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	return o.bodies[hash], nil
}

// fakeEngine is a model engine that reads the versions it loads over HTTP. It is also the gate in front of the engine.
type fakeEngine struct {
	mu     sync.Mutex
	status swap.EngineStatus
	open   bool
	// outages counts the gates of all engines that are closed, to check max_unavailable.
	outages *outageCounter
}

// outageCounter counts closed gates and records the largest number of gates that were closed at the same time.
type outageCounter struct {
	mu           sync.Mutex
	current, max int
}

func (o *outageCounter) add(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current += n
	o.max = max(o.max, o.current)
}

func (e *fakeEngine) Close(context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open {
		e.open = false
		e.outages.add(1)
	}
	return nil
}

func (e *fakeEngine) Open(string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.open {
		e.open = true
		e.outages.add(-1)
	}
}

func (e *fakeEngine) Status(context.Context) (swap.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status, nil
}

func (e *fakeEngine) Load(_ context.Context, version, source string, fencingToken uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fencingToken <= e.status.Fence {
		return errors.New("409: old fencing token")
	}
	e.status.Fence, e.status.PendingVersion = fencingToken, version
	go func() {
		err := readVersion(version, source)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.status.PendingVersion = ""
		if err != nil {
			e.status.FailedVersion, e.status.LoadError = version, err.Error()
			return
		}
		e.status.LoadedVersion = version
	}()
	return nil
}

// readVersion reads the manifest and all chunks of a version.
func readVersion(version, source string) error {
	raw, err := get(source + "/versions/" + version + "/manifest")
	if err != nil {
		return err
	}
	var m struct{ Chunks []struct{ Hash string } }
	if err := json.Unmarshal(raw, &m); err != nil {
		return err
	}
	for _, c := range m.Chunks {
		if _, err := get(source + "/chunks/" + c.Hash); err != nil {
			return err
		}
	}
	return nil
}

func get(url string) ([]byte, error) {
	response, err := http.Get(url)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s: status %d", url, response.StatusCode)
	}
	return io.ReadAll(response.Body)
}

// fakeEntry is the entry of the test: its table lists the replicas, and it passes swap permits to them.
type fakeEntry struct {
	replicas []*replica.Replica
	conns    []*link.Conn
}

func (f *fakeEntry) Upstreams() (upstreams []membership.Upstream) {
	for i, r := range f.replicas {
		announce := message.Announce{Pool: "assistant", Kind: "model"}
		r.FillAnnouncement(&announce)
		node := message.Hello{NodeID: fmt.Sprintf("agent-%d", i), DataCentre: "saskatoon"}
		upstreams = append(upstreams, membership.Upstream{Node: node, Announce: announce, Conn: f.conns[i]})
	}
	return upstreams
}
func (f *fakeEntry) Entries() []membership.Entry          { return nil }
func (f *fakeEntry) Subscribe() (<-chan struct{}, func()) { return make(chan struct{}), func() {} }
func (f *fakeEntry) Send(conn *link.Conn, m message.Message) error {
	for i, c := range f.conns {
		if c == conn {
			f.replicas[i].Handle(m)
		}
	}
	return nil
}

// Guards against a rollout that does not reach every replica, takes more than one out of service at a time, or reads a chunk
// more than once from the origin. Runs the transfer, the swap sequence and the rollout controller together.
func TestRolloutReachesEveryReplica(t *testing.T) {
	g := NewWithT(t)
	const agents, chunks = 4, 12
	source := &fakeOrigin{bodies: map[string][]byte{}}
	first, second := source.add("first", chunks), source.add("second", chunks)
	holder, outages, f := config.NewHolder(), &outageCounter{current: agents}, &fakeEntry{}
	configure := func(revision uint64, version string) {
		g.Expect(holder.Apply(&config.Active{Envelope: config.Envelope{Revision: revision}, Config: &config.Config{
			Models: []config.Model{{Name: "hemline", Version: version, MaxUnavailable: 1, Canary: 1}},
			Pools:  []config.Pool{{Name: "assistant", Kind: config.KindModel, Model: "hemline"}},
		}})).To(Succeed())
	}
	server := httptest.NewServer(fake.NewStore(fake.StoreConfig{}))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	spawn := func(task func(context.Context) error) {
		wg.Add(1)
		go func() { defer wg.Done(); _ = task(ctx) }()
	}
	var view []message.Peer
	for i := range agents {
		e := &fakeEngine{outages: outages, status: swap.EngineStatus{Incarnation: 1}}
		s := &settings.Settings{Listen: settings.Listen{Link: "127.0.0.1:0", Weights: "127.0.0.1:0"}}
		s.Agent.Pool = "assistant"
		self := message.Hello{NodeID: fmt.Sprintf("agent-%d", i), Role: message.RoleAgent, DataCentre: "saskatoon", Region: "prairie"}
		r, err := replica.New(replica.Config{Settings: s, Self: self, Link: link.Config{Secret: []byte("0123456789abcdef")},
			Holder: holder, Gate: e, Engine: e, Origin: source, Log: logr.Discard()})
		g.Expect(err).NotTo(HaveOccurred())
		f.replicas, f.conns = append(f.replicas, r), append(f.conns, new(link.Conn))
		view = append(view, message.Peer{NodeID: self.NodeID, DataCentre: "saskatoon", Region: "prairie", Address: r.PeerAddress(),
			Pool: "assistant"})
	}
	for _, r := range f.replicas {
		r.Handle(&message.PeerView{Peers: view})
		spawn(r.Run)
	}
	controller := rollout.New(rollout.Config{Self: message.Hello{NodeID: "entry-1", DataCentre: "saskatoon"},
		Store: store.NewClient(server.URL, 1000, logr.Discard()), ConfigHolder: holder, Table: f, Sender: f,
		StartWait: time.Nanosecond, ReconcileInterval: 2 * time.Millisecond, ElectionInterval: time.Millisecond})
	spawn(controller.Run)
	expectServing := func(version string) {
		g.Eventually(func() int {
			n := 0
			for _, u := range f.Upstreams() {
				if u.Announce.State == message.StateServing && u.Announce.LoadedVersion == version {
					n++
				}
			}
			return n
		}, waitTimeout, 5*time.Millisecond).Should(Equal(agents))
	}
	configure(1, first)
	expectServing(first)
	outages.mu.Lock()
	outages.max = 0
	outages.mu.Unlock()
	configure(2, second)
	expectServing(second)
	g.Expect(outages.max).To(Equal(1))
	g.Expect(source.reads).To(Equal(2 * chunks))
}
