package placement

import (
	"math"
	"time"
)

// Observation is the load that an upstream stated in its newest response to this entry.
type Observation struct {
	// Known is set if there is an observation.
	Known bool
	// Running and Waiting are the numbers of requests of all entries, Slots is the number of requests that run at the same time.
	Running, Waiting, Slots int
	// Slowdown is the factor by which work took longer than normal, 0 if the upstream did not state it.
	Slowdown float64
	// Age is the time since the observation arrived.
	Age time.Duration
}

// observationTimeConstant is the time in which an observation loses all but 1/e of its weight. Instances turn slow and normal again about
// every 0.6 s.
const observationTimeConstant = 600 * time.Millisecond

// weight returns the weight of the observation, from 0 to 1.
func (o Observation) weight() float64 {
	if !o.Known {
		return 0
	}
	return math.Exp(-float64(max(o.Age, 0)) / float64(observationTimeConstant))
}

// ExpectedSlowdown returns the factor by which the upstream is expected to be slower than normal now. It approaches 1 as the observation ages.
func (o Observation) ExpectedSlowdown() float64 {
	return 1 + o.weight()*(max(o.Slowdown, 1)-1)
}

// predictPlain returns the predicted time of a request at a service without an engine. It grows linearly with the requests in progress, from
// plainServiceTime at an idle upstream to twice that when all slots are in use, and beyond, times the slowdown of the upstream. An upstream
// without an observation is predicted from the requests of this entry.
func predictPlain(c Candidate) time.Duration {
	o, w := c.Work.Observed, c.Work
	if !o.Known {
		return predictOwnWork(c)
	}
	// Entries know their own work at once and that of others within tens of milliseconds; entries of other data centres use the upstream
	// too and may report no work. What the observation shows in addition has probably ended when it is old.
	known := float64(max(w.OwnRunning+w.OthersRunning, w.Running+w.Waiting))
	observed := float64(o.Running + o.Waiting + w.SentSinceReport)
	inProgress := known + o.weight()*max(observed-known, 0)
	slots := o.Slots
	if slots <= 0 {
		slots = max(c.Upstream.Slots, 1)
	}
	return time.Duration(float64(plainServiceTime) * max(w.Slowdown, 1) * (1 + inProgress/float64(slots)))
}

// predictOwnWork is predictPlain without an observation.
func predictOwnWork(c Candidate) time.Duration {
	return time.Duration(float64(plainServiceTime) *
		(1 + float64(max(c.Work.OwnRunning, c.Work.Running))/float64(max(c.Upstream.Slots, 1))))
}

// admissionWait returns the wait that decides whether the request is refused. At a service without an engine, observations only serve to
// compare upstreams: the time that a request takes there is assumed, so that a long prediction does not show that a request cannot be served.
func admissionWait(q Query, c Candidate, wait time.Duration) time.Duration {
	if q.Engine == nil {
		return predictOwnWork(c)
	}
	return waitForMeanPrompt(q, wait)
}
