package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/quarantine"
)

// Guards against one crash that is counted twice, and against a refusal that never ends.
func TestTwoDistinctIncarnationsRefuseUntilTheyExpire(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	l := quarantine.New(func() time.Time { return now }, 0)
	a := quarantine.Crash{AgentID: "agent-1", Incarnation: 1}
	g.Expect(l.Level("f")).To(Equal(quarantine.Clear))
	g.Expect(l.Record("f", a, time.Minute)).To(BeTrue())
	g.Expect(l.Record("f", a, 0)).To(BeFalse())
	g.Expect(l.Level("f")).To(Equal(quarantine.Suspect))
	a.Incarnation++
	g.Expect(l.Record("f", a, 0)).To(BeTrue())
	g.Expect(l.Level("f")).To(Equal(quarantine.Refused))
	beside := quarantine.Crash{AgentID: "agent-1", Incarnation: 7, BesideSuspect: true}
	g.Expect(l.Record("neighbour", beside, 0)).To(BeTrue())
	beside.Incarnation++
	g.Expect(l.Record("neighbour", beside, 0)).To(BeFalse())
	g.Expect(l.Record("neighbour", a, 0)).To(BeTrue())
	g.Expect(l.Level("neighbour")).To(Equal(quarantine.Suspect))
	now = now.Add(quarantine.DefaultRetention - time.Minute)
	g.Expect(l.Level("f")).To(Equal(quarantine.Suspect))
	now = now.Add(time.Minute)
	g.Expect(l.Level("f")).To(Equal(quarantine.Clear))
	g.Expect(l.Record("f", a, quarantine.DefaultRetention)).To(BeFalse())
}
