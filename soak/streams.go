package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

const (
	// maxResumptions is the number of times that a caller comes back for the rest of a stream, after a random time of at least
	// minResumptionPause, and less than the sum of it and resumptionPauseSpread.
	maxResumptions                            = 6
	minResumptionPause, resumptionPauseSpread = 20 * time.Millisecond, 300 * time.Millisecond
)

// streamPaths are the paths of resumable streams.
var streamPaths = []string{"/stream/", "/long/", "/unframed/"}

// isStream reports whether the request is for a resumable stream.
func (r callResult) isStream() bool { return slices.Contains(streamPaths, r.path) }

// received returns the number of the last whole event that the caller has, including those before this response.
func (r callResult) received() int {
	if r.status != http.StatusOK {
		return r.after
	}
	return r.after + strings.Count(r.body, "\n\n")
}

// sendAll sends a request and, if it is for a stream that is cut after some events, comes back for the rest, at random entries.
func (cl *caller) sendAll(rng *rand.Rand, entry int, path string, pauses sendPauses, planned bool) {
	r := cl.send(entry, path, pauses)
	for resumptions := 0; ; resumptions++ {
		r.planned = planned
		cl.checker.record(r)
		if !r.isStream() || r.complete && r.status == http.StatusOK || r.received() == 0 || resumptions == maxResumptions {
			return
		}
		time.Sleep(randomTime(rng, minResumptionPause, resumptionPauseSpread))
		next := callResult{id: cl.checker.nextID(), streamID: r.streamID, after: r.received(), key: r.key, path: path,
			entry: rng.IntN(len(cl.checker.fleet.entries))}
		r = cl.sendRequest(next, sendPauses{})
	}
}

// streamCounts are the results of the checks of streams for the summary.
type streamCounts struct {
	// complete and cut count responses, resumed those that a caller has come back for.
	complete, cut, resumed int
	// joined counts the streams that are complete after the caller has come back.
	joined int
	// moved counts runs that began behind an event that the same response had brought, earlier those that began before the event that the
	// caller asked for.
	moved, earlier int
	// expired counts attempts that ended with the time of their version, unsent those of which entries discarded events because they had ended,
	// as the logs say.
	expired, unsent int
}

// String implements fmt.Stringer.
func (s streamCounts) String() string {
	return fmt.Sprintf("streams: %d responses complete, %d cut, %d resumed by callers, %d streams complete after that, %d runs that went on "+
		"within a response, %d that began earlier than asked, %d attempts ended with their version, %d whose events were discarded", s.complete,
		s.cut, s.resumed, s.joined, s.moved, s.earlier, s.expired, s.unsent)
}

// checkStream reports a response whose events are not those of its request, in order, from the one after the last event that the caller had.
// One that is cut may lack events at its end, but has no part of one: entries forward whole events.
func (c *checker) checkStream(r callResult) {
	var want bytes.Buffer
	whole := r.body == ""
	for i := r.after + 1; i <= eventCount; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", i, r.id)
		whole = whole || r.body == want.String()
	}
	if r.complete {
		c.streams.complete++
		whole = r.body == want.String()
	} else {
		c.streams.cut++
	}
	if !whole {
		c.reportf("stream %s%s after event %d, complete %t, returned body %q", r.path, r.id, r.after, r.complete, r.body)
	}
}

// modelRuns returns the runs at model servers by the ID of their request.
func (c *checker) modelRuns() map[string][]standin.Run {
	byID := map[string][]standin.Run{}
	for _, m := range c.fleet.models {
		for _, run := range m.Runs() {
			byID[run.ID] = append(byID[run.ID], run)
		}
	}
	return byID
}

// checkRuns reports the runs of a request that began behind an event that the caller had not received. The caller may have more by the end of
// its response, so that the events between are known to be missing only if they never came.
func (c *checker) checkRuns(r callResult, runs []standin.Run) {
	for _, run := range runs {
		switch {
		case run.At.After(r.endedAt): // The caller may have gone before the events that came before this run.
		case run.LastEventID > r.received():
			c.reportf("%s%s ran behind event %d, but its caller has received %d", r.path, r.id, run.LastEventID, r.received())
		case run.LastEventID > r.after:
			c.streams.moved++
		case run.LastEventID < r.after:
			c.streams.earlier++
		}
	}
}

// eventLine is the first line of an event of a stand-in.
var eventLine = regexp.MustCompile(`(?m)^id: (\d+)$`)

// checkResumed reports streams whose responses together have not each event once and in order.
func (c *checker) checkResumed() {
	ids := map[string][]string{}
	last := map[string]callResult{}
	for _, r := range c.results {
		if !r.isStream() {
			continue
		}
		if r.status == http.StatusOK {
			for _, match := range eventLine.FindAllStringSubmatch(r.body, -1) {
				ids[r.streamID] = append(ids[r.streamID], match[1])
			}
		}
		if r.after > 0 {
			c.streams.resumed++
		}
		last[r.streamID] = r
	}
	for id, r := range last {
		c.checkJoined(id, ids[id], r)
	}
}

// checkJoined checks the events of one stream, of which last is the last response.
func (c *checker) checkJoined(id string, events []string, last callResult) {
	for i, event := range events {
		if event != fmt.Sprint(i+1) {
			c.reportf("stream %s%s consists of events %v", last.path, id, events)
			return
		}
	}
	if last.after == 0 || last.status != http.StatusOK || !last.complete {
		return
	}
	c.streams.joined++
	if len(events) != eventCount {
		c.reportf("stream %s%s is complete with events %v", last.path, id, events)
	}
}

// Log lines of attempts whose events an entry discarded, and of those that ended with the time of their version.
var (
	unsentEvents  = regexp.MustCompile(`"unsent_events":[1-9]`)
	expiredBefore = regexp.MustCompile(`the time of the upstream's version ended`)
)

// countLogged counts attempts in the logs of all entries.
func (c *checker) countLogged() {
	for i := range c.fleet.entries {
		log, err := os.ReadFile(filepath.Join(c.fleet.dir, entryName(i)+".log"))
		if err != nil {
			c.reportf("read log: %v", err)
		}
		c.streams.unsent += len(unsentEvents.FindAll(log, -1))
		c.streams.expired += len(expiredBefore.FindAll(log, -1))
	}
}
