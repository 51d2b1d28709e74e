package weights

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// manifest returns the manifest of version, nil when it is not in memory.
func (m *Manager) manifest(version string) *Manifest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.manifests[version]
}

// isComplete reports whether all chunks of the manifest are in memory.
func (m *Manager) isComplete(manifest *Manifest) bool {
	return len(m.store.missing(manifest.unique)) == 0
}

// inCompleteVersion reports whether the chunk belongs to a version whose chunks are all in memory.
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

// addManifest stores a verified manifest. Beyond maxManifests it deletes the oldest manifests that are not in use.
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

// updateRanks derives the retention ranks and the set of target chunks from the versions in use.
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

// fetchPlanFor returns the plan of this agent for an object, and the membership generation for which it holds.
func (m *Manager) fetchPlanFor(key, version string) (fetchPlan, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return newFetchPlan(key, version, m.selfPeer(), m.peers), m.generation
}

func (m *Manager) selfPeer() message.Peer {
	return message.Peer{NodeID: m.cfg.Self.NodeID, DataCentre: m.cfg.Self.DataCentre, Region: m.cfg.Self.Region}
}

// viewSettleDelay returns how long a transfer still has to wait for the view of peers to settle, 0 when it has.
func (m *Manager) viewSettleDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	settledAt := m.lastPeerChangeAt.Add(m.cfg.ViewSettleTime)
	if latest := m.firstViewAt.Add(m.cfg.FirstViewTimeout); settledAt.After(latest) {
		settledAt = latest
	}
	return max(0, time.Until(settledAt))
}

// originReadRounds is the number of rounds in which a region reader reads its chunks from the origin. The origin's bandwidth is
// divided among all concurrent reads, so with many of them the first chunks arrive late, and the links between agents are idle
// until then: with 16 reads by each of 12 agents the first chunks arrive 1.2 s into a transfer of 4 s. With the same number of rounds
// for all region readers, they finish at the same time.
const originReadRounds = 16

// originWindow returns the number of concurrent origin reads of a region reader that has to read the given number of chunks.
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

// isFetching reports whether the chunk belongs to the target and the transfer has made progress within a third of PendingTimeout.
// Without progress, answerChunk replies with NotFound, so that the peers that wait for the chunk try their next source.
func (m *Manager) isFetching(hash string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targetChunks[hash] && time.Since(m.lastProgressAt) < m.cfg.PendingTimeout/3
}

// isReadingFromSource reports whether a read of the object from the origin or the weight store is in progress.
func (m *Manager) isReadingFromSource(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sourceReads[key] > 0
}

// addSourceReads changes the number of reads of the object from a source that are in progress.
func (m *Manager) addSourceReads(key string, delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sourceReads[key] += delta; m.sourceReads[key] <= 0 {
		delete(m.sourceReads, key)
	}
}

// addPeerDemand changes the number of requests for the chunk that are being held.
func (m *Manager) addPeerDemand(hash string, delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peerDemand[hash] += delta; m.peerDemand[hash] <= 0 {
		delete(m.peerDemand, hash)
	}
}

// isAvoided reports whether no requests may be sent to the peer, because it failed recently or sent too many corrupt objects.
func (m *Manager) isAvoided(nodeID string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.corruptObjects[nodeID] >= maxCorruptObjects || time.Now().Before(m.avoidUntil[nodeID])
}

// maxAvoidDoublings bounds how often AvoidDuration is doubled for a peer that keeps failing.
const maxAvoidDoublings = 4

// avoid records that a peer stalled or could not be reached. No requests are sent to it for AvoidDuration, doubled for each earlier
// failure in a row. Requests that fail while the peer is already avoided count as the same failure.
func (m *Manager) avoid(nodeID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.avoidUntil[nodeID]) {
		return
	}
	m.avoidUntil[nodeID] = time.Now().Add(m.cfg.AvoidDuration << min(m.consecutiveFailures[nodeID], maxAvoidDoublings))
	m.consecutiveFailures[nodeID]++
}

// resetFailures resets the count of failures in a row after a success.
func (m *Manager) resetFailures(nodeID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.consecutiveFailures, nodeID)
}

func (m *Manager) countCorrupt(nodeID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.corruptObjects[nodeID]++
}

// countReceived counts n verified bytes from a source and records the time of progress.
func (m *Manager) countReceived(source string, n int) {
	m.mu.Lock()
	m.receivedBytes[source] += int64(n)
	m.lastProgressAt = time.Now()
	m.mu.Unlock()
}

// recordError stores the latest failure and reports whether it is the first of the transfer.
func (m *Manager) recordError(err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	isFirst := m.lastError == ""
	m.lastError = err.Error()
	return isFirst
}
