package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

const (
	// lossSlack is the time after its last byte after which a request that has reached no server counts as lost if its connection ends. An
	// earlier end may have crossed the request on its way.
	lossSlack = 200 * time.Millisecond
	// maxClosedAfterPassing is the number of requests on kept connections that may end without an answer after they have reached a server.
	maxClosedAfterPassing = 3
	// A request that is sent at most lastAccepted after SIGTERM may be ended from finalPart on while its server is at work.
	lastAccepted = 3 * time.Second
	gracePeriod  = graceS * time.Second
	finalPart    = gracePeriod * 5 / 6
)

// passedRequest is a request that has reached a server.
type passedRequest struct {
	server string
	standin.Arrival
}

// requestsAtServers returns the requests that have reached servers by their ID.
func (c *checker) requestsAtServers() map[string][]passedRequest {
	byID := map[string][]passedRequest{}
	add := func(server string, availability *standin.Availability) {
		for _, a := range availability.Record() {
			byID[a.AttemptID] = append(byID[a.AttemptID], passedRequest{server, a})
		}
	}
	for _, m := range c.fleet.models {
		add(m.ID, &m.Availability)
	}
	for _, s := range c.fleet.plainServers() {
		add(s.ID, &s.Availability)
	}
	return byID
}

// lossCounts are the results of checkLosses for the summary.
type lossCounts struct {
	// closedAfterPassing counts requests on kept connections without an answer that had reached a sound server.
	closedAfterPassing int
	// excused counts the requests beside planned work without a complete answer that are no loss because their time was used up or their
	// server was at work at the end of a stop.
	excused int
	// besideSilences counts failures by status while a server was silent: the first element beside planned work, the second beside faults.
	besideSilences [2]map[int]int
}

// String implements fmt.Stringer.
func (l lossCounts) String() string {
	return fmt.Sprintf("%d ended without an answer on kept connections after they had reached sound servers, failures beside silences: "+
		"%v in planned work, %v in faults, %d cut in planned work as the rules allow", l.closedAfterPassing, l.besideSilences[0],
		l.besideSilences[1], l.excused)
}

// checkLosses reports requests that got no complete answer: around planned work each of them, in the absence of disturbances more than
// maxClosedAfterPassing of those on kept connections. A silence of a server excuses nothing.
func (c *checker) checkLosses(passedOn map[string][]passedRequest) {
	c.losses.besideSilences = [2]map[int]int{{}, {}}
	var last string
	for _, r := range c.results {
		if c.closedAfterPassing(r, passedOn[r.id]) {
			c.losses.closedAfterPassing++
			last = r.path + r.id + ": " + c.trace(r, passedOn[r.id])
		}
		if c.lostBesidePlannedWork(r, passedOn[r.id]) {
			c.reportf("%s%s was lost with status %d after %s beside planned work: %s", r.path, r.id, r.status, r.elapsed(),
				c.trace(r, passedOn[r.id]))
		}
		c.countFailure(r)
	}
	if n := c.losses.closedAfterPassing; n > maxClosedAfterPassing {
		c.reportf("%d requests on kept connections reached sound servers and got no answer, the last one %s", n, last)
	}
}

// closedAfterPassing reports whether a request on a kept connection was passed on to a sound server, and its connection closed without an
// answer, by an undisturbed entry.
func (c *checker) closedAfterPassing(r callResult, passedOn []passedRequest) bool {
	if !r.kept || r.status != 0 || len(passedOn) == 0 || r.elapsed() >= requestTimeout {
		return false
	}
	since := r.beganAt.Add(-contactTime)
	disturbed := func(name string) bool { return c.fleet.disturbances.overlap(name, since, r.endedAt) }
	for _, p := range passedOn {
		if disturbed(p.server) || disturbed(answersOf(p.server)) {
			return false
		}
	}
	return !disturbed(entryName(r.entry))
}

// lostBesidePlannedWork reports whether a request without a complete answer counts as lost in the absence of faults: it has reached a server,
// or its connection ended later than lossSlack after its last byte.
func (c *checker) lostBesidePlannedWork(r callResult, passedOn []passedRequest) bool {
	if !r.planned || r.complete || r.sentAt.IsZero() {
		return false
	}
	if len(passedOn) == 0 && r.status == 0 && r.endedAt.Sub(r.sentAt) <= lossSlack {
		return false
	}
	if r.elapsed() >= shortTimeoutMS*time.Millisecond || c.cutAtEndOfStop(r, passedOn) {
		c.losses.excused++
		return false
	}
	return true
}

// cutAtEndOfStop reports whether a request ended in the last part of a planned stop while its server was at work on it or silent.
func (c *checker) cutAtEndOfStop(r callResult, passedOn []passedRequest) bool {
	for _, e := range c.fleet.timeline.between(r.beganAt.Add(-gracePeriod), r.endedAt) {
		final := e.at.Add(finalPart)
		if e.kind != kindStop || e.entry != r.entry || r.beganAt.Sub(e.at) > lastAccepted || r.endedAt.Before(final) {
			continue
		}
		for _, p := range passedOn {
			if p.EndedAt.IsZero() || p.EndedAt.After(final) || c.fleet.silences.overlap(p.server, p.EndedAt, final) {
				return true
			}
		}
	}
	return false
}

// countFailure counts a request that failed with 502 or 504 while a server was silent.
func (c *checker) countFailure(r callResult) {
	if r.status != http.StatusBadGateway && r.status != http.StatusGatewayTimeout {
		return
	}
	phase := 0
	if !r.planned {
		phase = 1
	}
	if c.fleet.silences.overlapAny(r.beganAt, r.endedAt) {
		c.losses.besideSilences[phase][r.status]++
	}
}
