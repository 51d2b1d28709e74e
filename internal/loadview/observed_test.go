package loadview_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/loadview"
)

// Guards against observations of an earlier process, of another one or of long ago that are taken for the present load, against state that
// grows with the upstreams that have gone, and against a log line for each unreadable response.
func TestObservedTable(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := loadview.NewObservedTable(func() time.Time { return now })
	table.Record("u", 2, loadview.Observation{Running: 3, Slowdown: 2.5})
	table.Record("u", 1, loadview.Observation{Running: 9})
	now = now.Add(200 * time.Millisecond)
	o, age, ok := table.Get("u", 2)
	g.Expect(ok).To(BeTrue())
	g.Expect([]any{o.Running, o.Slowdown, age}).To(Equal([]any{3, 2.5, 200 * time.Millisecond}))
	for _, started := range []int64{1, 3} {
		_, _, ok = table.Get("u", started)
		g.Expect(ok).To(BeFalse())
	}
	g.Expect(table.RecordUnreadable("u")).To(BeTrue())
	g.Expect(table.RecordUnreadable("u")).To(BeFalse())
	g.Expect(table.RecordUnreadable("v")).To(BeTrue())
	_, _, ok = table.Get("v", 0)
	g.Expect(ok).To(BeFalse(), "an unreadable load is no observation")
	now = now.Add(61 * time.Second)
	_, _, ok = table.Get("u", 2)
	g.Expect(ok).To(BeFalse())
	g.Expect(table.RecordUnreadable("u")).To(BeTrue())
	var none *loadview.ObservedTable
	none.Record("u", 2, loadview.Observation{})
	_, _, ok = none.Get("u", 2)
	g.Expect(ok || none.RecordUnreadable("u")).To(BeFalse())
}
