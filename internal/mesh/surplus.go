package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/pimentohead/pimentohead/internal/pause"
)

// surplusCheckInterval is the time between checks for links that are not needed any more. A link is closed at the second check in a row that
// finds it so.
const surplusCheckInterval = 2 * time.Second

// closeSurplusLinks closes links to other data centres that this node has dialled and does not need any more, until ctx ends. Nodes that
// start know only a few others, and link to those. The other side dials again if it needs the link.
func (m *Mesh) closeSurplusLinks(ctx context.Context) {
	surplus := map[*peer]bool{}
	for {
		pause.For(ctx, surplusCheckInterval)
		if ctx.Err() != nil {
			return
		}
		found := map[*peer]bool{}
		for _, p := range m.surplusLinks() {
			if surplus[p] {
				m.cfg.Log.Info("link closed, it is not needed any more", "peer", p.hello.NodeID, "data_centre", p.hello.DataCentre)
				p.conn.Close()
			} else {
				found[p] = true
			}
		}
		surplus = found
	}
}

// surplusLinks returns the dialled links to other data centres that this node does not plan to keep. There are none while it has no link in
// its own data centre.
func (m *Mesh) surplusLinks() []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var remote []*peer
	hasLocalLink := false
	for _, p := range m.links {
		local := p.hello.DataCentre == m.cfg.Self.DataCentre
		hasLocalLink = hasLocalLink || local && isEntry(p)
		if p.dialled && !local {
			remote = append(remote, p)
		}
	}
	if !hasLocalLink || len(remote) == 0 {
		return nil
	}
	planned := m.overlayNode().Plan(m.knownEntries())
	return slices.DeleteFunc(remote, func(p *peer) bool { return slices.Contains(planned, p.hello.NodeID) })
}
