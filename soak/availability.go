package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// linkMargin is how long before a refusal its link may have broken so that the refusal did not arrive.
const linkMargin = 200 * time.Millisecond

// sentRequest is a request that the checker has sent to an entry.
type sentRequest struct {
	entry int
	at    time.Time
	// leaving is the server that has said in the response that it leaves, empty if none has. answeredAt is when the response arrived.
	leaving    string
	answeredAt time.Time
}

// recordSent records a request and what the server said in the header of its response, which is nil if there is none.
func (c *checker) recordSent(r callResult, header http.Header) {
	s := sentRequest{entry: r.entry, at: r.beganAt, leaving: standin.LeavingServer(header), answeredAt: r.headAt}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[r.id] = s
}

// judgedStatements counts the answers of servers whose consequences were checked, and those that were not because of a disturbance.
type judgedStatements struct{ leaving, pauses, excused int }

// String implements fmt.Stringer.
func (j judgedStatements) String() string {
	return fmt.Sprintf("judged: %d answers while leaving, %d with a pause; excused: %d", j.leaving, j.pauses, j.excused)
}

// checkStatements reports requests that entries have sent to servers against what these had said.
func (c *checker) checkStatements() {
	judge := func(server string, availability *standin.Availability) {
		for _, found := range c.checkServer(server, availability.Record()) {
			c.reportf("%s", found)
		}
	}
	for _, m := range c.fleet.models {
		judge(m.ID, &m.Availability)
	}
	for _, d := range c.fleet.plainServers() {
		judge(d.ID, &d.Availability)
	}
}

// connectionKey identifies the requests of one entry to one process of a server.
type connectionKey struct{ entry, process int }

// checkServer compares the requests that reached a server with what it had said to the entries. Each entry and process is reported at most
// once for each of the two rules.
func (c *checker) checkServer(server string, arrivals []standin.Arrival) (findings []string) {
	byKey := map[connectionKey][]standin.Arrival{}
	for _, a := range arrivals {
		key := connectionKey{c.sent[a.AttemptID].entry, a.Process}
		byKey[key] = append(byKey[key], a)
	}
	for key, arrivals := range byKey {
		for _, found := range []string{c.checkLeaving(server, key, arrivals), c.checkPauses(server, key, arrivals)} {
			if found != "" {
				findings = append(findings, fmt.Sprintf("%s, process %d: %s", server, key.process, found))
			}
		}
	}
	return findings
}

// checkLeaving reports a request that a caller sent later than standin.DrainBound after the entry had passed on an answer in which the
// server said that it leaves. A stop or pause of the entry since then excuses it.
func (c *checker) checkLeaving(server string, key connectionKey, arrivals []standin.Arrival) (found string) {
	for _, told := range arrivals {
		passedOn := c.sent[told.AttemptID]
		if !told.Leaving || passedOn.leaving != server {
			continue
		}
		excused := false
		for _, a := range arrivals {
			late := c.sent[a.AttemptID].at.Sub(passedOn.answeredAt)
			switch {
			case late <= standin.DrainBound:
			case c.fleet.disturbances.overlap(entryName(key.entry), passedOn.answeredAt, a.At):
				excused = true
			case found == "":
				found = fmt.Sprintf("%s was sent to %s %s after it had passed on an answer of the leaving server to %s",
					a.AttemptID, entryName(key.entry), late, told.AttemptID)
			}
		}
		c.judged.count(&c.judged.leaving, excused)
	}
	return found
}

// checkPauses reports more than standin.MaxInPause requests from standin.PauseMargin after a refusal that named a pause until the end of
// that pause. A stop or pause of the entry excuses them, and so does a cut or a silence of its link to the server in which the refusal may
// have been lost or held back, or requests may have been held up that were sent before.
func (c *checker) checkPauses(server string, key connectionKey, arrivals []standin.Arrival) (found string) {
	for _, refused := range arrivals {
		if refused.Pause == 0 {
			continue
		}
		inPause := 0
		var last time.Time
		for _, a := range arrivals {
			if since := a.At.Sub(refused.At); since > standin.PauseMargin && since < refused.Pause {
				inPause++
				last = a.At
			}
		}
		excused := inPause > standin.MaxInPause && (c.fleet.disturbances.overlap(entryName(key.entry), refused.At.Add(-linkMargin), last) ||
			c.fleet.disturbances.overlap(server, refused.At.Add(-linkMargin), refused.At.Add(standin.PauseMargin)) ||
			c.fleet.silences.overlap(server, refused.At.Add(-linkMargin), refused.At.Add(standin.PauseMargin)))
		if inPause > standin.MaxInPause && !excused && found == "" {
			found = fmt.Sprintf("%d requests of %s in the pause of %s that was named to %s", inPause, entryName(key.entry), refused.Pause,
				refused.AttemptID)
		}
		c.judged.count(&c.judged.pauses, excused)
	}
	return found
}

// count counts an answer in counter, or as excused.
func (j *judgedStatements) count(counter *int, excused bool) {
	if excused {
		counter = &j.excused
	}
	*counter++
}

// disturbances records when processes were stopped or paused and when links broke. The zero value is ready for use.
type disturbances struct {
	mu      sync.Mutex
	periods map[string][]*period
}

// period is the time of one disturbance. end is zero while it lasts.
type period struct{ begin, end time.Time }

// during injects a fault on the process or link with a name. The returned function ends it.
func (d *disturbances) during(name string, inject func() (end func())) (end func()) {
	p := &period{begin: time.Now()}
	d.mu.Lock()
	if d.periods == nil {
		d.periods = map[string][]*period{}
	}
	d.periods[name] = append(d.periods[name], p)
	d.mu.Unlock()
	endFault := inject()
	return func() {
		endFault()
		d.mu.Lock()
		defer d.mu.Unlock()
		p.end = time.Now()
	}
}

// overlap reports whether a disturbance of the process or link with a name overlaps the time from begin to end.
func (d *disturbances) overlap(name string, begin, end time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.periods[name] {
		if p.begin.Before(end) && (p.end.IsZero() || p.end.After(begin)) {
			return true
		}
	}
	return false
}

// overlapAny reports the same for all names.
func (d *disturbances) overlapAny(begin, end time.Time) bool {
	d.mu.Lock()
	names := slices.Collect(maps.Keys(d.periods))
	d.mu.Unlock()
	return slices.ContainsFunc(names, func(name string) bool { return d.overlap(name, begin, end) })
}

// longestUndisturbed returns the longest time between begin and end in which the process or link with a name was undisturbed. After a disturbance,
// such a time begins only when recovery has passed.
func (d *disturbances) longestUndisturbed(name string, begin, end time.Time, recovery time.Duration) (longest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	from := begin
	for _, p := range d.periods[name] {
		if p.begin.After(end) {
			break
		}
		longest = max(longest, p.begin.Sub(from))
		if p.end.IsZero() {
			return longest
		}
		if recovered := p.end.Add(recovery); recovered.After(from) {
			from = recovered
		}
	}
	return max(longest, end.Sub(from))
}
