package pieces

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
)

// fetch tries each source once.
func (c *Cache) fetch(ctx context.Context, v *version, chunk int, running *call) {
	err := c.fetchAny(ctx, v, chunk)
	v.mu.Lock()
	running.err = err
	delete(v.calls, chunk)
	v.mu.Unlock()
	close(running.done)
	if err != nil && ctx.Err() == nil {
		c.log.Info("weights could not be read", "model", v.model, "version", v.number, "chunk", chunk, "cause", err.Error())
	}
}

func (c *Cache) fetchAny(ctx context.Context, v *version, chunk int) error {
	if chunk != message.WholeManifest {
		waiting, cancel := context.WithTimeout(ctx, 2*peerTimeout)
		defer cancel()
		if err := c.get(waiting, v, message.WholeManifest); err != nil {
			return err
		}
	}
	at := c.where()
	if at == nil {
		return errors.WithStack(ErrNoOrigin)
	}
	var last error
	for _, from := range c.peers.WeightPeers(at.DataCentre, v.model, v.number, chunk) {
		if last = c.fetchPeer(ctx, v, chunk, from); last == nil || ctx.Err() != nil {
			return last
		}
	}
	if !c.useOrigin {
		if last == nil {
			last = errors.New("pieces: no peer is linked")
		}
		return last
	}
	return c.fetchOrigin(ctx, v, chunk, *at)
}

// fetchPeer asks one node and keeps what it sends.
func (c *Cache) fetchPeer(ctx context.Context, v *version, chunk int, from Source) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := c.peers.FetchWeights(ctx, from, v.model, v.number, chunk)
	if err != nil {
		return err
	}
	return c.keep(v, chunk, reply.Digests, reply.Data)
}

func (c *Cache) fetchOrigin(ctx context.Context, v *version, chunk int, at catalog.Origin) error {
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	if chunk == message.WholeManifest {
		digests, err := c.origin.Manifest(ctx, at, v.model, v.number)
		if err != nil {
			return err
		}
		return c.keep(v, chunk, digests, nil)
	}
	data, err := c.origin.Chunk(ctx, at, v.model, v.number, chunk)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.copies += uint64(len(data))
	c.mu.Unlock()
	return c.keep(v, chunk, nil, data)
}

// fetchHeld asks sources for a chunk that they hold. It returns ErrNotAvailable if none of them does.
func (c *Cache) fetchHeld(ctx context.Context, v *version, chunk int, sources []Source) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	last := errors.New("pieces: no peer is linked")
	for _, from := range sources {
		from.HeldOnly = true
		if last = c.fetchPeer(ctx, v, chunk, from); last == nil {
			return nil
		}
	}
	return errors.Mark(last, ErrNotAvailable)
}
