package confsync_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a store that fills up: history and submission records must not grow without bound.
func TestHistoryAndSubmissionRecordsAreBounded(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		s := newStore()
		a, _ := newSyncer("a", s)
		for i := range uint64(1005) {
			_, err := a.Submit(t.Context(), submission(i, fmt.Sprintf("sub-%d", i), "first"))
			g.Expect(err).NotTo(HaveOccurred())
		}
		history := 0
		for key, kv := range s.keys {
			if len(key) > len("/pimentohead/history/") && key[:len("/pimentohead/history/")] == "/pimentohead/history/" {
				history++
				continue
			}
			g.Expect(kv.Lease != 0).To(Equal(key != "/pimentohead/config"), key)
		}
		g.Expect(history).To(Equal(1000))
		g.Expect(s.grants).To(Equal(1))
	})
}
