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

// spawnDialers starts a goroutine for each peer of the settings.
func (e *Entry) spawnDialers(ctx context.Context) {
	for _, address := range e.settings.Entry.Peers {
		if address == e.self.Address || address == e.LinkAddress() {
			continue
		}
		e.spawn(ctx, "dial "+address, func(ctx context.Context) error {
			e.keepLink(ctx, address)
			return nil
		})
	}
}

// keepLink holds a link to the entry at address. It dials only while neither side has one open.
func (e *Entry) keepLink(ctx context.Context, address string) {
	id, backoff := "", minDialBackoff
	for ctx.Err() == nil {
		if open := e.links.find(id, address); open != nil {
			select {
			case <-open.Done():
			case <-ctx.Done():
			}
			continue
		}
		if conn, err := link.Dial(ctx, address, e.self, e.linkCfg, e.status); err != nil {
			telemetry.Debug(e.log).Info("peer not reached", "address", address, "cause", err.Error())
		} else if id = conn.Peer().NodeID; id == e.self.NodeID {
			conn.Close()
			return // The settings may list the entry's own address under another form.
		} else {
			e.serveLink(ctx, conn, true)
			backoff = minDialBackoff
		}
		pause(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxDialBackoff)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
