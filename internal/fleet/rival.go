package fleet

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// rival is a process of an upstream whose announcement the store lists after that of the accepted process, but that has an earlier start time. Either
// the announcement was stored late, and the process has ended; or the clock of the upstream was set back before it started again, and the process
// lives. An accepted process that lives announces itself again with its next heartbeat, and without heartbeats the store removes the
// announcement. So a rival that stays in the store lives. The zero value stands for no rival.
type rival struct {
	// record is its newest announcement.
	record UpstreamRecord
	// since is when its first announcement arrived, or when the store came back after that.
	since time.Time
}

const (
	// rivalTime is how long the announcement of a rival has to stay to replace a process that is ready. Heartbeats are 1.2 s apart. A mistake is
	// corrected by the next one.
	rivalTime = 2 * time.Second
	// rivalRevivalTime is the same for a process that drains or was removed. The store may carry out writes 6 s late.
	rivalRevivalTime = 7 * time.Second
)

// compare compares an announcement with the newest accepted one by the time at which they were made. Those of a process that was replaced by its rival
// count as earlier, whatever their start time.
func (u *upstreamState) compare(a *catalog.Upstream) int {
	isReplaced, acceptedIsReplaced := a.StartedAtMillis == u.replacedStart, u.lastAnnouncement.StartedAtMillis == u.replacedStart
	switch {
	case isReplaced && !acceptedIsReplaced:
		return -1
	case acceptedIsReplaced && !isReplaced && u.replacedStart != 0:
		return 1
	default:
		return compareAnnouncements(a, u.lastAnnouncement)
	}
}

// replacesByRival reports whether an announcement that the store lists after the accepted one, but that counts as earlier, replaces it: at once if it
// takes an upstream that is ready out of service, as a mistake is corrected by the next heartbeat, or once it has stayed for long enough. Until then it
// is kept for applyRivals. The caller holds mu.
func (s *State) replacesByRival(u UpstreamRecord, current *upstreamState) bool {
	a, accepted := u.Announcement, current.lastAnnouncement
	if a.StartedAtMillis == accepted.StartedAtMillis || a.StartedAtMillis == 0 || u.Era != current.Era {
		return false
	}
	if previous := current.rival.record.Announcement; previous == nil || previous.StartedAtMillis != a.StartedAtMillis || a.Sequence <= previous.Sequence {
		current.rival.since = s.now()
	}
	current.rival.record, s.hasRivals = u, true
	return current.isInService() && a.State != catalog.Ready || s.hasStayed(current)
}

// isInService reports whether the accepted announcement lets entries send requests.
func (u *upstreamState) isInService() bool {
	return u.Announcement != nil && u.Announcement.State == catalog.Ready
}

// hasStayed reports whether the rival of an upstream has been in the store for long enough to replace the accepted process, and if so records
// that it does. The caller holds mu.
func (s *State) hasStayed(current *upstreamState) bool {
	wait := rivalRevivalTime
	if current.isInService() {
		wait = rivalTime
	}
	if s.now().Sub(current.rival.since) < wait {
		return false
	}
	current.replacedStart = current.lastAnnouncement.StartedAtMillis
	return true
}

// applyRivals merges the announcements of rivals that have stayed in the store. The caller holds mu and knows that the state is up to date.
func (s *State) applyRivals() {
	if !s.hasRivals {
		return
	}
	s.hasRivals = false
	for _, current := range s.upstreams {
		switch {
		case current.rival.record.Announcement == nil:
		case s.hasStayed(current):
			s.accept(current.rival.record, current)
		default:
			s.hasRivals = true
		}
	}
	s.publishUpstreams()
}
