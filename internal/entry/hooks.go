package entry

import (
	"context"
	"net/http"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// ConfigSync keeps the newest configuration. Package controller/confsync implements it.
type ConfigSync interface {
	// HandleMessage takes ConfigRequest and ConfigReply from the link's read goroutine. It must not block.
	HandleMessage(conn *link.Conn, m message.Message)
	// HandleHeartbeat takes every heartbeat, whose revision may be newer than the one in force. It must not block.
	HandleHeartbeat(conn *link.Conn, heartbeat message.Heartbeat)
	// Run works until ctx ends.
	Run(ctx context.Context) error
}

// Controller is a duty that runs while the entry runs, such as the rollout controller.
type Controller interface {
	Run(ctx context.Context) error
}

// Hooks are the parts of the entry that other packages provide. Nil parts are left out.
type Hooks struct {
	ConfigSync  ConfigSync
	Controllers []Controller
	// Admin serves /v1/ on the admin listener.
	Admin http.Handler
	// LeavingInstances returns the IDs that the platform's instance list shows as leaving.
	LeavingInstances func(ctx context.Context) (map[string]bool, error)
}
