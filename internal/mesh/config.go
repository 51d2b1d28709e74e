package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
)

// configEncoder encodes each version of the configuration once per role of the receiver, for all links.
type configEncoder struct {
	log logr.Logger

	mu      sync.Mutex
	version int64
	encoded map[message.Role][]byte
}

// encode returns the encoded configuration for nodes of a role, or nil if c is nil or cannot be encoded. Agents get no routes
// and no customers, which they do not need.
func (e *configEncoder) encode(c *catalog.Config, role message.Role) []byte {
	if c == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version != c.Version {
		e.version, e.encoded = c.Version, map[message.Role][]byte{}
	}
	if data := e.encoded[role]; data != nil {
		return data
	}
	if role == message.RoleAgent {
		c = &catalog.Config{Version: c.Version, Services: c.Services}
	}
	data, err := message.PackConfig(c)
	if err != nil {
		e.log.Error(err, "cannot encode configuration for peers", "version", c.Version)
		return nil
	}
	e.encoded[role] = data
	return data
}

// sendConfig sends the configuration to a node that requested it.
func (m *Mesh) sendConfig(p *peer) {
	snap := m.cfg.State.Snapshot()
	if snap.Index == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
		defer cancel()
		msg := &message.FleetState{Config: m.encoder.encode(snap.Index.Config, message.RoleEntry),
			ConfigVersion: snap.ConfigVersion(), ConfigRevision: snap.ConfigRevision}
		if err := p.conn.Send(ctx, msg); err != nil {
			m.cfg.Log.V(1).Info("configuration was not sent", "peer", p.hello.NodeID, "cause", err.Error())
		}
	}()
}

// mergeConfig decodes the configuration of another node and puts it in force if it is newer.
func (m *Mesh) mergeConfig(p *peer, msg *message.FleetState) {
	config, err := message.UnpackConfig(msg.Config)
	if err != nil {
		m.cfg.Log.Error(err, "cannot decode configuration from peer", "peer", p.hello.NodeID, "revision", msg.ConfigRevision)
		return
	}
	if m.isLocalEntry(p) {
		m.versionFromLocalEntry.Store(config.Version)
	}
	if m.cfg.State.ApplyConfig(config, msg.ConfigRevision) {
		fleet.LogConfig(m.cfg.Log, config, msg.ConfigRevision, p.hello.NodeID)
	}
}

// configRequestDelay is the time for the own data centre to get a new configuration from the store before it is requested from
// a peer.
const configRequestDelay = 300 * time.Millisecond

// requestConfigLater requests a node's configuration after configRequestDelay unless that version has arrived from elsewhere
// by then. A node without any configuration requests it at once.
func (m *Mesh) requestConfigLater(p *peer, version int64) {
	if m.configRequestPending.Swap(true) {
		return
	}
	delay := configRequestDelay
	if m.cfg.State.Snapshot().Index == nil {
		delay = 0
	}
	time.AfterFunc(delay, func() {
		m.configRequestPending.Store(false)
		if m.cfg.State.Snapshot().ConfigVersion() >= version {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := p.conn.Send(ctx, &message.FleetState{RequestConfig: true}); err != nil {
			m.cfg.Log.V(1).Info("configuration request was not sent", "peer", p.hello.NodeID, "cause", err.Error())
		}
	})
}
