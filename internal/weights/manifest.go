package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/blake3"
)

// Bounds of manifests and chunks. A chunk and its message envelope have to fit into one link frame, 16 MiB by default.
// digestHexLength is the length of a digest in hexadecimal digits.
const (
	MaxManifestBytes = 8 << 20
	MaxChunkBytes    = 15 << 20
	digestHexLength  = 64
)

// Errors of this package. All are matched with errors.Is.
var (
	// ErrCorrupt means that received bytes do not match their digest or hash.
	ErrCorrupt = errors.New("weights: digest mismatch")
	// ErrMalformedManifest means that a manifest matches its digest but is malformed.
	ErrMalformedManifest = errors.New("weights: malformed manifest")
	// ErrMemoryBound means that an object does not fit into Config.MemoryBytes.
	ErrMemoryBound = errors.New("weights: memory bound reached")
	// ErrUnavailable means that a source did not supply the object.
	ErrUnavailable = errors.New("weights: source unavailable")
)

// ChunkRef identifies one chunk of a version.
type ChunkRef struct {
	// Hash is the BLAKE3-256 hash in lower-case hexadecimal digits, Size the size in bytes.
	Hash string `json:"hash"`
	Size int64  `json:"size"`
}

// Manifest lists the chunks of a version. The digest of its JSON form identifies the version.
type Manifest struct {
	Model  string     `json:"model"`
	Chunks []ChunkRef `json:"chunks"`

	// version is the SHA-256 digest of raw, the JSON form.
	version string
	raw     []byte
	// unique holds each distinct chunk once, in manifest order.
	unique []ChunkRef
}

// ParseManifest verifies raw against the SHA-256 digest version and parses it. It returns ErrCorrupt when the digest does not match
// and ErrMalformedManifest when the content is not valid.
func ParseManifest(version string, raw []byte) (*Manifest, error) {
	sum := sha256.Sum256(raw)
	if hex.EncodeToString(sum[:]) != version {
		return nil, errors.Wrapf(ErrCorrupt, "manifest %s", version)
	}
	m := &Manifest{version: version, raw: raw}
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "manifest %s", version), ErrMalformedManifest)
	}
	seen := make(map[string]int64, len(m.Chunks))
	for _, c := range m.Chunks {
		if !isDigest(c.Hash) || c.Size < 1 || c.Size > MaxChunkBytes {
			return nil, errors.Wrapf(ErrMalformedManifest, "invalid hash or size: chunk %q of %d bytes", c.Hash, c.Size)
		}
		size, known := seen[c.Hash]
		if known && size != c.Size {
			return nil, errors.Wrapf(ErrMalformedManifest, "chunk %q has two sizes", c.Hash)
		}
		if !known {
			seen[c.Hash] = c.Size
			m.unique = append(m.unique, c)
		}
	}
	return m, nil
}

// verifyChunk returns ErrCorrupt when hash is not the BLAKE3-256 hash of data.
func verifyChunk(hash string, data []byte) error {
	sum := blake3.Sum256(data)
	if hex.EncodeToString(sum[:]) != hash {
		return errors.Wrapf(ErrCorrupt, "chunk %s", hash)
	}
	return nil
}

// isDigest reports whether s is a 256-bit digest in lower-case hexadecimal digits.
func isDigest(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(s) == digestHexLength && hex.EncodeToString(raw) == s
}
