package weights

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// maxManifests bounds the number of manifests in memory. Those of versions in use are kept beyond it.
const maxManifests = 8

// maxCorruptObjects is the number of corrupt objects after which a peer receives no more requests while it stays in the view.
const maxCorruptObjects = 3

// Manager stores the weights of one agent, fetches the target version and serves peers. It is safe for concurrent use.
type Manager struct {
	cfg             Config
	store           *chunkStore
	links           *peerLinks
	uploadLimiter   *limiter
	downloadLimiter *limiter
	metrics         *transferMetrics
	// targetChanged wakes Run after a change of the target, peersChanged the transfer after a change of the membership.
	targetChanged chan struct{}
	peersChanged  chan struct{}
	// firstViewReceived is closed when the first view of peers arrives.
	firstViewReceived chan struct{}
	firstViewOnce     sync.Once

	// mu guards all fields below.
	mu     sync.Mutex
	target string
	// loaded is the version that the engine serves, loading the one that it is loading.
	loaded  string
	loading string
	// ready is the version of the last transfer that was completed.
	ready string
	// lastError is the latest failure of the current transfer.
	lastError string
	// transfers counts transfers since the process started.
	transfers int
	manifests map[string]*Manifest
	// manifestOrder lists the versions of manifests, oldest first.
	manifestOrder []string
	// peers is the latest view of live agents.
	peers []message.Peer
	// firstViewAt is the time of the first view, lastPeerChangeAt that of the latest view that changed the set of peers.
	firstViewAt, lastPeerChangeAt time.Time
	// generation is the membership generation, the number of changes of the set of peers.
	generation uint64
	// targetChunks is the set of chunk hashes of the current target.
	targetChunks map[string]bool
	// sourceReads counts the reads from the origin or the weight store that are in progress, by object key.
	sourceReads map[string]int
	// peerDemand counts the requests of peers that are being held, by chunk hash.
	peerDemand map[string]int
	// lastProgressAt is the time at which the last object was stored or the transfer started.
	lastProgressAt time.Time
	// corruptObjects counts the corrupt objects received, by node ID.
	corruptObjects map[string]int
	// avoidUntil is the time until which a peer receives no requests, by node ID.
	avoidUntil map[string]time.Time
	// consecutiveFailures counts stalls and failed links without a success in between, by node ID.
	consecutiveFailures map[string]int
	// receivedBytes counts verified bytes by source, one of the From constants.
	receivedBytes map[string]int64
}

// New returns a manager. The caller has to start Run and Serve. It returns an error when cfg has no origin or a metric cannot be
// created.
func New(cfg Config) (*Manager, error) {
	cfg.setDefaults()
	if cfg.Origin == nil {
		return nil, errors.New("weights: an origin is required")
	}
	metrics, err := newTransferMetrics(cfg.Meter)
	if err != nil {
		return nil, errors.Wrap(err, "weights: cannot create the metrics")
	}
	m := &Manager{
		cfg: cfg, metrics: metrics, store: newChunkStore(cfg.MemoryBytes),
		uploadLimiter:     newLimiter(cfg.BytesPerSecond, cfg.MinRateFraction, cfg.InFlight),
		downloadLimiter:   newLimiter(cfg.BytesPerSecond, cfg.MinRateFraction, cfg.InFlight),
		targetChanged:     make(chan struct{}, 1),
		peersChanged:      make(chan struct{}, 1),
		firstViewReceived: make(chan struct{}),
		manifests:         make(map[string]*Manifest), targetChunks: make(map[string]bool), sourceReads: make(map[string]int),
		peerDemand: make(map[string]int), corruptObjects: make(map[string]int), avoidUntil: make(map[string]time.Time),
		receivedBytes: make(map[string]int64), consecutiveFailures: make(map[string]int),
	}
	m.links = newPeerLinks(&m.cfg)
	return m, nil
}

// Status is a snapshot of the state of a Manager. Versions are given as digests.
type Status struct {
	// Target is the version that was last set by SetTarget, empty for none.
	Target string
	// Ready is the version of the last completed transfer while all its chunks are in memory, otherwise empty.
	Ready string
	// Progress is the fraction of the target's bytes that are in memory, 0..1.
	Progress float64
	// Versions lists the complete versions.
	Versions []string
	// ReceivedBytes counts verified bytes by source, one of the From constants.
	ReceivedBytes map[string]int64
	// LastError is the latest failure of the current transfer, empty for none. It is meant for operators.
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

// progress returns the fraction of the manifest's bytes that are in memory, 0..1, and 0 without a manifest.
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

// Holds reports whether all chunks of version are in memory and verified.
func (m *Manager) Holds(version string) bool {
	manifest := m.manifest(version)
	return manifest != nil && m.isComplete(manifest)
}

// SetTarget starts the transfer of version. The transfer of another version is abandoned; shared chunks are reused. An empty version
// abandons the transfer and starts none.
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

// SetLoaded sets the version that the engine serves and the one that it is loading. Their chunks are retained in preference to
// those of other versions; the version that is being loaded has the same retention rank as the target.
func (m *Manager) SetLoaded(loaded, loading string) {
	m.mu.Lock()
	changed := m.loaded != loaded || m.loading != loading
	m.loaded, m.loading = loaded, loading
	m.mu.Unlock()
	if changed {
		m.updateRanks()
	}
}

// SetPeers replaces the view of live agents of the same model. It may include this agent.
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

// dropDepartedPeers deletes the failure records of peers that are no longer in the view. The caller holds mu.
func (m *Manager) dropDepartedPeers() {
	isPresent := make(map[string]bool, len(m.peers))
	for _, p := range m.peers {
		isPresent[p.NodeID] = true
	}
	maps.DeleteFunc(m.corruptObjects, func(nodeID string, _ int) bool { return !isPresent[nodeID] })
	maps.DeleteFunc(m.consecutiveFailures, func(nodeID string, _ int) bool { return !isPresent[nodeID] })
	maps.DeleteFunc(m.avoidUntil, func(nodeID string, _ time.Time) bool { return !isPresent[nodeID] })
}

// sameAddresses reports whether both views have the same nodes at the same addresses.
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

// Run transfers each target that is set until ctx ends. A new target cancels the transfer of the previous one.
func (m *Manager) Run(ctx context.Context) {
	defer m.links.wg.Wait()
	idle := time.NewTicker(m.cfg.IdleTimeout / 2) // A link is closed at most half an IdleTimeout late.
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

// startTransfer starts the transfer of the current target in a goroutine. The returned channel is closed when it ends.
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

// notify sends without blocking. The channel's buffer of one keeps a notification that nobody receives yet.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
