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

const waitFor = 20 * time.Second

// origin serves versions from memory and counts chunk reads.
type origin struct {
	mu     sync.Mutex
	bodies map[string][]byte
	reads  int
}

func (o *origin) add(name string, chunks int) string {
	type ref struct {
		Hash string `json:"hash"`
		Size int    `json:"size"`
	}
	var refs []ref
	for i := range chunks {
		data := []byte(fmt.Sprintf("chunk %d of %s", i, name))
		sum := blake3.Sum256(data)
		refs = append(refs, ref{hex.EncodeToString(sum[:]), len(data)})
		o.bodies[hex.EncodeToString(sum[:])] = data
	}
	raw, _ := json.Marshal(map[string]any{"model": "hemline", "chunks": refs})
	sum := sha256.Sum256(raw)
	o.bodies[hex.EncodeToString(sum[:])] = raw
	return hex.EncodeToString(sum[:])
}

func (o *origin) Manifest(_ context.Context, version string) ([]byte, error) {
	return o.bodies[version], nil
}

func (o *origin) Chunk(_ context.Context, hash string, _ int64) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	return o.bodies[hash], nil
}

// engine is a model engine that reads versions over HTTP, and the gate in front of it.
type engine struct {
	mu     sync.Mutex
	status swap.EngineStatus
	open   bool
	// out counts open gates that were closed over all engines, to check max_unavailable.
	out *outages
}

type outages struct {
	mu       sync.Mutex
	now, max int
}

func (o *outages) add(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now += n
	o.max = max(o.max, o.now)
}

func (e *engine) Close(context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open {
		e.open = false
		e.out.add(1)
	}
	return nil
}

func (e *engine) Open(string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.open {
		e.open = true
		e.out.add(-1)
	}
}

func (e *engine) Status(context.Context) (swap.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status, nil
}

func (e *engine) Load(_ context.Context, version, source string, fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence <= e.status.Fence {
		return errors.New("409: old fencing number")
	}
	e.status.Fence, e.status.PendingVersion = fence, version
	go func() {
		err := read(version, source)
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

func read(version, source string) error {
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

// fleet stands in for the entry: its table lists the replicas, and it hands them permits.
type fleet struct {
	replicas []*replica.Replica
	conns    []*link.Conn
}

func (f *fleet) Upstreams() (ups []membership.Upstream) {
	for i, r := range f.replicas {
		a := message.Announce{Pool: "assistant", Kind: "model"}
		r.FillAnnouncement(&a)
		node := message.Hello{NodeID: fmt.Sprintf("agent-%d", i), DataCentre: "saskatoon"}
		ups = append(ups, membership.Upstream{Node: node, Announce: a, Conn: f.conns[i]})
	}
	return ups
}
func (f *fleet) Entries() []membership.Entry          { return nil }
func (f *fleet) Subscribe() (<-chan struct{}, func()) { return make(chan struct{}), func() {} }
func (f *fleet) Send(conn *link.Conn, m message.Message) error {
	for i, c := range f.conns {
		if c == conn {
			f.replicas[i].Handle(m)
		}
	}
	return nil
}

// Guards against a rollout that does not reach every replica, takes more than one out of service at a time, or reads the origin
// more than once, with the transfer, the swap sequence and the controller working together.
func TestRolloutReachesEveryReplica(t *testing.T) {
	g := NewWithT(t)
	const agents, chunks = 4, 12
	source := &origin{bodies: map[string][]byte{}}
	first, second := source.add("first", chunks), source.add("second", chunks)
	holder, out, f := config.NewHolder(), &outages{now: agents}, &fleet{}
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
	spawn := func(duty func(context.Context) error) {
		wg.Add(1)
		go func() { defer wg.Done(); _ = duty(ctx) }()
	}
	var view []message.Peer
	for i := range agents {
		e := &engine{out: out, status: swap.EngineStatus{Incarnation: 1}}
		s := &settings.Settings{Listen: settings.Listen{Link: "127.0.0.1:0", Weights: "127.0.0.1:0"}}
		s.Agent.Pool = "assistant"
		self := message.Hello{NodeID: fmt.Sprintf("agent-%d", i), Role: message.RoleAgent, DataCentre: "saskatoon", Region: "prairie"}
		r, err := replica.New(replica.Config{Settings: s, Self: self, Link: link.Config{Secret: []byte("0123456789abcdef")},
			Holder: holder, Gate: e, Engine: e, Origin: source, Log: logr.Discard()})
		g.Expect(err).NotTo(HaveOccurred())
		f.replicas, f.conns = append(f.replicas, r), append(f.conns, new(link.Conn))
		view = append(view, message.Peer{NodeID: self.NodeID, DataCentre: "saskatoon", Region: "prairie", Address: r.PeerAddress(), Pool: "assistant"})
	}
	for _, r := range f.replicas {
		r.Handle(&message.PeerView{Peers: view})
		spawn(r.Run)
	}
	controller := rollout.New(rollout.Config{Self: message.Hello{NodeID: "entry-1", DataCentre: "saskatoon"},
		Store: store.NewClient(server.URL, 1000, logr.Discard()), Holder: holder, Table: f, Sender: f,
		StartWait: time.Nanosecond, Interval: 2 * time.Millisecond, ElectionInterval: time.Millisecond})
	spawn(controller.Run)
	live := func(version string) {
		g.Eventually(func() int {
			n := 0
			for _, u := range f.Upstreams() {
				if u.Announce.State == message.StateServing && u.Announce.LoadedVersion == version {
					n++
				}
			}
			return n
		}, waitFor, 5*time.Millisecond).Should(Equal(agents))
	}
	configure(1, first)
	live(first)
	out.mu.Lock()
	out.max = 0
	out.mu.Unlock()
	configure(2, second)
	live(second)
	g.Expect(out.max).To(Equal(1))
	g.Expect(source.reads).To(Equal(2 * chunks))
}
