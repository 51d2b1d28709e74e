package entry

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// ErrNotLinked means that no link to the agent is open.
var ErrNotLinked = errors.New("entry: no link to the agent")

// SendToAgent sends a control message such as SwapPermit or SwapRevoke to an agent. A nil error does not mean that the agent
// received it. It returns ErrNotLinked, or the error of the link.
func (e *Entry) SendToAgent(ctx context.Context, agentID string, m message.Message) error {
	u, ok := e.table.Upstream(agentID)
	if !ok {
		return errors.Wrapf(ErrNotLinked, "agent %s", agentID)
	}
	return u.Conn.Send(ctx, m)
}
