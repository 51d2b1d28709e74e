package entry

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// agentSendTimeout bounds the wait for room in the ring of an agent's link.
const agentSendTimeout = 200 * time.Millisecond

// Send implements rollout.Sender: it sends a control message such as SwapPermit or SwapRevoke to an agent. A nil error does not
// mean that the agent received it.
func (e *Entry) Send(conn *link.Conn, m message.Message) error {
	ctx, stop := context.WithTimeout(context.Background(), agentSendTimeout)
	defer stop()
	return conn.Send(ctx, m)
}
