package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

// write is an announcement of upstream "a" in the store, which does not write heartbeats that change nothing. A start time of 0 stands for a removal, a
// negative sequence number for no write.
type write struct {
	after    time.Duration
	started  int64
	sequence int64
	state    catalog.State
}

// Guards against an upstream whose clock was set back before it started again: all that it announced was taken for late writes of an earlier process, so
// that it got requests while it drained (DRAIN, review/3), or none after it had been removed. Also guards against late writes of a process that has
// ended, which must not undo that the present one drains.
func TestProcessWithAnEarlierStartTime(t *testing.T) {
	const ready, draining, heartbeat = catalog.Ready, catalog.Draining, 1200 * time.Millisecond
	gone := catalog.State(0)
	for name, c := range map[string]struct {
		writes []write
		want   catalog.State
	}{
		"drains at once": {[]write{{0, 200, 5, ready}, {heartbeat, 100, 1, draining}}, draining},
		"drains later": {[]write{{0, 200, 5, ready}, {heartbeat, 100, 1, ready}, {heartbeat, 100, 2, ready}, {heartbeat, 100, 3, ready},
			{heartbeat, 100, 4, draining}}, draining},
		"a late write of the other does not undo that it drains": {[]write{{0, 200, 5, ready}, {heartbeat, 100, 1, ready}, {heartbeat, 100, 2, ready},
			{heartbeat, 100, 3, ready}, {heartbeat, 100, 4, draining}, {0, 200, 6, ready}}, draining},
		"comes back after a late write of the other": {[]write{{0, 200, 5, ready}, {heartbeat, 100, 1, ready}, {heartbeat, 100, 2, ready},
			{heartbeat, 100, 3, ready}, {heartbeat, 200, 6, draining}, {heartbeat, 100, 4, ready}}, ready},
		"a late write of it is corrected by the next heartbeat": {[]write{{0, 200, 5, ready}, {0, 100, 9, draining}, {heartbeat, 200, 6, ready}}, ready},
		"late writes of it do not undo that the other drains": {[]write{{0, 200, 5, draining}, {heartbeat, 100, 8, ready}, {heartbeat, 100, 9, ready},
			{2 * heartbeat, 100, 10, ready}}, draining},
		"late writes of it out of order": {[]write{{0, 200, 5, draining}, {heartbeat, 100, 9, ready}, {5 * heartbeat, 100, 8, ready},
			{heartbeat, 100, 7, ready}}, draining},
		"late writes of it between heartbeats of the other": {[]write{{0, 200, 5, draining}, {0, 100, 8, ready}, {3 * heartbeat, 200, 6, draining},
			{3 * heartbeat, 100, 9, ready}}, draining},
		"late writes of it do not undo a removal": {[]write{{0, 200, 5, ready}, {heartbeat, 0, 0, gone}, {heartbeat, 100, 8, ready}, {heartbeat, 100, 9, ready}}, gone},
		"stays after a removal":                   {[]write{{0, 200, 5, ready}, {heartbeat, 0, 0, gone}, {heartbeat, 100, 1, ready}, {6 * heartbeat, 100, -1, ready}}, ready},
		"stays, and then a late write of the other": {[]write{{0, 200, 5, ready}, {heartbeat, 100, 1, ready}, {2 * heartbeat, 100, -1, ready},
			{0, 200, 6, draining}, {heartbeat, 100, 2, ready}}, ready},
		"is removed after a late write": {[]write{{0, 200, 5, draining}, {heartbeat, 100, 8, ready}, {3 * heartbeat, 0, 0, gone}, {6 * heartbeat, 100, -1, ready}}, gone},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1000, 0)
			s := fleet.NewState(func() time.Time { return now })
			for i, w := range c.writes {
				now = now.Add(w.after)
				record := fleet.UpstreamRecord{ID: "a", Revision: int64(i + 1)}
				if w.started != 0 {
					record.Announcement = announced("a", w.sequence, w.state)
					record.Announcement.StartedAtMillis = w.started
				}
				if w.sequence >= 0 {
					s.ApplyUpstream(record)
				}
				s.MarkUpToDate(now)
			}
			state := gone
			if u := s.Snapshot().ByID("a"); u != nil {
				state = u.State
			}
			g.Expect(state).To(Equal(c.want))
		})
	}
}
