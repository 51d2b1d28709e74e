package entry

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// agentSendTimeout bounds the wait while the send queue of an agent's link is full.
const agentSendTimeout = 200 * time.Millisecond

// Send implements rollout.Sender: it queues a control message, such as SwapPermit or SwapRevoke, for an agent. A nil error does not
// mean that the agent has received it.
func (e *Entry) Send(conn *link.Conn, m message.Message) error {
	ctx, stop := context.WithTimeout(context.Background(), agentSendTimeout)
	defer stop()
	return conn.Send(ctx, m)
}
