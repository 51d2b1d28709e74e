package weights

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// maxManifests bounds the versions whose manifests are kept.
const maxManifests = 8

// corruptLimit is the number of corrupt chunks after which a peer is not asked any more.
const corruptLimit = 3

// Manager holds the weights of one agent and fetches the target version.
type Manager struct {
	cfg             Config
	store           *chunkStore
	links           *peerLinks
	uploadLimiter   *limiter
	downloadLimiter *limiter
	metrics         *transferMetrics
	// poke wakes Run after the target changed; views wakes the transfer after the membership changed.
	targetChanged chan struct{}
	peersChanged  chan struct{}
	// viewed is closed at the first view.
	firstViewReceived chan struct{}
	firstViewOnce     sync.Once

	// mu guards all fields below.
	mu        sync.Mutex
	target    string
	loaded    string
	loading   string
	ready     string
	lastError string
	// transfers counts transfers since the process started.
	transfers int
	manifests map[string]*Manifest
	// recent lists the versions of manifests, oldest first.
	manifestOrder []string
	peers         []message.Peer
	// firstView is the time of the first view, changedView that of the last one that changed the set of peers.
	firstViewAt, lastPeerChangeAt time.Time
	// generation counts changes of the set of peers.
	generation uint64
	// wanted holds the chunks of the current target, reading counts reads from a source that are in progress.
	targetChunks map[string]bool
	sourceReads  map[string]int
	peerDemand   map[string]int
	// progressed is the time of the last chunk that was stored, or of the start of the transfer.
	lastProgressAt time.Time
	corruptChunks  map[string]int
	avoidUntil     map[string]time.Time
	// failures counts stalls and failed links in a row.
	consecutiveFailures map[string]int
	receivedBytes       map[string]int64
}

// New returns a manager. Run and Serve have to be started by the caller.
func New(cfg Config) (*Manager, error) {
	cfg.setDefaults()
	if cfg.Origin == nil {
		return nil, errors.New("weights: an origin is required")
	}
	metrics, err := newTransferMetrics(cfg.Meter)
	if err != nil {
		return nil, errors.Wrap(err, "weights: metrics")
	}
	m := &Manager{
		cfg: cfg, metrics: metrics, store: newChunkStore(cfg.MemoryBytes),
		uploadLimiter:     newLimiter(cfg.BytesPerSecond, cfg.MinRateFraction, cfg.InFlight),
		downloadLimiter:   newLimiter(cfg.BytesPerSecond, cfg.MinRateFraction, cfg.InFlight),
		targetChanged:     make(chan struct{}, 1),
		peersChanged:      make(chan struct{}, 1),
		firstViewReceived: make(chan struct{}),
		manifests:         make(map[string]*Manifest), targetChunks: make(map[string]bool), sourceReads: make(map[string]int),
		peerDemand: make(map[string]int), corruptChunks: make(map[string]int), avoidUntil: make(map[string]time.Time),
		receivedBytes: make(map[string]int64), consecutiveFailures: make(map[string]int),
	}
	m.links = newPeerLinks(&m.cfg)
	return m, nil
}

// Status describes what the manager holds.
type Status struct {
	Target string
	// Ready is the newest complete and verified version, empty for none.
	Ready string
	// Progress is the fraction of the target's bytes held, 0..1.
	Progress float64
	// Versions lists the complete versions.
	Versions []string
	// ReceivedBytes counts verified bytes by source.
	ReceivedBytes map[string]int64
	// LastError is the newest failure of the current transfer, for operators.
	LastError string
}

// Status returns the current state.
func (m *Manager) Status() Status {
	m.mu.Lock()
	s := Status{Target: m.target, ReceivedBytes: maps.Clone(m.receivedBytes), LastError: m.lastError}
	ready := m.ready
	target := m.manifests[m.target]
	var manifests []*Manifest
	for _, version := range m.manifestOrder {
		manifests = append(manifests, m.manifests[version])
	}
	m.mu.Unlock()
	for _, manifest := range manifests {
		if !m.isComplete(manifest) {
			continue
		}
		s.Versions = append(s.Versions, manifest.version)
		if manifest.version == ready {
			s.Ready = ready
		}
	}
	s.Progress = m.progress(target)
	return s
}

