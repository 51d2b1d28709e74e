package entry

import (
	"github.com/pimentohead/pimentohead/internal/controller/confsync"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// newSyncer returns the controller that keeps the configuration up to date. Without a store it receives the configuration from
// other entries only.
func (e *Entry) newSyncer(options Options) *confsync.Syncer {
	return confsync.New(confsync.Config{
		NodeID: e.self.NodeID, Holder: e.holder, Store: options.Store, LiveEntries: e.otherLocalEntryIDs,
		Announce: e.links.notifyStatus, Log: e.log,
	})
}

// otherLocalEntryIDs returns the node IDs of the other live entries of this data centre.
func (e *Entry) otherLocalEntryIDs() []string {
	var ids []string
	for _, other := range e.table.Entries() {
		if !other.Leaving && other.Node.DataCentre == e.settings.DataCentre {
			ids = append(ids, other.Node.NodeID)
		}
	}
	return ids
}

// handleConfigMessage passes a configuration message to the syncer. It does not block.
func (e *Entry) handleConfigMessage(conn *link.Conn, m message.Message) {
	switch m := m.(type) {
	case *message.ConfigRequest:
		e.syncer.HandleRequest(conn, m)
	case *message.ConfigReply:
		e.syncer.HandleReply(conn, m)
	}
}
