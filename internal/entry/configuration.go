package entry

import (
	"github.com/pimentohead/pimentohead/internal/controller/confsync"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// newSyncer composes the controller that keeps the configuration up to date. Without a store it learns from peers only.
func (e *Entry) newSyncer(o Options) *confsync.Syncer {
	return confsync.New(confsync.Config{
		NodeID: e.self.NodeID, Holder: e.holder, Store: o.Store, LiveEntries: e.siblings, Announce: e.links.notifyStatus,
		Log: e.log,
	})
}

// siblings returns the IDs of the other live entries of this data centre.
func (e *Entry) siblings() []string {
	var ids []string
	for _, other := range e.table.Entries() {
		if !other.Leaving && other.Node.DataCentre == e.settings.DataCentre {
			ids = append(ids, other.Node.NodeID)
		}
	}
	return ids
}

// handleConfiguration takes the messages of the configuration. It does not block.
func (e *Entry) handleConfiguration(conn *link.Conn, m message.Message) {
	switch m := m.(type) {
	case *message.ConfigRequest:
		e.syncer.HandleRequest(conn, m)
	case *message.ConfigReply:
		e.syncer.HandleReply(conn, m)
	}
}
