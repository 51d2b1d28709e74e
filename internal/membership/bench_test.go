package membership

import (
	"fmt"
	"testing"

	"github.com/pimentohead/pimentohead/internal/message"
)

// BenchmarkView measures the time to encode a whole view and a delta with one changed agent, and their size in bytes. The target size
// of a fleet is 5,000 agents.
func BenchmarkView(b *testing.B) {
	for _, agents := range []int{92, 5000} {
		old := make([]message.Peer, agents)
		for i := range old {
			old[i] = message.Peer{
				NodeID: fmt.Sprintf("agent-%04d", i), DataCentre: "saskatoon", Region: "west", Address: "10.10.10.10:10000",
				Pool: "assistant", Versions: []string{fmt.Sprintf("%064d", i)},
			}
		}
		next := append([]message.Peer(nil), old...)
		next[agents/2].Versions = []string{fmt.Sprintf("%064d", agents)}
		for name, from := range map[string][]message.Peer{"whole": nil, "delta": old} {
			b.Run(fmt.Sprintf("%s/%d", name, agents), func(b *testing.B) {
				var frame []byte
				for b.Loop() {
					var err error
					if frame, err = message.Encode(frame[:0], DiffPeers(from, next)); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(frame)), "bytes")
			})
		}
	}
}
