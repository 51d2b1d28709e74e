package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 2 * time.Second
)

// startDialers starts a task for each peer in the settings, except this entry itself, that maintains a link to it.
func (e *Entry) startDialers(ctx context.Context) {
	for _, address := range e.settings.Entry.Peers {
		if address == e.self.Address || address == e.LinkAddress() {
			continue
		}
		e.startTask(ctx, "dial "+address, func(ctx context.Context) error {
			e.maintainLink(ctx, address)
			return nil
		})
	}
}

// maintainLink maintains a link to the entry at address until ctx ends. It dials, with exponential backoff and jitter, only while
// there is no open link to that entry, whichever side dialled it.
func (e *Entry) maintainLink(ctx context.Context, address string) {
	peerID, backoff := "", minDialBackoff
	for ctx.Err() == nil {
		if existing := e.links.find(peerID, address); existing != nil {
			select {
			case <-existing.Done():
			case <-ctx.Done():
			}
			continue
		}
		if conn, err := link.Dial(ctx, address, e.self, e.linkCfg, e.heartbeat); err != nil {
			telemetry.Debug(e.log).Info("cannot dial the peer", "address", address, "cause", err.Error())
		} else if peerID = conn.Peer().NodeID; peerID == e.self.NodeID {
			conn.Close()
			return // The settings may list this entry's own address in another form.
		} else {
			e.serveLink(ctx, conn, true)
			backoff = minDialBackoff
		}
		pause(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxDialBackoff)
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
