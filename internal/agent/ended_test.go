package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against ended attempts that keep their whole request in memory, and against outcomes that are lost or changed.
func TestEndedAttemptsKeepOnlyTheirOutcome(t *testing.T) {
	g := NewWithT(t)
	table := newAttemptTable()
	want := map[message.Attempt]endedCode{}
	for i, outcome := range endedOutcomes {
		for number := 1; number <= 2; number++ {
			att := &attempt{id: message.Attempt{RequestID: string(rune('a' + i)), Number: number}, submit: &message.Submit{}}
			_, full := table.add(att)
			g.Expect(full).To(BeFalse())
			att.state, att.outcome = attemptDone, outcome
			if number == 2 {
				att.state, att.outcome = attemptRevoked, ""
			}
			want[att.id] = newEndedCode(att.state, att.outcome)
			table.markEnded(att)
			table.markEnded(att)
		}
	}
	expectOutcomes := func() {
		for id, code := range want {
			existing, _ := table.add(&attempt{id: id})
			g.Expect(existing).NotTo(BeNil())
			state, outcome := code.decode()
			g.Expect(existing.state).To(Equal(state))
			g.Expect(existing.outcome).To(Equal(outcome))
			g.Expect(existing.submit).To(BeNil())
		}
	}
	g.Expect(table.active).To(BeEmpty())
	expectOutcomes()
	table.rotated = time.Now().Add(-table.retention)
	expectOutcomes()
	g.Expect(table.current).To(BeEmpty(), "ended attempts move to the previous generation")
}

// Guards against an attempt that is evicted before its entry queries its outcome: the reply would be "revoked" although it ran.
func TestOutcomesAreKeptBeyondTheDeadline(t *testing.T) {
	g := NewWithT(t)
	table := newAttemptTable()
	ran := &attempt{id: message.Attempt{RequestID: "long", Number: 1}, submit: &message.Submit{DeadlineMillis: (time.Hour).Milliseconds()}}
	table.add(ran)
	ran.state, ran.outcome = attemptDone, message.OutcomeOK
	table.markEnded(ran)
	for range 2 { // Two generations pass within the request's deadline.
		table.rotated = time.Now().Add(-59 * time.Minute)
		existing, _ := table.add(&attempt{id: ran.id, state: attemptRevoked})
		g.Expect(existing).NotTo(BeNil())
		g.Expect(existing.state).To(Equal(attemptDone))
	}
}
