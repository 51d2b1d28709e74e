package rollout

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/membership"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// fakeStore is the key-value service on the test's clock. Only what the controller uses is implemented.
type fakeStore struct {
	mu       sync.Mutex
	now      time.Time
	revision int64
	keys     map[string]store.KV
	leases   map[store.LeaseID]time.Time
	// loseAnswers makes transactions take effect and return ErrAmbiguous.
	loseAnswers bool
}

func newStore() *fakeStore {
	return &fakeStore{now: time.Unix(1000, 0), keys: map[string]store.KV{}, leases: map[store.LeaseID]time.Time{}}
}

func (s *fakeStore) clock() time.Time { s.mu.Lock(); defer s.mu.Unlock(); return s.now }

func (s *fakeStore) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(d)
	for id, end := range s.leases {
		if !s.now.Before(end) {
			s.drop(id)
		}
	}
}

func (s *fakeStore) drop(id store.LeaseID) {
	delete(s.leases, id)
	for key, kv := range s.keys {
		if kv.Lease == id {
			delete(s.keys, key)
		}
	}
}

func (s *fakeStore) Get(_ context.Context, key string) (store.KV, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kv, ok := s.keys[key]
	if !ok {
		return store.KV{}, store.ErrNotFound
	}
	return kv, nil
}

func (s *fakeStore) Txn(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := store.TxnResult{Succeeded: true}
	for _, c := range txn.If {
		kv := s.keys[c.Key]
		if c.Target == store.CompareCreate && kv.CreateRevision != c.Revision || c.Target == store.CompareMod && kv.ModRevision != c.Revision {
			return store.TxnResult{Revision: s.revision}, nil
		}
	}
	s.revision++
	for _, op := range txn.Then {
		var r store.OpResult
		switch {
		case op.Get != nil:
			if kv, ok := s.keys[op.Get.Key]; ok {
				r.KVs = []store.KV{kv}
			}
		case op.Put != nil:
			s.keys[op.Put.Key] = store.KV{Key: op.Put.Key, Value: op.Put.Value, Lease: op.Put.Lease, CreateRevision: s.revision, ModRevision: s.revision}
		case op.Delete != nil:
			delete(s.keys, op.Delete.Key)
		}
		result.Results = append(result.Results, r)
	}
	result.Revision = s.revision
	if s.loseAnswers {
		return store.TxnResult{}, store.ErrAmbiguous
	}
	return result, nil
}

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := store.LeaseID(s.revision)
	s.leases[id] = s.now.Add(ttl)
	return id, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, id store.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return 0, store.ErrLeaseNotFound
	}
	s.leases[id] = s.now.Add(10 * time.Second)
	return 10 * time.Second, nil
}

func (s *fakeStore) Revoke(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	return nil
}

func (s *fakeStore) Watch(context.Context, string, int64, func(store.Event)) error { return nil }

// sent is one message to one agent.
type sent struct {
	agent string
	m     message.Message
}

// centre is the fleet of one data centre as its entries see it.
type centre struct {
	t       *testing.T
	name    string
	store   *fakeStore
	holder  *config.Holder
	ups     []membership.Upstream
	entries []membership.Entry
	sent    []sent
}

func newCentre(t *testing.T, name string, s *fakeStore, agents int) *centre {
	c := &centre{t: t, name: name, store: s, holder: config.NewHolder()}
	for i := range agents {
		c.ups = append(c.ups, membership.Upstream{
			Node: message.Hello{NodeID: fmt.Sprintf("%s-%d", name, i), DataCentre: name}, Conn: new(link.Conn),
			Announce: message.Announce{Pool: "assistant", Kind: "model", State: message.StateServing, LoadedVersion: "v1", ReadyVersion: "v2"},
		})
	}
	return c
}

func (c *centre) Upstreams() []membership.Upstream {
	return append([]membership.Upstream(nil), c.ups...)
}
func (c *centre) Entries() []membership.Entry { return c.entries }

func (c *centre) Subscribe() (<-chan struct{}, func()) { return make(chan struct{}), func() {} }

func (c *centre) Send(conn *link.Conn, m message.Message) error {
	for _, u := range c.ups {
		if u.Conn == conn {
			c.sent = append(c.sent, sent{u.Node.NodeID, m})
		}
	}
	return nil
}

// permitted returns the agents that were sent a permit since the last call.
func (c *centre) permitted() (agents []string) {
	for _, s := range c.sent {
		if _, ok := s.m.(*message.SwapPermit); ok {
			agents = append(agents, s.agent)
		}
	}
	c.sent = nil
	return agents
}

// finish lets agent i end its swap.
func (c *centre) finish(i int, version string) { c.ups[i].Announce.LoadedVersion = version }

func (c *centre) configure(change func(*config.Model)) {
	model := config.Model{Name: "hemline", Version: "v2", MaxUnavailable: 1, Canary: 1}
	if change != nil {
		change(&model)
	}
	next := &config.Active{
		Envelope: config.Envelope{Revision: c.holder.Revision() + 1},
		Config: &config.Config{Models: []config.Model{model},
			Pools: []config.Pool{{Name: "assistant", Kind: config.KindModel, Model: "hemline"}}},
	}
	if err := c.holder.Apply(next); err != nil {
		c.t.Fatal(err)
	}
}

// entry returns a controller of the data centre that the test steps by hand.
func (c *centre) entry(id string) *Controller {
	ctl := New(Config{
		Self: message.Hello{NodeID: id, DataCentre: c.name}, Store: c.store, ConfigHolder: c.holder, Table: c, Sender: c,
		Now: c.store.clock, StartWait: time.Nanosecond,
	})
	ctl.started = c.store.clock().Add(-time.Hour)
	return ctl
}

// elected returns a controller that holds the lease and has passed its takeover wait.
func (c *centre) elected(id string) *Controller {
	ctl := c.entry(id)
	NewWithT(c.t).Expect(ctl.lease.acquire(context.Background())).To(Succeed())
	return ctl
}

// settle runs the duties of a controller once.
func settle(ctl *Controller) {
	ctl.step()
	ctl.canaries.work(context.Background())
	ctl.step()
}
