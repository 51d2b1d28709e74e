package confsync_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a history or submission records that grow without bound and fill the store.
func TestHistoryAndSubmissionRecordsAreBounded(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		a, _ := newSyncer("a", s)
		for i := range uint64(1005) {
			_, err := a.Submit(t.Context(), testSubmission(i, fmt.Sprintf("sub-%d", i), "first"))
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

// Guards against a submission that fails because the reply to the grant of its lease was lost.
func TestSubmitWithoutLeaseAfterLostGrantReply(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		s.loseGrants = true
		a, _ := newSyncer("a", s)
		_, err := a.Submit(t.Context(), testSubmission(0, "sub-1", "first"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.keys["/pimentohead/submission/sub-1"].Lease).To(BeZero())
	})
}
