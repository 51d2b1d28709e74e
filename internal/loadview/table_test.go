package loadview_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against a load that replaces a newer one because other nodes forwarded it late, or that precedes a restart of the
// upstream.
func TestNewestLoadWins(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := loadview.NewTable(func() time.Time { return now })
	table.Apply([]message.UpstreamLoad{{Address: "a", StartedAtMillis: 5, Active: 3}})
	table.Apply([]message.UpstreamLoad{{Address: "a", StartedAtMillis: 5, Active: 1, AgeMillis: 200}})
	load, age, ok := table.Get("a")
	g.Expect(ok).To(BeTrue())
	g.Expect(load.Active).To(Equal(3))
	g.Expect(age).To(BeZero())
	now = now.Add(time.Second)
	table.Apply([]message.UpstreamLoad{{Address: "a", StartedAtMillis: 4, Active: 9}})
	load, age, _ = table.Get("a")
	g.Expect(load.Active).To(Equal(3))
	g.Expect(age).To(Equal(time.Second))
	g.Expect(table.Recent(500 * time.Millisecond)).To(BeEmpty())
	g.Expect(table.Recent(2 * time.Second)[0].AgeMillis).To(Equal(int64(1000)))
	now = now.Add(2 * time.Minute)
	table.Apply(nil)
	_, _, ok = table.Get("a")
	g.Expect(ok).To(BeFalse(), "a load that is not refreshed expires")
}

// Guards against a report that takes a slower path and replaces a newer one: entries sent requests to an upstream that was known to be down,
// or to have replaced its version. Ages lack the time on the links.
func TestReportsOfAnAgentAreOrderedByTheirNumbers(t *testing.T) {
	const first = 1 << 60
	for name, c := range map[string]struct {
		reports    []message.UpstreamLoad
		wantActive int
	}{
		"older report arrives later":           {[]message.UpstreamLoad{{Seq: first + 1, Active: 2}, {Seq: first, Active: 1}}, 2},
		"newer report was held for longer":     {[]message.UpstreamLoad{{Seq: first, Active: 1}, {Seq: first + 1, Active: 2, AgeMillis: 90}}, 2},
		"upstream's clock was set back":        {[]message.UpstreamLoad{{Seq: first, StartedAtMillis: 9}, {Seq: first + 1, StartedAtMillis: 5, Active: 2}}, 2},
		"agent restarted, with a lower number": {[]message.UpstreamLoad{{Seq: first, Active: 1}, {Seq: 7, Active: 2}}, 2},
		"older report of a restarted upstream": {[]message.UpstreamLoad{{Seq: first, StartedAtMillis: 9, Active: 2}, {Seq: 7, StartedAtMillis: 5}}, 2},
		"agent of an earlier release":          {[]message.UpstreamLoad{{Seq: first, Active: 1}, {Active: 2}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1000, 0)
			table := loadview.NewTable(func() time.Time { return now })
			for _, report := range c.reports {
				report.Address = "a"
				table.Apply([]message.UpstreamLoad{report})
				now = now.Add(50 * time.Millisecond)
			}
			load, _, _ := table.Get("a")
			g.Expect(load.Active).To(Equal(c.wantActive))
		})
	}
}

// Guards against a report of an agent that discards the work of the entries in its data centre: seen from another data centre, the
// upstream then looks idle. The prediction was 119 ms, and the first event came after 630 ms.
func TestReportDoesNotDiscardWorkOfEntries(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := loadview.NewTable(func() time.Time { return now })
	table.Apply([]message.UpstreamLoad{{Address: "a", HasDataCentreWork: true,
		DataCentreWork: message.UpstreamWork{Running: 9, WaitingTokens: 4000}}})
	now = now.Add(300 * time.Millisecond)
	table.Apply([]message.UpstreamLoad{{Address: "a"}})
	work, age, ok := table.DataCentreWork("a")
	g.Expect(ok).To(BeTrue())
	g.Expect(work.Running).To(Equal(9))
	g.Expect(age).To(Equal(300 * time.Millisecond))
	_, _, ok = table.DataCentreWork("b")
	g.Expect(ok).To(BeFalse())
}

// Guards against work of a failed entry that counts for ever, and against reports that add up instead of replacing the previous one.
func TestWorkOfEntriesIsSummedAndExpires(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := loadview.NewWorkTable(func() time.Time { return now })
	table.Apply(&message.EntryWork{NodeID: "e1", Work: []message.UpstreamWork{{ID: "u", Running: 2, Waiting: 1, WaitingTokens: 700}}})
	table.Apply(&message.EntryWork{NodeID: "e1", Work: []message.UpstreamWork{{ID: "u", Running: 3, Waiting: 1, WaitingTokens: 800}}})
	table.Apply(&message.EntryWork{NodeID: "e2", Work: []message.UpstreamWork{{ID: "u", Running: 4}}})
	g.Expect(table.Total("u")).To(Equal(message.UpstreamWork{ID: "u", Running: 7, Waiting: 1, WaitingTokens: 800}))
	now = now.Add(time.Second)
	table.Apply(&message.EntryWork{NodeID: "e2"})
	now = now.Add(time.Second)
	g.Expect(table.Total("u").Running).To(BeZero())
}
