package availability_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/availability"
)

var process = availability.Process{ID: "a", StartedAtMillis: 1}

// Guards against a process that gets requests after it has said that it leaves, and against a change that is reported more than once.
func TestLeavingProcessTakesNothing(t *testing.T) {
	g := NewWithT(t)
	var events []availability.Event
	table := availability.New(availability.Config{Observe: func(e availability.Event) { events = append(events, e) }})
	g.Expect(table.Status(process).Leaving).To(BeFalse())
	table.RecordLeaving(process, "r1")
	table.RecordLeaving(process, "r2")
	g.Expect(table.Status(process).Leaving).To(BeTrue())
	g.Expect(table.Blocked(process)).To(BeTrue())
	g.Expect(events).To(Equal([]availability.Event{{Process: process, Change: availability.Leaving, Request: "r1"}}))
}

// Guards against a process that is held back by what its predecessor with the same ID has said.
func TestRestartedProcessIsNotLeaving(t *testing.T) {
	g := NewWithT(t)
	table := availability.New(availability.Config{})
	table.RecordLeaving(process, "r")
	restarted := availability.Process{ID: process.ID, StartedAtMillis: 2}
	g.Expect(table.Status(restarted).Leaving).To(BeFalse())
	g.Expect(table.Blocked(restarted)).To(BeFalse())
}

// Guards against a table that grows without bound, and against one that forgets a new statement instead of the oldest one.
func TestOldestStatementIsForgotten(t *testing.T) {
	g := NewWithT(t)
	const many = 5000
	table := availability.New(availability.Config{})
	of := func(i int) availability.Process { return availability.Process{ID: strconv.Itoa(i)} }
	for i := range many {
		table.RecordLeaving(of(i), "r")
	}
	g.Expect(table.Status(of(0)).Leaving).To(BeFalse())
	g.Expect(table.Status(of(many - 1)).Leaving).To(BeTrue())
}
