package confsync_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a store that keeps an older configuration than the one in force after it was restored from an earlier copy: every
// submission was then refused, nodes that started read the older one, and a repeated submission was reported as a conflict.
func TestConfigurationLostByTheStoreIsPutBack(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		a, holder := newSyncer("a", s)
		_, err := a.Submit(t.Context(), testSubmission(0, "sub-1", "first"))
		g.Expect(err).NotTo(HaveOccurred())
		runSyncers(t, a)
		advance(time.Second)
		earlier := s.copy()
		for i, name := range []string{"second", "third"} {
			_, err = a.Submit(t.Context(), testSubmission(uint64(i+1), "sub-"+name, name))
			g.Expect(err).NotTo(HaveOccurred())
		}
		s.restore(earlier)
		advance(6 * time.Second)
		g.Expect(holder.Revision()).To(BeEquivalentTo(3))
		g.Expect(s.storedConfig(g).Text).To(Equal(testDocument("third")))

		// An entry that has just started knows the store only.
		b, _ := newSyncer("b", s)
		g.Expect(b.Submit(t.Context(), testSubmission(1, "sub-second", "second"))).To(HaveField("Revision", uint64(2)))
		g.Expect(b.Submit(t.Context(), testSubmission(3, "sub-fourth", "fourth"))).To(HaveField("Revision", uint64(4)))
		advance(6 * time.Second)
		g.Expect(holder.Current().Envelope.Text).To(Equal(testDocument("fourth")))
	})
}

// Guards against a submission that is refused because the store has lost the configuration on which it is based.
func TestSubmissionPutsBackTheLostConfiguration(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		a, holder := newSyncer("a", s)
		earlier := s.copy()
		_, err := a.Submit(t.Context(), testSubmission(0, "sub-1", "first"))
		g.Expect(err).NotTo(HaveOccurred())
		s.restore(earlier)
		_, err = a.Submit(t.Context(), testSubmission(1, "sub-2", "second"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(holder.Revision()).To(BeEquivalentTo(2))
		g.Expect(s.storedConfig(g).Text).To(Equal(testDocument("second")))
	})
}

// Guards against a poll that takes a value for unchanged because the restored store has given out its mod revision again.
func TestReusedModRevisionIsReadAgain(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		a, holder := newSyncer("a", s)
		earlier := s.copy()
		_, err := a.Submit(t.Context(), testSubmission(0, "sub-1", "first"))
		g.Expect(err).NotTo(HaveOccurred())
		runSyncers(t, a)
		advance(time.Second)
		s.restore(earlier)
		b, _ := newSyncer("b", s)
		_, err = b.Submit(t.Context(), testSubmission(0, "sub-b", "other"))
		g.Expect(err).NotTo(HaveOccurred())
		advance(6 * time.Second)
		g.Expect(holder.Current().Envelope.Text).To(Equal(testDocument("other")))
	})
}

// Guards against agents that keep a lost configuration for ever: an entry that had only the restored store accepted another document
// under the same revision, and agents, which read no store, ignore it.
func TestRevisionUsedTwiceIsRenumbered(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, g *WithT) {
		s := newFakeStore()
		a, holder := newSyncer("a", s)
		agent, agentHolder := newSyncer("agent", nil)
		earlier := s.copy()
		lost, err := a.Submit(t.Context(), testSubmission(0, "sub-1", "lost"))
		g.Expect(err).NotTo(HaveOccurred())
		putInForce(agentHolder, lost)
		s.restore(earlier)
		b, _ := newSyncer("b", s)
		_, err = b.Submit(t.Context(), testSubmission(0, "sub-b", "accepted"))
		g.Expect(err).NotTo(HaveOccurred())
		runSyncers(t, a, agent)
		advance(6 * time.Second)
		agent.HandleHeartbeat(connectLinks(agent, a), holder.Revision())
		advance(time.Second)
		g.Expect(agentHolder.Current().Envelope.Text).To(Equal(testDocument("accepted")))
		g.Expect(s.storedConfig(g).Revision).To(BeEquivalentTo(2))
		g.Expect(b.Submit(t.Context(), testSubmission(0, "sub-b", "accepted"))).To(HaveField("Revision", uint64(1)))
	})
}
