package relay

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against durations of other classes or of long ago that decide whether a request can still be served, and against recent ones that
// are forgotten.
func TestLongestRecentDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var durations durationTable
		_, known := durations.longest("a")
		g.Expect(known).To(BeFalse())
		durations.record("a", 2*time.Second)
		durations.record("a", time.Second)
		longest, _ := durations.longest("a")
		g.Expect(longest).To(Equal(2 * time.Second))
		_, known = durations.longest("b")
		g.Expect(known).To(BeFalse())

		time.Sleep(durationWindow)
		durations.record("a", time.Second)
		longest, _ = durations.longest("a")
		g.Expect(longest).To(Equal(2*time.Second), "the previous window counts")
		time.Sleep(durationWindow)
		longest, _ = durations.longest("a")
		g.Expect(longest).To(Equal(time.Second))
		time.Sleep(3 * durationWindow)
		_, known = durations.longest("a")
		g.Expect(known).To(BeFalse())
	})
}
