package chunkcache

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
)

// fetch tries each source once, records the result in shared, and wakes the callers that wait for it.
func (c *Cache) fetch(ctx context.Context, v *cachedVersion, chunk int, shared *sharedFetch) {
	err := c.fetchFromSources(ctx, v, chunk)
	v.mu.Lock()
	shared.err = err
	delete(v.fetches, chunk)
	if err != nil {
		v.needed(chunk)
	}
	v.mu.Unlock()
	close(shared.done)
	if err != nil && ctx.Err() == nil {
		if failures := v.failuresToLog(); failures > 0 {
			c.log.Info("weights could not be read", "model", v.model, "version", v.number, "chunk", chunk, "failures", failures, "cause", err.Error())
		}
	}
}

// failureLogInterval is the shortest time between log lines about failed fetches of one version.
const failureLogInterval = time.Second

// failuresToLog counts a failed fetch. It returns the number of failures since the last log line, or 0 if none is due.
func (v *cachedVersion) failuresToLog() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unloggedFailures++
	if time.Since(v.failureLoggedAt) < failureLogInterval {
		return 0
	}
	failures := v.unloggedFailures
	v.unloggedFailures, v.failureLoggedAt = 0, time.Now()
	return failures
}

// fetchFromSources fetches a chunk or the manifest from the first source that delivers it: the peers in order, then the origin if
// this node may read it. If the manifest is missing, it is fetched before a chunk, as a chunk cannot be verified without it.
func (c *Cache) fetchFromSources(ctx context.Context, v *cachedVersion, chunk int) error {
	if chunk != message.WholeManifest {
		waitCtx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
		defer cancel()
		if _, err := c.ensure(waitCtx, v, message.WholeManifest); err != nil {
			return err
		}
	}
	origin := c.currentOrigin()
	if origin == nil {
		return errors.WithStack(ErrNoOrigin)
	}
	var lastErr error
	for _, source := range c.peers.WeightPeers(origin.DataCentre, v.model, v.number, chunk) {
		if lastErr = c.fetchFromPeer(ctx, v, chunk, source); lastErr == nil || ctx.Err() != nil {
			v.logManifest(c.log, chunk, source.NodeID, lastErr)
			return lastErr
		}
	}
	if !c.useOrigin {
		if lastErr == nil {
			lastErr = errors.New("chunkcache: no peer is linked")
		}
		return lastErr
	}
	if !c.peers.MayReadOrigin(origin.DataCentre, v.model, v.number, chunk, v.need(chunk)) {
		return errors.CombineErrors(errors.WithStack(ErrNotReader), lastErr)
	}
	err := c.fetchFromOrigin(ctx, v, chunk, *origin)
	v.logManifest(c.log, chunk, originSource, err)
	return err
}

// logManifest logs that the manifest was read, if chunk is message.WholeManifest and err is nil.
func (v *cachedVersion) logManifest(log logr.Logger, chunk int, source string, err error) {
	if chunk == message.WholeManifest && err == nil {
		log.Info("manifest read", "model", v.model, "version", v.number, "source", source, "waited_ms", time.Since(v.addedAt).Milliseconds())
	}
}

// fetchFromPeer requests a chunk or the manifest from one node and stores it if it passes verification.
func (c *Cache) fetchFromPeer(ctx context.Context, v *cachedVersion, chunk int, source Source) error {
	ctx, cancel := context.WithTimeout(ctx, v.requestTimeout(chunk))
	defer cancel()
	reply, err := c.peers.FetchWeights(ctx, source, v.model, v.number, chunk)
	if err != nil {
		return err
	}
	if chunk == message.WholeManifest {
		return c.storeManifest(v, reply.Digests)
	}
	return c.storeChunk(v, chunk, reply.Data, reply.Digest, source.NodeID)
}

// requestTimeout bounds a request to a peer. A manifest is small, so that a peer that does not send it soon lacks it; the next one may have it.
// When the fleet starts, most peers lack it. The timeout grows while the manifest is needed, as links may be slow.
func (v *cachedVersion) requestTimeout(chunk int) time.Duration {
	if chunk != message.WholeManifest {
		return peerTimeout
	}
	return min(max(v.waited(chunk)/2, minManifestTimeout), peerTimeout)
}

// originSource names the origin in logs.
const originSource = "origin"

// fetchFromOrigin reads a chunk or the manifest from the origin within 2*peerTimeout, as soon as the limits of reads allow it, and stores it if
// it passes verification. If a chunk does not match, the manifest may be wrong, and is read again: other nodes may hold the same one.
func (c *Cache) fetchFromOrigin(ctx context.Context, v *cachedVersion, chunk int, origin catalog.Origin) error {
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	digests, data, err := c.readOrigin(ctx, v, chunk, origin)
	if err != nil {
		return err
	}
	if chunk == message.WholeManifest {
		return c.storeManifest(v, digests)
	}
	mismatch := c.storeChunk(v, chunk, data, "", originSource)
	if !errors.Is(mismatch, ErrCorrupt) {
		return mismatch
	}
	if digests, _, err = c.readOrigin(ctx, v, message.WholeManifest, origin); err != nil {
		return errors.CombineErrors(mismatch, err)
	}
	if err := checkDigests(digests, c.chunkCount(v.model)); err != nil || chunk >= len(digests) || !MatchesDigest(data, digests[chunk]) {
		return errors.CombineErrors(mismatch, err)
	}
	c.replaceManifest(v, digests)
	return c.storeChunk(v, chunk, data, digests[chunk], originSource)
}

// readOrigin reads the digests of the manifest, or the data of a chunk, from the origin, as soon as the limits of reads allow it.
func (c *Cache) readOrigin(ctx context.Context, v *cachedVersion, chunk int, origin catalog.Origin) (digests []string, data []byte, err error) {
	err = c.access.do(ctx, origin.MaxConns, func() (err error) {
		concurrent := c.originReads.Add(1)
		defer c.originReads.Add(-1)
		started := time.Now()
		if chunk == message.WholeManifest {
			digests, err = c.origin.Manifest(ctx, origin, v.model, v.number)
		} else {
			data, err = c.origin.Chunk(ctx, origin, v.model, v.number, chunk)
		}
		if err != nil {
			c.log.Info("origin could not be read", "model", v.model, "version", v.number, "chunk", chunk, "concurrent", concurrent,
				"took_ms", time.Since(started).Milliseconds(), "cause", err.Error())
		}
		return err
	})
	c.mu.Lock()
	c.originBytes += uint64(len(data))
	c.mu.Unlock()
	return digests, data, err
}

// fetchFromHolders requests a chunk with HeldOnly from each source in order. It returns ErrNotAvailable if none delivers it.
// peerTimeout bounds all requests together.
func (c *Cache) fetchFromHolders(ctx context.Context, v *cachedVersion, chunk int, sources []Source) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	lastErr := errors.New("chunkcache: no peer is linked")
	for _, source := range sources {
		source.HeldOnly = true
		if lastErr = c.fetchFromPeer(ctx, v, chunk, source); lastErr == nil {
			return nil
		}
	}
	return errors.Mark(lastErr, ErrNotAvailable)
}
