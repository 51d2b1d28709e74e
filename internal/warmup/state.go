package warmup

import "time"

// Cause says why an upstream counts as cold.
type Cause string

// Causes of coldness. Those after CauseStart are presumed: nothing says that the upstream is cold.
const (
	// CauseReported: a record or a response of the upstream says so.
	CauseReported Cause = "reported"
	// CauseStart: the start time of the upstream says so.
	CauseStart Cause = "started"
	// CauseDiscovered: this entry did not know the upstream before.
	CauseDiscovered Cause = "discovered"
	// CauseRestarted: the upstream has another start time than before.
	CauseRestarted Cause = "restarted"
	// CauseMissing: the upstream was missing from the list.
	CauseMissing Cause = "missing"
	// CauseUnreachable: the upstream did not answer.
	CauseUnreachable Cause = "unreachable"
	// CauseDown: the agent of the upstream reported it as down.
	CauseDown Cause = "down"
	// CauseEvacuated: the data centre of the upstream was evacuated.
	CauseEvacuated Cause = "evacuated"
)

const (
	// presumedMargin is added to the cold time for upstreams that are presumed cold. It is about the interval between the records of an upstream.
	presumedMargin = time.Second
	// recordTravel is the time that a record takes from the upstream through the store to all entries. One that arrives within this time
	// after a moment may have been made before it.
	recordTravel = 100 * time.Millisecond
)

// Record is what the list of upstreams says about one.
type Record struct {
	Upstream
	// Removed is set if the upstream is missing from the list.
	Removed bool
	// Era and Revision are those of the store, Sequence counts the records of the process.
	Era, Revision, Sequence int64
	// ColdLeft is how long the upstream stays cold from when the record was made, negative if the record says nothing readable about it.
	ColdLeft time.Duration
}

// repeats reports whether the record is the last one again or one before it.
func (r Record) repeats(last Record) bool {
	if r.Sequence != last.Sequence {
		return r.Sequence < last.Sequence
	}
	// A restored store gives revisions out again, and lists records of an earlier era again.
	return r.Era != last.Era || r.Revision <= last.Revision
}

// state is what is known of the current process of an upstream, and this entry's use of its permits.
type state struct {
	upstream Upstream
	// last is the newest record, if hasRecord is set.
	last      Record
	hasRecord bool
	// recordedAt is when the newest record arrived that says whether the upstream is cold. reportedUntil is the end of the cold time that it,
	// or a later response, gives.
	recordedAt, reportedUntil time.Time
	// seenAt is when this entry first knew of the process, presumedAt the last moment from which it is presumed cold, presumedCause why.
	seenAt, presumedAt time.Time
	presumedCause      Cause
	// missingAt is when the upstream was removed from the list, zero if it is listed.
	missingAt time.Time
	// nextAt is when the next permit opens; zero until the first one was needed.
	nextAt time.Time
	// reportedCold is what the last event said.
	reportedCold bool
}

// Record records what the list of upstreams says. Records that only repeat what is known have no effect: they neither make a warm upstream
// cold nor prolong its cold time.
func (l *Limiter) Record(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	s := l.states[r.ID]
	switch {
	case r.Removed:
		if s != nil && s.missingAt.IsZero() {
			s.missingAt = now
		}
		return
	case s == nil:
		s = l.begin(r.Upstream, CauseDiscovered)
	case r.StartedAtMillis != s.upstream.StartedAtMillis:
		s = l.begin(r.Upstream, CauseRestarted)
	case !s.missingAt.IsZero():
		s.missingAt = time.Time{}
		s.presume(now, CauseMissing)
	}
	if !s.hasRecord || !r.repeats(s.last) {
		s.upstream, s.last, s.hasRecord = r.Upstream, r, true
		if r.ColdLeft >= 0 {
			s.recordedAt, s.reportedUntil = now, now.Add(r.ColdLeft)
		}
	}
	if settings := l.cfg.Settings(r.Service); settings.PerSecond > 0 {
		l.isCold(s, settings)
	}
}

// RecordResponse records that a response of an upstream says that it stays cold for coldLeft.
func (l *Limiter) RecordResponse(u Upstream, coldLeft time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stateOf(u)
	if coldLeft > 0 && u.StartedAtMillis == s.upstream.StartedAtMillis {
		s.reportedUntil = l.cfg.Now().Add(coldLeft)
	}
}

// Presume makes an upstream count as cold until a later record says that it is not: it has just shown the given cause.
func (l *Limiter) Presume(u Upstream, cause Cause) {
	if l.cfg.Settings(u.Service).PerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.stateOf(u); s.upstream.StartedAtMillis == u.StartedAtMillis { // Otherwise it concerns an earlier process.
		s.presume(l.cfg.Now(), cause)
	}
}

// stateOf returns the state of an upstream. A process that is not known yet, because the record about it is being merged, counts as
// discovered. The caller holds mu.
func (l *Limiter) stateOf(u Upstream) *state {
	s := l.states[u.ID]
	switch {
	case s == nil:
		return l.begin(u, CauseDiscovered)
	case u.StartedAtMillis > s.upstream.StartedAtMillis:
		return l.begin(u, CauseRestarted)
	default:
		return s
	}
}

// begin begins the state of a process. The times of the permits of its predecessor stay in force. The caller holds mu.
func (l *Limiter) begin(u Upstream, cause Cause) *state {
	now := l.cfg.Now()
	s := &state{upstream: u, seenAt: now}
	s.presume(now, cause)
	if previous := l.states[u.ID]; previous != nil {
		s.nextAt, s.reportedCold = previous.nextAt, previous.reportedCold
	}
	l.states[u.ID] = s
	return s
}

// presume makes the upstream count as cold from now on.
func (s *state) presume(now time.Time, cause Cause) { s.presumedAt, s.presumedCause = now, cause }

// coldUntil returns until when the upstream is cold, a time in the past if it is warm, and why. evacuationEndedAt is zero if its data centre was
// not evacuated.
func (s *state) coldUntil(settings Settings, evacuationEndedAt time.Time) (until time.Time, cause Cause) {
	until, cause = s.reportedUntil, CauseReported
	if started := s.upstream.StartedAtMillis; started > 0 {
		startedAt := time.UnixMilli(started)
		if startedAt.After(s.seenAt) {
			startedAt = s.seenAt // The clock of its instance is ahead.
		}
		if end := startedAt.Add(settings.ColdStart); end.After(until) {
			until, cause = end, CauseStart
		}
	}
	presumedAt, presumedCause := s.presumedAt, s.presumedCause
	if evacuationEndedAt.After(presumedAt) {
		presumedAt, presumedCause = evacuationEndedAt, CauseEvacuated
	}
	if s.recordedAt.After(presumedAt.Add(recordTravel)) {
		return until, cause // This record was made after that moment.
	}
	if end := presumedAt.Add(settings.ColdStart + presumedMargin); end.After(until) {
		until, cause = end, presumedCause
	}
	return until, cause
}

// expire replaces a permit that was not used in time by the first one that is valid or still to come.
func (s *state) expire(now time.Time, interval time.Duration, random func() float64) {
	if s.nextAt.IsZero() || s.nextAt.After(now.Add(2*interval)) {
		// The first one opens after a random part of the interval, so that entries do not all send at once.
		s.nextAt = now.Add(time.Duration(random() * float64(interval)))
		return
	}
	if late := now.Sub(s.nextAt) - permitLife; late > 0 {
		s.nextAt = s.nextAt.Add((late + interval - 1) / interval * interval)
	}
}
