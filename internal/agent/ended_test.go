package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against memory that grows with whole requests, and against an outcome that is forgotten or changed with them.
func TestEndedAttemptsKeepOnlyTheirOutcome(t *testing.T) {
	g := NewWithT(t)
	table := newAttempts()
	want := map[message.Attempt]endedCode{}
	for i, outcome := range endedOutcomes {
		for number := 1; number <= 2; number++ {
			a := &attempt{id: message.Attempt{RequestID: string(rune('a' + i)), Number: number}, submit: &message.Submit{}}
			_, full := table.add(a)
			g.Expect(full).To(BeFalse())
			a.state, a.outcome = attemptDone, outcome
			if number == 2 {
				a.state, a.outcome = attemptRevoked, ""
			}
			want[a.id] = codeOf(a.state, a.outcome)
			table.ended(a)
			table.ended(a)
		}
	}
	check := func() {
		for id, code := range want {
			known, _ := table.add(&attempt{id: id})
			g.Expect(known).NotTo(BeNil())
			state, outcome := code.decode()
			g.Expect(known.state).To(Equal(state))
			g.Expect(known.outcome).To(Equal(outcome))
			g.Expect(known.submit).To(BeNil())
		}
	}
	g.Expect(table.active).To(BeEmpty())
	check()
	table.rotated = time.Now().Add(-table.keep)
	check()
	g.Expect(table.current).To(BeEmpty(), "ends move to the previous generation")
}

// Guards against an attempt that is forgotten before its entry has asked for its outcome: the answer would be "revoked",
// although it ran.
func TestEndsAreRememberedBeyondTheDeadline(t *testing.T) {
	g := NewWithT(t)
	table := newAttempts()
	ran := &attempt{id: message.Attempt{RequestID: "long", Number: 1}, submit: &message.Submit{DeadlineMillis: (time.Hour).Milliseconds()}}
	table.add(ran)
	ran.state, ran.outcome = attemptDone, message.OutcomeOK
	table.ended(ran)
	for range 2 { // Two generations pass within the request's deadline.
		table.rotated = time.Now().Add(-59 * time.Minute)
		known, _ := table.add(&attempt{id: ran.id, state: attemptRevoked})
		g.Expect(known).NotTo(BeNil())
		g.Expect(known.state).To(Equal(attemptDone))
	}
}