func (m *Manager) progress(target *Manifest) float64 {
	if target == nil {
		return 0
	}
	var total, missing int64
	for _, c := range target.unique {
		total += c.Size
	}
	for _, c := range m.store.missing(target.unique) {
		missing += c.Size
	}
	if total == 0 {
		return 1
	}
	return float64(total-missing) / float64(total)
}

// Holds tells whether version is complete and verified.
func (m *Manager) Holds(version string) bool {
	manifest := m.manifest(version)
	return manifest != nil && m.isComplete(manifest)
}

// SetTarget starts the transfer of version. The transfer of another version is abandoned; shared chunks are reused.
func (m *Manager) SetTarget(version string) {
	m.mu.Lock()
	changed := version != m.target
	m.target = version
	m.mu.Unlock()
	if changed {
		m.updateRanks()
		notify(m.targetChanged)
	}
}

// SetLoaded names the version that the engine serves and the one that it is loading. Their chunks are kept before those of
// other versions; the version that is being loaded is kept like the target.
func (m *Manager) SetLoaded(loaded, loading string) {
	m.mu.Lock()
	changed := m.loaded != loaded || m.loading != loading
	m.loaded, m.loading = loaded, loading
	m.mu.Unlock()
	if changed {
		m.updateRanks()
	}
}

// SetPeers replaces the view of live agents that hold the same model. The agent itself may be among them.
func (m *Manager) SetPeers(peers []message.Peer) {
	now := time.Now()
	m.mu.Lock()
	changed := !sameAddresses(m.peers, peers)
	m.peers = append([]message.Peer(nil), peers...)
	if m.firstViewAt.IsZero() {
		m.firstViewAt, m.lastPeerChangeAt = now, now
	}
	if changed {
		m.lastPeerChangeAt = now
		m.generation++
		m.dropDepartedPeers()
	}
	m.mu.Unlock()
	m.firstViewOnce.Do(func() { close(m.firstViewReceived) })
	if changed {
		m.cfg.Log.Info("peers changed", "peers", len(peers))
		notify(m.peersChanged)
	}
}

// forgetAbsent drops what is known about peers that are gone. The caller holds mu.
func (m *Manager) dropDepartedPeers() {
	isPresent := make(map[string]bool, len(m.peers))
	for _, p := range m.peers {
		isPresent[p.NodeID] = true
	}
	maps.DeleteFunc(m.corruptChunks, func(nodeID string, _ int) bool { return !isPresent[nodeID] })
	maps.DeleteFunc(m.consecutiveFailures, func(nodeID string, _ int) bool { return !isPresent[nodeID] })
	maps.DeleteFunc(m.avoidUntil, func(nodeID string, _ time.Time) bool { return !isPresent[nodeID] })
}

func sameAddresses(a, b []message.Peer) bool {
	addresses := make(map[string]string, len(a))
	for _, p := range a {
		addresses[p.NodeID] = p.Address
	}
	for _, p := range b {
		if address, ok := addresses[p.NodeID]; !ok || address != p.Address {
			return false
		}
	}
	return len(a) == len(b)
}

// Run transfers targets until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	defer m.links.wg.Wait()
	idle := time.NewTicker(m.cfg.IdleTimeout / 2)
	defer idle.Stop()
	cancel, done := func() {}, closedChannel()
	defer func() { cancel(); <-done }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			m.links.closeExpired()
		case <-m.targetChanged:
			cancel()
			<-done
			cancel, done = m.startTransfer(ctx)
		}
	}
}

// start runs the transfer of the current target on its own goroutine.
func (m *Manager) startTransfer(ctx context.Context) (context.CancelFunc, <-chan struct{}) {
	transferCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	m.mu.Lock()
	version := m.target
	m.transfers++
	m.lastError = ""
	m.lastProgressAt = time.Now()
	t := &transfer{manager: m, linkCtx: ctx, version: version, firstTransfer: m.transfers == 1, generation: m.generation,
		pendingSince: make(map[string]time.Time)}
	m.mu.Unlock()
	go func() {
		defer close(done)
		if version != "" {
			t.transferVersion(transferCtx)
		}
	}()
	return cancel, done
}

func closedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
