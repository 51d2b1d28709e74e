package loadview_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against own work that counts twice because the sum of a relay contains it, and against a sum of fewer entries that replaces a more
// complete one.
func TestSumsOfRelaysCountTheOthersOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := loadview.NewWorkTable(func() time.Time { return now })
	own := &message.EntryWork{NodeID: "self", Seq: 4, Work: []message.UpstreamWork{{ID: "u", Running: 2, Waiting: 1, WaitingTokens: 700}}}
	table.ApplyTotals("r1", &message.WorkTotals{Reports: 20, ReceiverSeq: 4,
		Work: []message.UpstreamWork{{ID: "u", Running: 9, Waiting: 4, WaitingTokens: 3000}, {ID: "v", Running: 1}}}, own)
	g.Expect(table.Total("u")).To(Equal(message.UpstreamWork{ID: "u", Running: 7, Waiting: 3, WaitingTokens: 2300}))
	g.Expect(table.Total("v").Running).To(Equal(1))
	table.Apply(&message.EntryWork{NodeID: "e1", Work: []message.UpstreamWork{{ID: "u", Running: 1}}})
	g.Expect(table.Total("u").Running).To(Equal(7), "one report is less than the sum of 19")
	now = now.Add(100 * time.Millisecond)
	table.ApplyTotals("r2", &message.WorkTotals{Reports: 3, Work: []message.UpstreamWork{{ID: "u", Running: 1}}}, nil)
	g.Expect(table.Total("u").Running).To(Equal(7), "the sum of 3 reports does not replace that of 19")
	table.ApplyTotals("r2", &message.WorkTotals{Reports: 19, Work: []message.UpstreamWork{{ID: "u", Running: 5}}}, nil)
	g.Expect(table.Total("u").Running).To(Equal(5), "the newer of two equal sums")
	now = now.Add(1450 * time.Millisecond)
	table.ApplyTotals("r1", &message.WorkTotals{Reports: 2, Work: []message.UpstreamWork{{ID: "u", Running: 1}}}, nil)
	now = now.Add(100 * time.Millisecond)
	g.Expect(table.Total("u").Running).To(Equal(1), "sums expire")
}

// Guards against own work larger than that in the sum, which would make the work of others negative.
func TestSumsOfRelaysAreNeverNegative(t *testing.T) {
	g := NewWithT(t)
	table := loadview.NewWorkTable(nil)
	own := &message.EntryWork{Seq: 1, Work: []message.UpstreamWork{{ID: "u", Running: 3, Waiting: 2, WaitingTokens: 10}}}
	table.ApplyTotals("r1", &message.WorkTotals{Reports: 5, ReceiverSeq: 1, Work: []message.UpstreamWork{{ID: "u", Running: 1}}}, own)
	g.Expect(table.Total("u")).To(Equal(message.UpstreamWork{ID: "u"}))
}

// Guards against a sum that is sent with the number of a newer report than the one in it: the receiver would subtract the wrong one.
func TestSumNamesTheReportsInIt(t *testing.T) {
	g := NewWithT(t)
	table := loadview.NewWorkTable(nil)
	table.Apply(&message.EntryWork{NodeID: "a", Seq: 7, Work: []message.UpstreamWork{{ID: "u", Running: 2}}})
	table.Apply(&message.EntryWork{NodeID: "b", Seq: 3, Work: []message.UpstreamWork{{ID: "u", Running: 1}}})
	sum := table.Sum(func(string) bool { return true })
	table.Apply(&message.EntryWork{NodeID: "a", Seq: 8})
	g.Expect(sum.Work["u"].Running).To(Equal(3))
	g.Expect(sum.Seqs).To(Equal(map[string]uint64{"a": 7, "b": 3}))
}
