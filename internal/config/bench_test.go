package config_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/pimentohead/pimentohead/internal/config"
)

// validDocument returns the text of a valid configuration with the given number of callers.
func validDocument(callers int) string {
	var out strings.Builder
	out.WriteString("[fleet]\nname = \"size\"\n[[priority]]\nname = \"urgent\"\ntarget = \"1s\"\n[[pool]]\nname = \"desk\"\n" +
		"kind = \"service\"\n[[route]]\npath = \"/\"\npool = \"desk\"\npriority = \"urgent\"\n")
	for i := range callers {
		sum := sha256.Sum256([]byte{byte(i), byte(i >> 8)})
		fmt.Fprintf(&out, "[[caller]]\nname = \"caller-%d\"\nkey_sha256 = %q\nrate = 50.0\n", i, hex.EncodeToString(sum[:]))
	}
	return out.String()
}

// BenchmarkActivate measures the work of a node for a new revision: apply the delta, check the digest, parse and validate.
func BenchmarkActivate(b *testing.B) {
	for _, callers := range []int{10, 300, 2000} {
		text := validDocument(callers)
		old := config.Envelope{Revision: 1, Digest: config.Digest(text), Text: text}
		changed := strings.Replace(text, "rate = 50.0", "rate = 51.0", 1)
		delta := config.MakeDelta(old, config.Envelope{Revision: 2, Base: 1, Digest: config.Digest(changed), Text: changed})
		b.Run(fmt.Sprintf("%dKiB", len(text)>>10), func(b *testing.B) {
			for b.Loop() {
				next, err := config.ApplyDelta(old, delta)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := config.NewActive(next); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(delta)), "delta-bytes")
		})
	}
}
