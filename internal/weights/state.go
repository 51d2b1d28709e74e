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

func (m *Manager) complete(manifest *Manifest) bool {
	return len(m.store.missing(manifest.unique)) == 0
}

func (m *Manager) inCompleteVersion(hash string) bool {
	m.mu.Lock()
	var with []*Manifest
	for _, manifest := range m.manifests {
		for _, c := range manifest.unique {
			if c.Hash == hash {
				with = append(with, manifest)
				break
			}
		}
	}
	m.mu.Unlock()
	for _, manifest := range with {
		if m.complete(manifest) {
			return true
		}
	}
	return false
}

// addManifest keeps a verified manifest and forgets the oldest one that is not in use.
func (m *Manager) addManifest(manifest *Manifest) {
	m.mu.Lock()
	if m.manifests[manifest.version] == nil {
		m.recent = append(m.recent, manifest.version)
	}
	m.manifests[manifest.version] = manifest
	for i := 0; len(m.recent) > maxManifests && i < len(m.recent); i++ {
		version := m.recent[i]
		if version == m.target || version == m.loaded || version == m.loading || version == m.ready {
			continue
		}
		delete(m.manifests, version)
		m.recent = append(m.recent[:i:i], m.recent[i+1:]...)
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
	wanted := make(map[string]bool)
	if manifest := m.manifests[m.target]; manifest != nil {
		target = append(target, manifest)
		for _, c := range manifest.unique {
			wanted[c.Hash] = true
		}
	}
	if manifest := m.manifests[m.loading]; manifest != nil {
		target = append(target, manifest)
	}
	if manifest := m.manifests[m.loaded]; manifest != nil {
		loaded = append(loaded, manifest)
	}
	m.wanted = wanted
	m.mu.Unlock()
	m.store.setRanks(target, loaded)
}

func (m *Manager) planFor(key, version string) (plan, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return makePlan(key, version, m.selfPeer(), m.peers), m.generation
}

func (m *Manager) selfPeer() message.Peer {
	return message.Peer{NodeID: m.cfg.Self.NodeID, DataCentre: m.cfg.Self.DataCentre, Region: m.cfg.Self.Region}
}

// unsettled returns how long a transfer has to wait for the views to settle, 0 when they have.
func (m *Manager) unsettled() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	settled := m.changedView.Add(m.cfg.ViewSettle)
	if limit := m.firstView.Add(m.cfg.ViewWait); settled.After(limit) {
		settled = limit
	}
	return max(0, time.Until(settled))
}

// sourceRounds is the number of rounds in which a reader reads its chunks from the origin. The origin's bandwidth is divided
// among all reads in progress, so with many of them every first chunk is late and the links between agents stay idle meanwhile:
// with 16 for each of 12 agents the first chunks arrived after 1.2 of 4 s. A fixed share makes all readers end together.
const sourceRounds = 16

// sourceWindow returns the number of chunks that a reader of so many reads at once.
func (m *Manager) sourceWindow(chunks int) int {
	if m.cfg.Baseline {
		return m.cfg.Window
	}
	return max(1, min(m.cfg.Window, (chunks+sourceRounds-1)/sourceRounds))
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
func (m *Manager) fetching(hash string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wanted[hash] && time.Since(m.progressed) < m.cfg.PendingLimit/3
}

func (m *Manager) isReading(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reading[key] > 0
}

func (m *Manager) setReading(key string, delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reading[key] += delta; m.reading[key] <= 0 {
		delete(m.reading, key)
	}
}

func (m *Manager) addDemand(hash string, delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.demand[hash] += delta; m.demand[hash] <= 0 {
		delete(m.demand, hash)
	}
}

func (m *Manager) avoided(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.corrupt[id] >= corruptLimit || time.Now().Before(m.avoidUntil[id])
}

// maxAvoidDoublings bounds the growth of the time for which a peer that fails again is avoided.
const maxAvoidDoublings = 4

// avoid keeps requests away from a peer that stalled or could not be reached. Requests that were outstanding together count
// as one failure.
func (m *Manager) avoid(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.avoidUntil[id]) {
		return
	}
	m.avoidUntil[id] = time.Now().Add(m.cfg.AvoidFor << min(m.failures[id], maxAvoidDoublings))
	m.failures[id]++
}

// succeeded ends the growth of the time for which a peer is avoided.
func (m *Manager) succeeded(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.failures, id)
}

func (m *Manager) countCorrupt(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.corrupt[id]++
}

func (m *Manager) countReceived(source string, n int) {
	m.mu.Lock()
	m.received[source] += int64(n)
	m.progressed = time.Now()
	m.mu.Unlock()
}

// setError keeps the newest failure and tells whether it is the first of the transfer.
func (m *Manager) setError(err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.lastError == ""
	m.lastError = err.Error()
	return first
}
