package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// anyEntry stands for all entries.
	anyEntry = -1
	// kindStop is SIGTERM to an entry, kindRestart the start after it.
	kindStop, kindRestart = "stop", "restart"
)

// plannedEvent is the beginning of planned work or of a silence of servers. entry is the one that it concerns, or anyEntry.
type plannedEvent struct {
	kind    string
	entry   int
	servers []string
	at      time.Time
}

// concerns reports whether the event may affect a request that was passed on to servers.
func (e plannedEvent) concerns(r callResult, passedOn []passedRequest) bool {
	if len(e.servers) > 0 {
		return slices.ContainsFunc(passedOn, func(p passedRequest) bool { return slices.Contains(e.servers, p.server) })
	}
	return e.entry == anyEntry || e.entry == r.entry
}

// timeline records planned events. The zero value is ready for use.
type timeline struct {
	mu     sync.Mutex
	events []plannedEvent
}

func (t *timeline) add(e plannedEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, e)
}

// between returns the events in a period.
func (t *timeline) between(begin, end time.Time) (events []plannedEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.events {
		if !e.at.Before(begin) && e.at.Before(end) {
			events = append(events, e)
		}
	}
	return events
}

// stopping reports whether an entry has been told to stop and has not been restarted.
func (t *timeline) stopping(entry int) (stopping bool) {
	for _, e := range t.between(time.Time{}, time.Now()) {
		if e.entry == entry && (e.kind == kindStop || e.kind == kindRestart) {
			stopping = e.kind == kindStop
		}
	}
	return stopping
}

// phaseAt returns the phase in which a request was at a time between its beginning and its end. A server at work on a body in two parts has
// sent the first one, although entries may hold it back.
func (r callResult) phaseAt(at time.Time, passedOn []passedRequest) string {
	reached := func(t time.Time) bool { return !t.IsZero() && !at.Before(t) }
	switch {
	case !reached(r.connectedAt):
		return "connecting"
	case reached(r.headAt) && r.isStream():
		return "between events"
	case reached(r.headAt), r.path == "/parts/" && reached(r.sentAt) && slices.ContainsFunc(passedOn,
		func(p passedRequest) bool { return reached(p.At) && !reached(p.EndedAt) }):
		return "in a body"
	case !reached(r.sentAt):
		return "sending"
	}
	return "before the head"
}

// trace describes the times of a request and the planned events from shortly before it to its end.
func (c *checker) trace(r callResult, passedOn []passedRequest) string {
	const before = 3 * time.Second
	since := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return t.Sub(r.beganAt).Round(time.Millisecond).String()
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s at %s, kept connection %t, sent %s, head %s, end %s %s", entryName(r.entry), r.beganAt.Format(logTime), r.kept,
		since(r.sentAt), since(r.headAt), since(r.endedAt), r.phaseAt(r.endedAt, passedOn))
	for _, p := range passedOn {
		fmt.Fprintf(&text, "; passed on to %s %s until %s", p.server, since(p.At), since(p.EndedAt))
	}
	for _, e := range c.fleet.timeline.between(r.beganAt.Add(-before), r.endedAt) {
		if e.concerns(r, passedOn) {
			fmt.Fprintf(&text, "; %s %s", e.kind, since(e.at))
		}
	}
	return text.String()
}

// logTime is the format of times in the logs of the nodes.
const logTime = "15:04:05.000"

// plannedCoverage counts the requests that were in a phase at the beginning of a kind of planned event that concerns them.
func (c *checker) plannedCoverage(passedOn map[string][]passedRequest) map[string]int {
	counts := map[string]int{}
	for _, r := range c.results {
		if !r.planned {
			continue
		}
		for _, e := range c.fleet.timeline.between(r.beganAt, r.endedAt) {
			if e.concerns(r, passedOn[r.id]) {
				kind, _, _ := strings.Cut(e.kind, " ")
				counts[kind+" "+r.phaseAt(e.at, passedOn[r.id])]++
			}
		}
	}
	return counts
}
