package placement

import "time"

const (
	// delayPeriod is the length of the periods whose shortest delays are kept: the estimate covers the newest two in which attempts
	// began.
	delayPeriod = time.Second
	// delayRetention is how long the estimate is kept without new attempts. An upstream that is left out because of its delay gets no
	// attempts that could show it again.
	delayRetention = 10 * time.Second
)

// startDelays keeps the shortest delays with which recent attempts at one upstream have begun. The shortest one shows what no attempt
// can avoid, such as a slow link or a stalled upstream. Longer ones are often due to more urgent requests that go first.
type startDelays struct {
	periodStart time.Time
	// current and previous are the shortest delays of the period and of the one before, 0 if there is none.
	current, previous time.Duration
	// lastStart is when an attempt last began.
	lastStart time.Time
}

// record adds the delay of an attempt that begins now.
func (d *startDelays) record(now time.Time, delay time.Duration) {
	if now.Sub(d.lastStart) > delayRetention {
		*d = startDelays{}
	}
	if now.Sub(d.periodStart) >= delayPeriod {
		d.previous, d.current, d.periodStart = d.current, 0, now
	}
	d.lastStart = now
	if d.current == 0 || delay < d.current {
		d.current = max(delay, 1)
	}
}

// shortest returns the shortest recent delay, and false if no attempt began within delayRetention.
func (d *startDelays) shortest(now time.Time) (time.Duration, bool) {
	if d.current == 0 || now.Sub(d.lastStart) > delayRetention {
		return 0, false
	}
	if d.previous > 0 {
		return min(d.previous, d.current), true
	}
	return d.current, true
}

// StartDelay returns the time that an attempt at an upstream takes at least to begin, as the attempts of this node show it: the shortest
// recent delay, or the time for which attempts have been waiting without any of them beginning. It returns false if there is no recent
// attempt.
func (t *Tracker) StartDelay(upstream string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[upstream]; u != nil {
		return u.startDelay(t.now())
	}
	return 0, false
}

// startDelay implements Tracker.StartDelay. The caller holds the mutex of the tracker.
func (u *upstreamState) startDelay(now time.Time) (time.Duration, bool) {
	delay, known := u.delays.shortest(now)
	for a := range u.attempts {
		if a.started {
			continue
		}
		since := a.sent
		if u.delays.lastStart.After(since) {
			since = u.delays.lastStart
		}
		delay, known = max(delay, now.Sub(since)), true
	}
	return delay, known
}
