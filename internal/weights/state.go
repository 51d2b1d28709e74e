package weights

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

func (m *Manager) manifest(version string) *Manifest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.manifests[version]
}

func (m *Manager) isComplete(manifest *Manifest) bool {
	return len(m.store.missing(manifest.unique)) == 0
}

func (m *Manager) inCompleteVersion(hash string) bool {
	m.mu.Lock()
	var containing []*Manifest
	for _, manifest := range m.manifests {
		for _, c := range manifest.unique {
			if c.Hash == hash {
				containing = append(containing, manifest)
				break
			}
		}
	}
	m.mu.Unlock()
	for _, manifest := range containing {
		if m.isComplete(manifest) {
			return true
		}
	}
	return false
}

// addManifest keeps a verified manifest and forgets the oldest one that is not in use.
func (m *Manager) addManifest(manifest *Manifest) {
	m.mu.Lock()
	if m.manifests[manifest.version] == nil {
		m.manifestOrder = append(m.manifestOrder, manifest.version)
	}
	m.manifests[manifest.version] = manifest
	for i := 0; len(m.manifestOrder) > maxManifests && i < len(m.manifestOrder); i++ {
		version := m.manifestOrder[i]
		if version == m.target || version == m.loaded || version == m.loading || version == m.ready {
			continue
		}
		delete(m.manifests, version)
		m.manifestOrder = append(m.manifestOrder[:i:i], m.manifestOrder[i+1:]...)
		i--
	}
	m.mu.Unlock()
	m.updateRanks()
	m.store.signal(manifest.version)
}

// updateRanks derives the retention ranks and the wanted chunks from the versions in use.
func (m *Manager) updateRanks() {
	m.mu.Lock()
	var target, loaded []*Manifest
	targetChunks := make(map[string]bool)
	if manifest := m.manifests[m.target]; manifest != nil {
		target = append(target, manifest)
		for _, c := range manifest.unique {
			targetChunks[c.Hash] = true
		}
	}
	if manifest := m.manifests[m.loading]; manifest != nil {
		target = append(target, manifest)
	}
	if manifest := m.manifests[m.loaded]; manifest != nil {
		loaded = append(loaded, manifest)
	}
	m.targetChunks = targetChunks
	m.mu.Unlock()
	m.store.setRanks(target, loaded)
}

func (m *Manager) fetchPlanFor(key, version string) (fetchPlan, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return newFetchPlan(key, version, m.selfPeer(), m.peers), m.generation
}

func (m *Manager) selfPeer() message.Peer {
	return message.Peer{NodeID: m.cfg.Self.NodeID, DataCentre: m.cfg.Self.DataCentre, Region: m.cfg.Self.Region}
}

// unsettled returns how long a transfer has to wait for the views to settle, 0 when they have.
func (m *Manager) viewSettleDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	settledAt := m.lastPeerChangeAt.Add(m.cfg.ViewSettleTime)
	if latest := m.firstViewAt.Add(m.cfg.FirstViewTimeout); settledAt.After(latest) {
		settledAt = latest
	}
	return max(0, time.Until(settledAt))
}

// sourceRounds is the number of rounds in which a reader reads its chunks from the origin. The origin's bandwidth is divided
// among all reads in progress, so with many of them every first chunk is late and the links between agents stay idle meanwhile:
// with 16 for each of 12 agents the first chunks arrived after 1.2 of 4 s. A fixed share makes all readers end together.
const originReadRounds = 16

// sourceWindow returns the number of chunks that a reader of so many reads at once.
func (m *Manager) originWindow(chunks int) int {
	if m.cfg.Baseline {
		return m.cfg.Window
	}
	return max(1, min(m.cfg.Window, (chunks+originReadRounds-1)/originReadRounds))
}

func (m *Manager) peerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

func (m *Manager) currentGeneration() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

// fetching tells whether the chunk belongs to the target and the transfer has stored something recently.
func (m *Manager) isFetching(hash string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targetChunks[hash] && time.Since(m.lastProgressAt) < m.cfg.PendingTimeout/3
}

func (m *Manager) isReadingFromSource(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sourceReads[key] > 0
}

func (m *Manager) addSourceReads(key string, delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sourceReads[key] += delta; m.sourceReads[key] <= 0 {
		delete(m.sourceReads, key)
	}
}

func (m *Manager) addPeerDemand(hash string, delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peerDemand[hash] += delta; m.peerDemand[hash] <= 0 {
		delete(m.peerDemand, hash)
	}
}

func (m *Manager) isAvoided(nodeID string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.corruptChunks[nodeID] >= corruptLimit || time.Now().Before(m.avoidUntil[nodeID])
}

// maxAvoidDoublings bounds the growth of the time for which a peer that fails again is avoided.
const maxAvoidDoublings = 4

// avoid keeps requests away from a peer that stalled or could not be reached. Requests that were outstanding together count
// as one failure.
func (m *Manager) avoid(nodeID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.avoidUntil[nodeID]) {
		return
	}
	m.avoidUntil[nodeID] = time.Now().Add(m.cfg.AvoidDuration << min(m.consecutiveFailures[nodeID], maxAvoidDoublings))
	m.consecutiveFailures[nodeID]++
}

// succeeded ends the growth of the time for which a peer is avoided.
func (m *Manager) resetFailures(nodeID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.consecutiveFailures, nodeID)
}

func (m *Manager) countCorrupt(nodeID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.corruptChunks[nodeID]++
}

func (m *Manager) countReceived(source string, n int) {
	m.mu.Lock()
	m.receivedBytes[source] += int64(n)
	m.lastProgressAt = time.Now()
	m.mu.Unlock()
}

// setError keeps the newest failure and tells whether it is the first of the transfer.
func (m *Manager) recordError(err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	isFirst := m.lastError == ""
	m.lastError = err.Error()
	return isFirst
}
