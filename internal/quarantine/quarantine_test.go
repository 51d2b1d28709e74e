package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/quarantine"
)

// Guards against one crash that is counted twice, against a refusal of requests that only ran beside a suspect, and against a
// refusal that never expires.
func TestCrashesOfTwoIncarnationsRefuseUntilTheyExpire(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	list := quarantine.New(func() time.Time { return now }, 0)
	crash := quarantine.Crash{AgentID: "agent-1", Incarnation: 1}
	g.Expect(list.Level("f")).To(Equal(quarantine.Clear))
	g.Expect(list.Record("f", crash, time.Minute)).To(BeTrue())
	g.Expect(list.Record("f", crash, 0)).To(BeFalse())
	g.Expect(list.Level("f")).To(Equal(quarantine.Suspect))
	crash.Incarnation++
	g.Expect(list.Record("f", crash, 0)).To(BeTrue())
	g.Expect(list.Level("f")).To(Equal(quarantine.Refused))
	beside := quarantine.Crash{AgentID: "agent-1", Incarnation: 7, BesideSuspect: true}
	g.Expect(list.Record("neighbour", beside, 0)).To(BeTrue())
	beside.Incarnation++
	g.Expect(list.Record("neighbour", beside, 0)).To(BeFalse())
	g.Expect(list.Record("neighbour", crash, 0)).To(BeTrue())
	g.Expect(list.Level("neighbour")).To(Equal(quarantine.Suspect))
	now = now.Add(quarantine.DefaultRetention - time.Minute)
	g.Expect(list.Level("f")).To(Equal(quarantine.Suspect))
	now = now.Add(time.Minute)
	g.Expect(list.Level("f")).To(Equal(quarantine.Clear))
	g.Expect(list.Record("f", crash, quarantine.DefaultRetention)).To(BeFalse())
}
