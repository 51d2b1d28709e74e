package relay

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/availability"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// pausingUpstream is the only upstream of a service on virtual time. It pauses and serves requests after that.
type pausingUpstream struct {
	table   *availability.Table
	process availability.Process
}

// call makes the request of a caller. It returns the Retry-After, 0 if the request is served.
func (u *pausingUpstream) call() time.Duration {
	const serviceTime = 5 * time.Millisecond
	var out leftOut
	if wait := u.table.Status(u.process).Wait; wait > 0 {
		out.addWait(upstreamsPause, wait)
	} else if !u.table.Take(u.process) {
		out.addWait(upstreamsPause, minRefusalWait)
	}
	if out.waiting > 0 {
		return out.refusal(placement.Decision{Reason: placement.NoUpstream}).RetryAfter
	}
	sentAt := time.Now()
	time.Sleep(serviceTime)
	u.table.RecordResult(u.process, sentAt, true)
	return 0
}

// Guards against callers that are told to come back after a pause all at once, so that most of them are refused again while requests return
// gradually. Many callers have only one retry.
func TestCallersComeBackAsGraduallyAsRequestsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const callers, pause, newCallerInterval = 100, 2 * time.Second, 40 * time.Millisecond
		u := &pausingUpstream{table: availability.New(availability.Config{Observe: func(availability.Event) {}}),
			process: availability.Process{ID: "u", StartedAtMillis: 1}}
		u.table.RecordPause(u.process, pause, "r")
		var refused, refusedAgain atomic.Int32
		var returning, others sync.WaitGroup
		for range callers {
			returning.Go(func() {
				time.Sleep(rand.N(pause * 9 / 10))
				retryAfter := u.call()
				if retryAfter == 0 {
					return
				}
				refused.Add(1)
				time.Sleep(retryAfter)
				if u.call() > 0 {
					refusedAgain.Add(1)
				}
			})
		}
		done := make(chan struct{})
		go func() { returning.Wait(); close(done) }()
		for open := true; open; {
			select {
			case <-done:
				open = false
			case <-time.After(newCallerInterval):
				others.Go(func() { u.call() })
			}
		}
		others.Wait()
		g.Expect(refused.Load()).To(Equal(int32(callers)))
		g.Expect(refusedAgain.Load()).To(BeNumerically("<", callers/4))
	})
}
