package stall_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/stall"
)

// Guards against a stall that is not noticed, also by what is read right after it, against the loss of one that another one follows, and against a
// delay of messages that arrived later.
func TestStallDelaysWhatIsReadAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var stood atomic.Int64 // The time for which the process has not run, in which no timer of this test elapses.
		d := stall.New(func() time.Time { return time.Now().Add(time.Duration(stood.Load())) })
		g.Expect(d.ReadDelay()).To(BeZero())
		stood.Add(int64(time.Hour))
		go d.Run(t.Context())
		time.Sleep(time.Second)
		g.Expect(d.ReadDelay()).To(BeZero(), "it has just started")
		stood.Add(int64(200 * time.Millisecond))
		g.Expect(d.ReadDelay()).To(BeZero(), "a busy instance")
		time.Sleep(time.Second)
		stood.Add(int64(880 * time.Millisecond))
		g.Expect(d.ReadDelay()).To(BeNumerically("~", 930*time.Millisecond, 50*time.Millisecond))
		time.Sleep(300 * time.Millisecond)
		stood.Add(int64(400 * time.Millisecond))
		g.Expect(d.ReadDelay()).To(BeNumerically("~", 1380*time.Millisecond, 100*time.Millisecond))
		time.Sleep(time.Second)
		g.Expect(d.ReadDelay()).To(BeZero(), "what had arrived has been read")
		stood.Add(int64(time.Second))
		time.Sleep(150 * time.Millisecond)
		g.Expect(d.ReadDelay()).To(BeNumerically("~", 1050*time.Millisecond, 50*time.Millisecond), "noticed by Run")
	})
}
