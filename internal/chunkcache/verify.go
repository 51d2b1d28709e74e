package chunkcache

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// A chunk that does not match the manifest may be wrong, or the manifest may be. The bytes of the chunk and a digest that another source has for it
// decide: if they match each other, both are right, as wrong bytes have another digest. Then the entry of the manifest is replaced. A manifest is
// never dropped, because another node may return the same one.

// digestOf returns the hex SHA-256 digest of data.
func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// MatchesDigest reports whether data has the given hex SHA-256 digest.
func MatchesDigest(data []byte, digest string) bool { return digestOf(data) == digest }

// checkDigests returns ErrCorrupt unless digests are hex SHA-256 digests, one for each chunk. A chunkCount of 0 is unknown.
func checkDigests(digests []string, chunkCount int) error {
	if len(digests) == 0 || chunkCount > 0 && len(digests) != chunkCount {
		return errors.Wrapf(ErrCorrupt, "%d digests of %d chunks", len(digests), chunkCount)
	}
	for _, digest := range digests {
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != sha256.Size {
			return errors.Wrap(ErrCorrupt, "malformed digest")
		}
	}
	return nil
}

// storeManifest stores the digests of all chunks unless they fail verification.
func (c *Cache) storeManifest(v *cachedVersion, digests []string) error {
	if err := checkDigests(digests, c.chunkCount(v.model)); err != nil {
		return errors.Wrapf(err, "version %d", v.number)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.digests = digests
	delete(v.wanted, message.WholeManifest)
	return nil
}

// storeChunk stores a chunk if it matches its digest in the manifest, otherwise it returns ErrCorrupt. If the chunk matches claimed, the digest that its
// source has for it (empty if none), the entry of the manifest is wrong, and is replaced.
func (c *Cache) storeChunk(v *cachedVersion, chunk int, data []byte, claimed, source string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if chunk < 0 || chunk >= len(v.digests) {
		return errors.Wrapf(ErrCorrupt, "version %d has no chunk %d", v.number, chunk)
	}
	if digest := digestOf(data); digest != v.digests[chunk] {
		if digest != claimed {
			return errors.Wrapf(ErrCorrupt, "chunk %d of version %d from %s does not match the manifest", chunk, v.number, source)
		}
		v.digests = slices.Clone(v.digests)
		v.digests[chunk] = digest
		c.log.Info("manifest corrected", "model", v.model, "version", v.number, "chunk", chunk, "source", source)
	}
	v.chunks[chunk] = data
	delete(v.wanted, chunk)
	v.lastChunkAt = time.Now()
	return nil
}

// replaceManifest replaces a manifest that is wrong for some chunk by one that is right there. The digests of the chunks that are held stay, as those
// match their bytes. What is wrong in the new one is corrected in the same way later.
func (c *Cache) replaceManifest(v *cachedVersion, digests []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	merged := slices.Clone(digests)
	for chunk := range v.chunks {
		if chunk >= len(merged) {
			delete(v.chunks, chunk)
			continue
		}
		merged[chunk] = v.digests[chunk]
	}
	v.digests = merged
	c.log.Info("manifest corrected", "model", v.model, "version", v.number, "source", originSource)
}
