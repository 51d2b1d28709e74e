package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a panic on arbitrary input, and against accepting a manifest whose chunks cannot be requested or stored.
func FuzzParseManifest(f *testing.F) {
	chunk := `{"hash":"` + strings.Repeat("a", digestHexLength) + `","size":5}`
	f.Add([]byte(`{"model":"hemline","chunks":[` + chunk + `,` + chunk + `]}`))
	f.Add([]byte(`{"chunks":[{"hash":"` + strings.Repeat("A", digestHexLength) + `","size":1}]}`))
	f.Add([]byte(`{"chunks":[` + chunk + `,` + strings.Replace(chunk, "5", "6", 1) + `]}`))
	f.Add([]byte(`{"chunks":[{"hash":"","size":-1}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		sum := sha256.Sum256(raw)
		version := hex.EncodeToString(sum[:])
		if _, err := ParseManifest(strings.Repeat("0", digestHexLength), raw); !errors.Is(err, ErrCorrupt) {
			t.Fatal("accepted a manifest under a digest that is not its own")
		}
		m, err := ParseManifest(version, raw)
		if err != nil {
			if !errors.Is(err, ErrMalformedManifest) {
				t.Fatalf("unclassified error %v", err)
			}
			return
		}
		seen := map[string]bool{}
		for _, c := range m.unique {
			if !isDigest(c.Hash) || c.Size < 1 || c.Size > MaxChunkBytes || seen[c.Hash] {
				t.Fatalf("accepted chunk %+v", c)
			}
			seen[c.Hash] = true
		}
		for _, c := range m.Chunks {
			if !seen[c.Hash] {
				t.Fatalf("chunk %s is not requested", c.Hash)
			}
		}
	})
}
